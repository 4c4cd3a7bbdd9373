"""Through which hosts attempts in other data centres are made."""

from bramleyfork.core import blackboard
from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import placement

# Attempts in a data centre from which on another host makes them; one alone
# saves no bytes.
MIN_ATTEMPTS = 2
# A request with a larger body is sent directly.
MAX_BODY_BYTES = 4096
_AVOID_S = 3.0
# A host that has returned nothing for this long, though it was asked, gets no
# more calls until it does, and is avoided once it has been silent for longer.
_WAIT_S = 0.1
_SILENCE_S = 0.25


class CarrierSelector:
    """Chooses hosts and avoids those that fail.

    Args:
      members: Hosts by name.
    """

    __slots__ = (
        "_members",
        "_version",
        "_by_data_centre",
        "_avoided",
        "_silent_since",
    )

    def __init__(self, *, members: blackboard.Table):
        self._members = members
        self._version = -1
        self._by_data_centre: dict[str, list[fleet.Address]] = {}
        self._avoided: dict[fleet.Address, float] = {}
        self._silent_since: dict[fleet.Address, float] = {}

    def choose(
        self, data_centre: str, key: int, now: float
    ) -> fleet.Address | None:
        """Returns the address of a host of a data centre, or None.

        Args:
          data_centre: Where the targets are.
          key: Spreads requests over the hosts.
          now: Monotonic seconds.
        """
        if self._members.version != self._version:
            self._version = self._members.version
            self._by_data_centre = self._group_hosts()
        found = [
            address
            for address in self._by_data_centre.get(data_centre, ())
            if self._avoided.get(address, 0.0) <= now
            and now - self._silent_since.get(address, now) < _WAIT_S
        ]
        return found[key % len(found)] if found else None

    def record_sent(self, address: fleet.Address, now: float) -> None:
        """Notes a call."""
        self._silent_since.setdefault(address, now)

    def record_reply(self, address: fleet.Address) -> None:
        """Notes that a host returned something."""
        self._silent_since.pop(address, None)

    def start_cooldown(self, address: fleet.Address, now: float) -> None:
        """Avoids a host for a while."""
        self._avoided[address] = now + _AVOID_S
        self._silent_since.pop(address, None)

    def avoid_if_silent(self, address: fleet.Address, now: float) -> bool:
        """Avoids a host that has been silent for too long."""
        since = self._silent_since.get(address)
        if since is None or now - since < _SILENCE_S:
            return False
        self.start_cooldown(address, now)
        return True

    def _group_hosts(self) -> dict[str, list[fleet.Address]]:
        """Returns the hosts that make attempts, by data centre."""
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
