"""Chooses carriers for attempts in other data centres.

A carrier is an entry host in the data centre of the targets. It makes several
attempts of a request for this host and returns their replies merged, which
saves bytes between data centres.
"""

from bramleyfork.core import blackboard
from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import placement

# Minimum number of attempts of a request in a data centre for which a carrier
# is used; with a single attempt no bytes are saved.
MIN_ATTEMPTS = 2
# Bytes. Requests with a larger body are sent to the targets directly.
MAX_BODY_BYTES = 4096
_COOLDOWN_S = 3.0  # Time without calls to a carrier that failed.
# A carrier that was called and has returned nothing for this long gets no more
# calls until it replies.
_PENDING_REPLY_LIMIT_S = 0.1
# A carrier that was called and has returned nothing for this long has failed.
_REPLY_TIMEOUT_S = 0.25


class CarrierSelector:
    """Chooses carriers and avoids those that fail or don't reply.

    Args:
      members: Entry hosts by name.
    """

    __slots__ = (
        "_members",
        "_version",
        "_carriers_by_data_centre",
        "_avoided_until",
        "_unanswered_since",
    )

    def __init__(self, *, members: blackboard.Table):
        self._members = members
        self._version = -1
        self._carriers_by_data_centre: dict[str, list[fleet.Address]] = {}
        self._avoided_until: dict[fleet.Address, float] = {}
        self._unanswered_since: dict[fleet.Address, float] = {}

    def choose(
        self, data_centre: str, key: int, now: float
    ) -> fleet.Address | None:
        """Returns the address of a carrier in a data centre, or None.

        Args:
          data_centre: Data centre of the targets.
          key: Key of the request; spreads requests over the carriers.
          now: Monotonic time in seconds.
        """
        if self._members.version != self._version:
            self._version = self._members.version
            self._carriers_by_data_centre = self._group_by_data_centre()
        found = [
            address
            for address in self._carriers_by_data_centre.get(data_centre, ())
            if self._avoided_until.get(address, 0.0) <= now
            and now - self._unanswered_since.get(address, now)
            < _PENDING_REPLY_LIMIT_S
        ]
        return found[key % len(found)] if found else None

    def record_sent(self, address: fleet.Address, now: float) -> None:
        """Records a call; silence counts from the first since a reply."""
        self._unanswered_since.setdefault(address, now)

    def record_reply(self, address: fleet.Address) -> None:
        """Records that a carrier replied to a call, so it isn't silent."""
        self._unanswered_since.pop(address, None)

    def start_cooldown(self, address: fleet.Address, now: float) -> None:
        """Avoids a carrier for a few seconds after a failure."""
        self._avoided_until[address] = now + _COOLDOWN_S
        self._unanswered_since.pop(address, None)

    def avoid_if_silent(self, address: fleet.Address, now: float) -> bool:
        """Avoids a carrier that has returned nothing for too long.

        Returns:
          Whether the carrier has returned nothing for too long.
        """
        since = self._unanswered_since.get(address)
        if since is None or now - since < _REPLY_TIMEOUT_S:
            return False
        self.start_cooldown(address, now)
        return True

    def _group_by_data_centre(self) -> dict[str, list[fleet.Address]]:
        """Returns the addresses of the highest-ranked hosts by data centre."""
        serving = [
            member.update
            for member in self._members.list_records()
            if member.update.state == fleet.SERVING
        ]
        serving.sort(
            key=lambda update: placement.compute_rank_key(
                "{}:{}".format(*update.caller_address), update.capacity
            )
        )
        grouped: dict[str, list[fleet.Address]] = {}
        for update in serving:
            found = grouped.setdefault(update.data_centre, [])
            if len(found) < placement.MIN_HOSTS_PER_REGION:
                found.append(update.carrier_address)
        return grouped
