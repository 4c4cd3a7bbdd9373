"""Decides which connections are closed when a budget is exhausted."""

import collections.abc
import typing

# A connection on which nothing has arrived or left for this long is stalled.
_STALLED_S = 0.25


class Candidate(typing.Protocol):
    """What is known of a connection that may be closed.

    Attributes:
      opened_at: Monotonic time at which it was opened.
      progress_at: Monotonic time at which it last made progress.
      is_idle: Whether no part of a request or response is on its way.
    """

    opened_at: float
    progress_at: float
    is_idle: bool


CandidateT = typing.TypeVar("CandidateT", bound=Candidate)


def order_victims(
    candidates: collections.abc.Iterable[CandidateT], now: float
) -> list[CandidateT]:
    """Returns connections in the order in which they are closed.

    Idle and stalled connections come first, those that have waited longest at
    the front. Others follow, the newest at the front, so that a request that
    has almost arrived isn't lost to one that has just begun.

    Args:
      candidates: Connections whose process waits for their clients.
      now: Monotonic time in seconds.
    """

    def sort_key(candidate: CandidateT) -> tuple[bool, float]:
        waited_s = now - candidate.progress_at
        if candidate.is_idle or waited_s >= _STALLED_S:
            return False, candidate.progress_at
        return True, -candidate.opened_at

    return sorted(candidates, key=sort_key)
