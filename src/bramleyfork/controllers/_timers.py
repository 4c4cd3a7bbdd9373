"""Timers of running queries."""

import heapq

HEDGE = "hedge"
RETRY = "retry"
FINISH = "finish"
RELEASE = "release"
FORGET = "forget"


class Timers:
    """Due times of (kind, query id, segment index), earliest first.

    Entries of finished queries stay until they are due, and their taker
    ignores them.
    """

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list[tuple[float, int, str, str, int]] = []
        self._order = 0

    def add(self, due: float, kind: str, query_id: str, index: int) -> None:
        """Adds a timer at a monotonic time in seconds."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, kind, query_id, index))

    def take_due(self, now: float) -> list[tuple[str, str, int]]:
        """Removes and returns all timers up to ``now``."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2:])
        return due

    def find_next(self) -> float | None:
        """Returns the earliest due time, or None."""
        return self._heap[0][0] if self._heap else None
