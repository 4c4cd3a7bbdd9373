"""Requests of one connection that wait for the response before them."""

import collections

from bramleyfork.listeners import http_requests

# Pipelined requests, and their bytes, that wait on one connection. With more,
# reading from the connection is paused.
_MAX_REQUESTS = 4
_MAX_BYTES = 64 * 1024


class RequestQueue:
    """Requests of one connection that wait for the response before them.

    Attributes:
      held_bytes: Memory that they take, in bytes.
    """

    __slots__ = ("held_bytes", "_requests")

    def __init__(self):
        self.held_bytes = 0
        self._requests: collections.deque[http_requests.HttpRequest] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._requests)

    def append(self, http_request: http_requests.HttpRequest) -> None:
        """Adds a request that has been read whole."""
        self._requests.append(http_request)
        self.held_bytes += http_request.held_bytes

    def pop(self) -> http_requests.HttpRequest:
        """Removes and returns the first request."""
        http_request = self._requests.popleft()
        self.held_bytes -= http_request.held_bytes
        return http_request

    def clear(self) -> None:
        """Drops all requests."""
        self._requests.clear()
        self.held_bytes = 0

    def is_full(self, incomplete_bytes: int) -> bool:
        """Returns whether reading from the connection has to pause.

        Args:
          incomplete_bytes: Size of the request that is being read.
        """
        if len(self._requests) > _MAX_REQUESTS:
            return True
        return self.held_bytes + incomplete_bytes > _MAX_BYTES
