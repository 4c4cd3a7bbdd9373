"""Timer queue of the routing controller."""

import heapq

HEDGE = "hedge"
RETRY = "retry"
FINISH = "finish"  # Ends the query at its deadline.
RELEASE = "release"  # Checks on the canary of a query with deferred segments.
# Removes the record of an expired ticket; the index is the ticket number.
EXPIRE_TICKET = "forget"


class Timers:
    """Priority queue of (kind, query id, segment index) by due time.

    Timers are not cancelled. Those of finished queries stay until they are
    due, and the caller of ``pop_due`` ignores them.
    """

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list[tuple[float, int, str, str, int]] = []
        self._order = 0

    def add(self, due: float, kind: str, query_id: str, index: int) -> None:
        """Adds a timer that is due at ``due``, monotonic seconds."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, kind, query_id, index))

    def pop_due(self, now: float) -> list[tuple[str, str, int]]:
        """Removes and returns all timers due at ``now`` or earlier."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2:])
        return due

    def find_next(self) -> float | None:
        """Returns the earliest due time, monotonic seconds, or None."""
        return self._heap[0][0] if self._heap else None
