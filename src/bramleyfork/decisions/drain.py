"""When a leaving host may close."""

import collections.abc
import typing

# Beyond the last possible deadline nobody waits for an answer any more; the
# rest of a second covers the way of the last one.
_GRACE_S = 1.0


def find_earliest_stop(
    leaving_since: float, placement_lifetime_s: float, longest_deadline_s: float
) -> float:
    """Returns when callers have stopped using the host, monotonic seconds.

    A placement answer given just before leaving is used for its lifetime, and
    a query sent at the end of that lifetime lasts for the longest deadline.
    """
    return leaving_since + placement_lifetime_s + longest_deadline_s


def may_stop(
    now: float,
    leaving_since: float,
    placement_lifetime_s: float,
    longest_deadline_s: float,
    in_flight: int,
) -> bool:
    """Returns whether a leaving host may close.

    Args:
      now: Monotonic time, seconds.
      leaving_since: When it began to leave, monotonic seconds.
      placement_lifetime_s: How long callers keep a placement answer, seconds.
      longest_deadline_s: Longest deadline of a query, seconds.
      in_flight: Queries and sub-requests in flight.

    Returns:
      True once callers have stopped using the host and nothing is in flight,
      or once the deadline of everything in flight must have passed.
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
      queries: Queries that this host routes.
      owned: Work that this host holds, by target.
    """
    return queries + sum(len(w.queue) + len(w.in_flight) for w in owned)
