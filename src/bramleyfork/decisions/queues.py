"""Priority queue of the sub-requests that wait for one target."""

import heapq

from bramleyfork.core import requests

# After this many consecutive urgent sub-requests an ordinary one is next, so
# that ordinary sub-requests cannot starve.
MAX_CONSECUTIVE_URGENT = 8


class SubRequestQueue:
    """Orders urgent before ordinary sub-requests, then by earliest deadline.

    Args:
      limit: Maximum number of queued sub-requests.
    """

    __slots__ = (
        "limit",
        "_urgent",
        "_ordinary",
        "_waiting",
        "_urgent_run_length",
        "_order",
    )

    def __init__(self, *, limit: int):
        self.limit = limit
        self._urgent: list[tuple[float, int, requests.SubRequest]] = []
        self._ordinary: list[tuple[float, int, requests.SubRequest]] = []
        self._waiting: dict[str, requests.SubRequest] = {}
        self._urgent_run_length = 0
        self._order = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: requests.SubRequest) -> requests.SubRequest | None:
        """Adds a sub-request.

        Returns:
          None if there is room, else the sub-request that is shed. An urgent
          newcomer displaces the ordinary sub-request with the latest deadline,
          if there is one; otherwise the newcomer itself is shed.
        """
        shed = None
        if len(self._waiting) >= self.limit:
            shed = self._choose_shed(request)
            if shed is request:
                return shed
            del self._waiting[shed.attempt_id]
        self._order += 1
        entry = (request.deadline, self._order, request)
        heapq.heappush(
            self._urgent if request.urgent else self._ordinary, entry
        )
        self._waiting[request.attempt_id] = request
        return shed

    def remove(self, attempt_id: str) -> requests.SubRequest | None:
        """Removes and returns a waiting sub-request, or None."""
        return self._waiting.pop(attempt_id, None)

    def peek(self) -> requests.SubRequest | None:
        """Returns the sub-request that ``pop`` would return."""
        heap = self._choose_heap()
        return heap[0][2] if heap else None

    def pop(self) -> requests.SubRequest | None:
        """Removes and returns the next sub-request, or None."""
        heap = self._choose_heap()
        if not heap:
            return None
        request = heapq.heappop(heap)[2]
        del self._waiting[request.attempt_id]
        self._urgent_run_length = (
            self._urgent_run_length + 1 if request.urgent else 0
        )
        return request

    def pop_expired(self, now: float) -> list[requests.SubRequest]:
        """Removes and returns the sub-requests whose deadline has passed."""
        expired = []
        for heap in (self._urgent, self._ordinary):
            self._drop_removed(heap)
            while heap and heap[0][0] <= now:
                request = heapq.heappop(heap)[2]
                if self._waiting.pop(request.attempt_id, None) is not None:
                    expired.append(request)
                self._drop_removed(heap)
        return expired

    def find_earliest_deadline(self) -> float | None:
        """Returns the earliest deadline in the queue; None if it is empty."""
        heads = []
        for heap in (self._urgent, self._ordinary):
            self._drop_removed(heap)
            if heap:
                heads.append(heap[0][0])
        return min(heads) if heads else None

    def _choose_heap(self) -> list[tuple[float, int, requests.SubRequest]]:
        self._drop_removed(self._urgent)
        self._drop_removed(self._ordinary)
        if not self._urgent:
            return self._ordinary
        if self._ordinary and self._urgent_run_length >= MAX_CONSECUTIVE_URGENT:
            return self._ordinary
        return self._urgent

    def _choose_shed(
        self, newcomer: requests.SubRequest
    ) -> requests.SubRequest:
        if not newcomer.urgent:
            return newcomer
        self._drop_removed(self._ordinary)
        if not self._ordinary:
            return newcomer
        waiting = [
            entry
            for entry in self._ordinary
            if entry[2].attempt_id in self._waiting
        ]
        return max(waiting)[2]

    def _drop_removed(
        self, heap: list[tuple[float, int, requests.SubRequest]]
    ) -> None:
        while heap and heap[0][2].attempt_id not in self._waiting:
            heapq.heappop(heap)
