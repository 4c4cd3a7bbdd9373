"""Decides when a leaving host may stop."""

import collections.abc
import typing

# After the last possible deadline no caller waits for an answer any more; this
# second covers the delivery of the last one.
_GRACE_S = 1.0


def find_earliest_stop(
    leaving_since: float, placement_lifetime_s: float, longest_deadline_s: float
) -> float:
    """Returns when callers no longer use the host, monotonic seconds.

    A placement answer given just before the host began to leave is used for
    its lifetime, and a query sent at the end of that lifetime may run for the
    longest deadline.
    """
    return leaving_since + placement_lifetime_s + longest_deadline_s


def may_stop(
    now: float,
    leaving_since: float,
    placement_lifetime_s: float,
    longest_deadline_s: float,
    in_flight: int,
) -> bool:
    """Returns whether a leaving host may stop.

    Args:
      now: Monotonic time, seconds.
      leaving_since: When it began to leave, monotonic seconds.
      placement_lifetime_s: How long callers keep a placement answer, seconds.
      longest_deadline_s: Longest deadline of a query, seconds.
      in_flight: Queries and sub-requests in flight.

    Returns:
      True once callers no longer use the host and nothing is in flight, or
      once the deadlines of all requests in flight must have passed.
    """
    earliest = find_earliest_stop(
        leaving_since, placement_lifetime_s, longest_deadline_s
    )
    if now < earliest:
        return False
    return in_flight == 0 or now >= earliest + longest_deadline_s + _GRACE_S


class OwnedWork(typing.Protocol):
    """The sub-requests that a host holds for one target."""

    queue: collections.abc.Sized
    in_flight: collections.abc.Sized


def count_in_flight(
    queries: int, owned: collections.abc.Iterable[OwnedWork]
) -> int:
    """Returns the number of queries and sub-requests in flight.

    Args:
      queries: Number of queries that this host routes.
      owned: Sub-requests that this host holds, one item per target.
    """
    return queries + sum(len(w.queue) + len(w.in_flight) for w in owned)
