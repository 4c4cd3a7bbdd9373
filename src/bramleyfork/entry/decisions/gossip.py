"""SWIM: beliefs about hosts and how news of them spreads.

Each host pings one other in turn in each period, so the load of a host does
not grow with the fleet. News rides on pings and acks.
"""

import collections.abc
import random

from bramleyfork.decisions import membership
from bramleyfork.entry import fleet

PERIOD_S = 0.6
# Pings in a row without ack; datagrams are lost now and then.
MAX_MISSED_ACKS = 2
SUSPICION_S = 2.0
UPDATES_PER_MESSAGE = 8
# Beats of random hosts that fill a message without news, so that a host that
# missed news is put right.
ANTI_ENTROPY_UPDATES = 2
# Beats in the answer to a host that asks for all. It does so in the first of
# its periods, several times as seeds know few hosts when all start together,
# and now and then later, so that hosts that missed news are put right.
MAX_UPDATES_PER_JOIN_ACK = 64
JOIN_PERIODS = (1, 3, 8, 16)
JOIN_INTERVAL_PERIODS = 32
# One period in this many also pings a host that is dead or not known yet, so
# that parts of the fleet that lost each other meet again.
ABSENT_PING_INTERVAL_PERIODS = 4
DEAD_RETENTION_S = 120.0  # A dead host is asked for this long.

_RANKS = {fleet.SUSPECT: 1, fleet.DEAD: 2}  # A host's own word ranks 0.

Members = collections.abc.Mapping[str, fleet.Member]


def compute_version_key(update: fleet.MemberUpdate) -> tuple[int, int, int]:
    """Returns what orders words on a host, later ones greater."""
    return update.incarnation, update.count, _RANKS.get(update.state, 0)


def is_newer(
    known: fleet.MemberUpdate | None, update: fleet.MemberUpdate
) -> bool:
    """Returns whether a word is later than the one known of that host."""
    return known is None or compute_version_key(update) > compute_version_key(
        known
    )


def refute(
    own: fleet.MemberUpdate, update: fleet.MemberUpdate
) -> fleet.MemberUpdate | None:
    """Returns the word that refutes a later one on this host, or None."""
    if compute_version_key(update) <= compute_version_key(own):
        return None
    # A later incarnation is the word of a clock that was ahead.
    return own.replace(
        incarnation=max(own.incarnation, update.incarnation),
        count=update.count + 1,
    )


def is_join_period(period: int) -> bool:
    """Returns whether a host asks another one for all it knows."""
    return period in JOIN_PERIODS or period % JOIN_INTERVAL_PERIODS == 0


def is_reachable(member: fleet.Member) -> bool:
    """Returns whether a host is expected to answer."""
    return member.update.state != fleet.DEAD


def list_expired(members: Members, now: float) -> list[fleet.MemberUpdate]:
    """Returns the hosts that have been suspect for too long, as dead."""
    return [
        member.update.replace(state=fleet.DEAD)
        for member in members.values()
        if member.update.state == fleet.SUSPECT
        and member.changed_at + SUSPICION_S <= now
    ]


def list_expired_dead(members: Members, now: float) -> list[str]:
    """Returns the hosts that have been dead for so long that none asks."""
    return [
        host
        for host, member in members.items()
        if member.update.state == fleet.DEAD
        and member.changed_at + DEAD_RETENTION_S <= now
    ]


class UpdateQueue:
    """Hosts whose latest word is still to be spread."""

    __slots__ = ("_sends",)

    def __init__(self):
        self._sends: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Spreads the word on a host from the beginning."""
        self._sends[host] = 0

    def choose_updates(
        self,
        members: Members,
        own_host: str,
        receiver: str | None,
        rng: random.Random,
        *,
        is_new: bool = False,
    ) -> tuple[fleet.MemberUpdate, ...]:
        """Returns the beats of one message and counts them as sent.

        The own word goes first. Second goes that on the receiver, so that it
        can refute it. Then come the news that was sent least often and a few
        random hosts.

        Args:
          members: Beliefs by host.
          own_host: The sender.
          receiver: The receiver, if it is known.
          rng: Source of randomness.
          is_new: Whether the receiver knows nobody yet.
        """
        chosen = [h for h in (own_host, receiver) if h in members]
        limit = membership.compute_send_limit(len(members))
        for host in sorted(self._sends, key=self._sends.__getitem__):
            if len(chosen) >= UPDATES_PER_MESSAGE:
                break
            if host not in members:
                del self._sends[host]
                continue
            if host not in chosen:
                chosen.append(host)
        for host in chosen:
            self._count_sent(host, limit)
        others = [host for host in members if host not in chosen]
        wanted = MAX_UPDATES_PER_JOIN_ACK if is_new else ANTI_ENTROPY_UPDATES
        chosen += rng.sample(others, min(wanted, len(others)))
        return tuple(members[host].update for host in chosen)

    def _count_sent(self, host: str, limit: int) -> None:
        if host not in self._sends:
            return
        self._sends[host] += 1
        if self._sends[host] >= limit:
            del self._sends[host]
