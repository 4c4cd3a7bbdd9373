"""SWIM: beliefs about hosts and how news of them spreads."""

import collections.abc
import math
import random

from bramleyfork.core import fleet
from bramleyfork.core import messages

PROTOCOL_PERIOD_S = 0.5  # One peer is pinged in each.
ACK_TIMEOUT_S = 0.2  # Then others are asked to ping it.
INDIRECT_PING_COUNT = 2
SUSPICION_TIMEOUT_S = 2.0
UPDATES_PER_MESSAGE = 8
ABSENT_EVERY = 4  # Periods per ping of a dead or unknown host.

# Incarnations start as milliseconds since 1970 and a refutation adds one, so
# a larger step means that the process is another one. The step is negative
# when the clock of a replaced machine was ahead.
_NEW_PROCESS_STEP = 500

_RANKS = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}

Members = collections.abc.Mapping[str, fleet.Member]


def supersedes(update: messages.MemberUpdate, member: fleet.Member) -> bool:
    """Returns whether news replaces a belief.

    A higher incarnation does; at the same one the later state in the order
    alive, suspect, leaving, dead does.
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
    """Returns the new belief about a host, or None if nothing changes.

    Args:
      member: The belief so far, if any.
      update: News about the same host.
      now: Monotonic seconds.
      direct: Whether the host itself sent it. Load and lease change without
        a new incarnation, so that only the host's own update on them is newer
        for certain.
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
    """Returns the incarnation that refutes news about this host, if needed."""
    if not supersedes(update, own):
        return None
    return update.incarnation + 1


def suspect_member(
    member: fleet.Member | None, now: float
) -> fleet.Member | None:
    """Returns the belief about a host that did not answer, or None.

    A leaving host that does not answer has ended, so it is dead at once.
    """
    if member is None or member.state in ("suspect", "dead"):
        return None
    state = "dead" if member.state == "leaving" else "suspect"
    return member.replace(state=state, changed_at=now)


def expire_suspicion(
    member: fleet.Member | None, now: float
) -> fleet.Member | None:
    """Returns the dead member that a suspect has become, or None."""
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
    """Returns whether news is of a process not heard of before."""
    if member is None:
        return True
    step = update.incarnation - member.incarnation
    return abs(step) >= _NEW_PROCESS_STEP


class Rotation:
    """Hosts in a shuffled order that each full turn renews.

    Args:
      hosts: The hosts.
      rng: Source of randomness.
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
        """Returns the next accepted host, or None if there is none."""
        for _ in range(len(self._hosts)):
            if self._position >= len(self._hosts):
                self._rng.shuffle(self._hosts)
                self._position = 0
            host = self._hosts[self._position]
            self._position += 1
            if accepts(host):
                return host
        # The new order of a turn that began in between may have put the only
        # accepted host before the position.
        return next(filter(accepts, self._hosts), None)

    def choose_some(
        self,
        accepts: collections.abc.Callable[[str], bool],
        count: int,
    ) -> list[str]:
        """Returns up to ``count`` random accepted hosts."""
        tries = min(len(self._hosts), 8 * count)
        drawn = self._rng.sample(self._hosts, tries)
        return [host for host in drawn if accepts(host)][:count]


def compute_send_limit(host_count: int) -> int:
    """Returns how many times a piece of news is sent by each host."""
    return max(1, math.ceil(3 * math.log2(max(2, host_count))))


def build_update(member: fleet.Member) -> messages.MemberUpdate:
    """Returns the news that a belief is spread as."""
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
    """Returns all beliefs in groups that fit a message."""
    updates = [build_update(member) for member in members.values()]
    return [
        tuple(updates[begin : begin + UPDATES_PER_MESSAGE])
        for begin in range(0, len(updates), UPDATES_PER_MESSAGE)
    ]
