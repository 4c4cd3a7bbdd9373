"""SWIM membership: states of hosts and how updates about them are merged."""

import collections.abc
import math
import random

from bramleyfork.core import fleet
from bramleyfork.core import messages

PROTOCOL_PERIOD_S = 0.5  # One peer is pinged per period.
ACK_TIMEOUT_S = 0.2  # Then other hosts get a request to ping the peer.
INDIRECT_PING_COUNT = 2  # Hosts that get a request for an indirect ping.
# A suspect that does not refute the suspicion in this time is dead.
SUSPICION_TIMEOUT_S = 2.0
UPDATES_PER_MESSAGE = 8
ABSENT_EVERY = 4  # Periods between pings of dead or unknown hosts.

# Incarnations start as milliseconds since 1970 and a refutation adds one, so
# a larger step means a new process. The step is negative if the clock of a
# replaced machine was ahead.
_NEW_PROCESS_STEP = 500

_RANKS = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}

Members = collections.abc.Mapping[str, fleet.Member]


def supersedes(update: messages.MemberUpdate, member: fleet.Member) -> bool:
    """Returns whether an update replaces the known state of a host.

    A higher incarnation does. At the same incarnation the later state in the
    order alive, suspect, leaving, dead does.
    """
    return (update.incarnation, _RANKS[update.state]) > (
        member.incarnation,
        _RANKS[member.state],
    )


def merge_update(
    member: fleet.Member | None,
    update: messages.MemberUpdate,
    now: float,
    *,
    direct: bool,
) -> fleet.Member | None:
    """Returns the new state of a host, or None if nothing changes.

    Args:
      member: The state known so far, if any.
      update: An update about the same host.
      now: Monotonic seconds.
      direct: Whether the host itself sent the update. Load and lease change
        without a new incarnation, so only the host's own update of them is
        certain to be newer.
    """
    if member is None or supersedes(update, member):
        same = member is not None and member.state == update.state
        return fleet.Member(
            host=update.host,
            incarnation=update.incarnation,
            state=update.state,
            changed_at=member.changed_at if same else now,
            load=update.load,
            leased=update.leased,
        )
    if not direct or update.incarnation != member.incarnation:
        return None
    if (update.load, update.leased) == (member.load, member.leased):
        return None
    return member.replace(load=update.load, leased=update.leased)


def find_refutation(
    own: fleet.Member, update: messages.MemberUpdate
) -> int | None:
    """Returns the incarnation that refutes an update about this host.

    None means that the update needs no refutation.
    """
    if not supersedes(update, own):
        return None
    return update.incarnation + 1


def suspect_member(
    member: fleet.Member | None, now: float
) -> fleet.Member | None:
    """Returns the new state of a host that did not answer, or None.

    A leaving host that does not answer has stopped, so it is dead at once. None
    means that the state does not change.
    """
    if member is None or member.state in ("suspect", "dead"):
        return None
    state = "dead" if member.state == "leaving" else "suspect"
    return member.replace(state=state, changed_at=now)


def expire_suspicion(
    member: fleet.Member | None, now: float
) -> fleet.Member | None:
    """Returns a suspect as dead after its timeout, or None before that."""
    if member is None or member.state != "suspect":
        return None
    if now < member.changed_at + SUSPICION_TIMEOUT_S:
        return None
    return member.replace(state="dead", changed_at=now)


def is_reachable(member: fleet.Member | None) -> bool:
    """Returns whether a host may be expected to answer."""
    return member is not None and member.state != "dead"


def is_new_process(
    member: fleet.Member | None, update: messages.MemberUpdate
) -> bool:
    """Returns whether an update is about a process not known so far."""
    if member is None:
        return True
    step = update.incarnation - member.incarnation
    return abs(step) >= _NEW_PROCESS_STEP


class Rotation:
    """Round robin over hosts in a random order, reshuffled after each round.

    Args:
      hosts: Names of the hosts.
      rng: Random number generator.
    """

    __slots__ = ("_hosts", "_position", "_rng")

    def __init__(
        self,
        *,
        hosts: collections.abc.Iterable[str],
        rng: random.Random,
    ):
        self._hosts = sorted(hosts)
        self._rng = rng
        self._position = 0
        rng.shuffle(self._hosts)

    def choose_next(
        self, accepts: collections.abc.Callable[[str], bool]
    ) -> str | None:
        """Returns the next accepted host, or None if no host is accepted."""
        for _ in range(len(self._hosts)):
            if self._position >= len(self._hosts):
                self._rng.shuffle(self._hosts)
                self._position = 0
            host = self._hosts[self._position]
            self._position += 1
            if accepts(host):
                return host
        # A reshuffle during the loop may have put the only accepted host before
        # the position.
        return next(filter(accepts, self._hosts), None)

    def choose_some(
        self,
        accepts: collections.abc.Callable[[str], bool],
        count: int,
    ) -> list[str]:
        """Returns up to ``count`` random accepted hosts.

        Only ``8 * count`` hosts are sampled, so fewer may be found.
        """
        tries = min(len(self._hosts), 8 * count)
        sampled = self._rng.sample(self._hosts, tries)
        return [host for host in sampled if accepts(host)][:count]


def compute_send_limit(host_count: int) -> int:
    """Returns how many times each host sends an update."""
    return max(1, math.ceil(3 * math.log2(max(2, host_count))))


def build_update(member: fleet.Member) -> messages.MemberUpdate:
    """Returns the update that disseminates a member's state."""
    return messages.MemberUpdate(
        host=member.host,
        incarnation=member.incarnation,
        state=member.state,
        load=member.load,
        leased=member.leased,
    )


def build_update_batches(
    members: Members,
) -> list[tuple[messages.MemberUpdate, ...]]:
    """Returns updates about all members in batches that fit a message."""
    updates = [build_update(member) for member in members.values()]
    return [
        tuple(updates[begin : begin + UPDATES_PER_MESSAGE])
        for begin in range(0, len(updates), UPDATES_PER_MESSAGE)
    ]
