"""Pools of the connections to targets, with the attempts that wait for one."""

import asyncio
import collections

from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import http_client
from bramleyfork.entry.transports import http_responses

# Connections that close within this time of each other close together.
_CLOSE_TOGETHER_S = 0.05
# Number of failed requests after which a connection is not reused, as their ids
# are kept for as long as it is open.
_MAX_FAILED_REQUESTS = 64


class Attempt:
    """An attempt that waits for a connection or for its reply.

    Attributes:
      send: The request and its target.
      pool: The connections to the target.
      connection: The connection it was sent on; None while it is queued.
      sent_at: Monotonic time at which it was sent; 0 while it is queued.
      response: A response that ended with its connection, while it is not known
        yet whether the target ended; None for none.
    """

    __slots__ = ("send", "pool", "connection", "sent_at", "response")

    def __init__(self, *, send: exchanges.TargetRequest, pool: "Pool"):
        self.send = send
        self.pool = pool
        self.connection: http_client.ClientConnection | None = None
        self.sent_at = 0.0
        self.response: http_responses.HttpResponse | None = None

    @property
    def request_id(self) -> bytes:
        """The caller's id, which all attempts at a request share."""
        return self.send.request.request_id


class Pool:
    """The connections to one target, and the attempts that wait for one.

    A request that a target has answered with a failure may be sent to it again,
    with the same id. A second copy of the first answer would then pass for the
    answer to the second attempt, so each attempt at a request is sent on
    another connection.

    Attributes:
      idle: Connections without a request.
      connections: All open connections.
      count: Number of connections, including those that are being opened.
      opening: Number of connections that are being opened.
      waiting: Queued attempts.
      lost: Attempts whose connection closed before their reply was known to be
        complete, while it is not known yet whether the target ended.
      check_timer: Ends the check of whether the target ended; None without one.
      is_refused: Whether the target refused the connection that was opened
        last.
      lost_all_at: Monotonic time at which the target last closed several
        connections, all that were open, at once; 0 for never.
    """

    __slots__ = (
        "idle",
        "connections",
        "count",
        "opening",
        "waiting",
        "lost",
        "check_timer",
        "is_refused",
        "lost_all_at",
        "_closing_at",
        "_closing_count",
        "_failed_requests",
    )

    def __init__(self):
        self.idle: list[http_client.ClientConnection] = []
        self.connections: set[http_client.ClientConnection] = set()
        self.count = 0
        self.opening = 0
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.lost: list[Attempt] = []
        self.check_timer: asyncio.TimerHandle | None = None
        self.is_refused = False
        self.lost_all_at = 0.0
        # Number of connections that the target has closed together, and the
        # monotonic time at which the first one closed.
        self._closing_at = 0.0
        self._closing_count = 0
        # Ids of the requests that a connection has received a failure for.
        self._failed_requests: dict[
            http_client.ClientConnection, set[bytes]
        ] = {}

    def take_idle(
        self, request_id: bytes
    ) -> http_client.ClientConnection | None:
        """Removes and returns an idle connection for a request, or None.

        It is the one that was used last among those on which the request has
        not failed before.
        """
        for connection in reversed(self.idle):
            if not self.has_failed_on(connection, request_id):
                self.idle.remove(connection)
                return connection
        return None

    def take_waiting(
        self, connection: http_client.ClientConnection
    ) -> Attempt | None:
        """Removes and returns the first attempt that may use a connection."""
        for attempt in self.waiting:
            if not self.has_failed_on(connection, attempt.request_id):
                self.waiting.remove(attempt)
                return attempt
        return None

    def record_failed(self, attempt: Attempt) -> bool:
        """Records that a target has answered an attempt with a failure.

        Returns:
          Whether its connection may be reused for other requests.
        """
        failed = self._failed_requests.setdefault(attempt.connection, set())
        failed.add(attempt.request_id)
        return len(failed) < _MAX_FAILED_REQUESTS

    def has_failed_on(
        self, connection: http_client.ClientConnection, request_id: bytes
    ) -> bool:
        """Returns whether a request has failed on a connection before."""
        return request_id in self._failed_requests.get(connection, ())

    def needs_replacement(self, attempt: Attempt) -> bool:
        """Returns whether an attempt waits for a connection in vain.

        It does if its request has failed on all connections and no other one
        may be opened.
        """
        if self.opening or self.count < attempt.send.connection_limit:
            return False
        return all(
            self.has_failed_on(connection, attempt.request_id)
            for connection in self.connections
        )

    def add(self, connection: http_client.ClientConnection) -> None:
        """Adds a connection that has opened."""
        self.connections.add(connection)
        # One that closes later does not close together with earlier ones.
        self._closing_count = 0
        self._closing_at = 0.0

    def remove(
        self, connection: http_client.ClientConnection, now: float
    ) -> None:
        """Removes a connection that has closed, if it isn't removed yet."""
        self._failed_requests.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        if connection.is_closed_here:
            return
        if now - self._closing_at >= _CLOSE_TOGETHER_S:
            self._closing_at = now
            self._closing_count = 0
        self._closing_count += 1
        if self.has_lost_all(now):
            self.lost_all_at = now

    def is_down(self) -> bool:
        """Returns whether the target refuses connections and has closed all.

        A target that refuses a connection and keeps others is at its limit.
        """
        return self.is_refused and not self.connections

    def has_lost_all(self, now: float) -> bool:
        """Returns whether the target has closed all connections at once.

        It holds if there were several and they have just closed. A target that
        ended and started again at once shows this way; one that lost a single
        reply keeps its other connections.
        """
        return (
            not self.connections
            and self._closing_count > 1
            and now - self._closing_at < 2 * _CLOSE_TOGETHER_S
        )
