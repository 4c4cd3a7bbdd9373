"""SWIM membership: how updates about entry hosts are ordered and spread.

In each period a host pings one other host in turn, so the load of a host does
not grow with the fleet. Updates are piggybacked on pings and acks.
"""

import collections.abc
import random

from bramleyfork.decisions import membership
from bramleyfork.entry import fleet

PERIOD_S = 0.6
# Pings in a row without ack after which a host is suspect. A single one says
# little, as datagrams are lost now and then.
MAX_MISSED_ACKS = 2
SUSPICION_S = 2.0  # A host that is suspect for this long is declared dead.
UPDATES_PER_MESSAGE = 8
# Updates about random hosts that are added to each message (anti-entropy), so
# that a host that missed an update gets it later.
ANTI_ENTROPY_UPDATES = 2
# Updates about random hosts in the ack to a join, a ping that asks for all
# known updates.
MAX_UPDATES_PER_JOIN_ACK = 64
# Periods since the start in which a host sends a join. There are several, as
# the seeds know few hosts when all hosts start together.
JOIN_PERIODS = (1, 3, 8, 16)
# One period in this many also sends a join, so that hosts that missed updates
# get them later.
JOIN_INTERVAL_PERIODS = 32
# One period in this many also pings a host that is dead or not known yet, so
# that parts of the fleet that lost contact find each other again.
ABSENT_PING_INTERVAL_PERIODS = 4
DEAD_RETENTION_S = 120.0  # A dead host is pinged for this long, then removed.

# Precedence of the states within one incarnation and count. It is 0 for the
# states that a host reports of itself.
_RANKS = {fleet.SUSPECT: 1, fleet.DEAD: 2}

Members = collections.abc.Mapping[str, fleet.Member]


def compute_version_key(update: fleet.MemberUpdate) -> tuple[int, int, int]:
    """Returns the sort key of an update about a host; newer ones are greater.

    Updates are ordered by incarnation, then count, then state.
    """
    return update.incarnation, update.count, _RANKS.get(update.state, 0)


def is_newer(
    known: fleet.MemberUpdate | None, update: fleet.MemberUpdate
) -> bool:
    """Returns whether an update is newer than the one known of that host."""
    return known is None or compute_version_key(update) > compute_version_key(
        known
    )


def refute(
    own: fleet.MemberUpdate, update: fleet.MemberUpdate
) -> fleet.MemberUpdate | None:
    """Returns the update that refutes a newer one about this host, or None.

    Args:
      own: This host's last update about itself.
      update: An update about this host that was received.
    """
    if compute_version_key(update) <= compute_version_key(own):
        return None
    # A later incarnation is from an earlier process whose clock was ahead.
    return own.replace(
        incarnation=max(own.incarnation, update.incarnation),
        count=update.count + 1,
    )


def is_join_period(period: int) -> bool:
    """Returns whether a host sends a join in a period, counted from 1."""
    return period in JOIN_PERIODS or period % JOIN_INTERVAL_PERIODS == 0


def is_reachable(member: fleet.Member) -> bool:
    """Returns whether a host is expected to answer pings: it is not dead."""
    return member.update.state != fleet.DEAD


def list_expired(members: Members, now: float) -> list[fleet.MemberUpdate]:
    """Returns updates that declare hosts dead that were suspect for too long.

    The limit is ``SUSPICION_S``.
    """
    return [
        member.update.replace(state=fleet.DEAD)
        for member in members.values()
        if member.update.state == fleet.SUSPECT
        and member.changed_at + SUSPICION_S <= now
    ]


def list_expired_dead(members: Members, now: float) -> list[str]:
    """Returns the names of the hosts that have been dead for long enough.

    The limit is ``DEAD_RETENTION_S``.
    """
    return [
        host
        for host, member in members.items()
        if member.update.state == fleet.DEAD
        and member.changed_at + DEAD_RETENTION_S <= now
    ]


class UpdateQueue:
    """Queue of hosts whose latest update is still to be sent to others."""

    __slots__ = ("_send_counts",)

    def __init__(self):
        self._send_counts: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Queues the latest update about a host as not yet sent."""
        self._send_counts[host] = 0

    def choose_updates(
        self,
        members: Members,
        own_host: str,
        receiver: str | None,
        rng: random.Random,
        *,
        answers_join: bool = False,
    ) -> tuple[fleet.MemberUpdate, ...]:
        """Returns the updates of one message and counts them as sent.

        The sender's update about itself goes first. The update about the
        receiver goes second, so that the receiver can refute it. Then come the
        queued updates that were sent least often, and updates about a few
        random hosts.

        Args:
          members: Known hosts by name.
          own_host: Name of the sender.
          receiver: Name of the receiver; None if it is not known.
          rng: Random number generator.
          answers_join: Whether the message answers a join.
        """
        chosen = [h for h in (own_host, receiver) if h in members]
        limit = membership.compute_send_limit(len(members))
        for host in sorted(
            self._send_counts, key=self._send_counts.__getitem__
        ):
            if len(chosen) >= UPDATES_PER_MESSAGE:
                break
            if host not in members:
                del self._send_counts[host]
                continue
            if host not in chosen:
                chosen.append(host)
        for host in chosen:
            self._count_sent(host, limit)
        others = [host for host in members if host not in chosen]
        random_count = (
            MAX_UPDATES_PER_JOIN_ACK if answers_join else ANTI_ENTROPY_UPDATES
        )
        chosen += rng.sample(others, min(random_count, len(others)))
        return tuple(members[host].update for host in chosen)

    def _count_sent(self, host: str, limit: int) -> None:
        if host not in self._send_counts:
            return
        self._send_counts[host] += 1
        if self._send_counts[host] >= limit:
            del self._send_counts[host]
