"""Pools of the connections to targets, with the attempts that wait for one."""

import collections

from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import http_client

# Connections that close within this time of each other close together.
_CLOSE_TOGETHER_S = 0.05


class Attempt:
    """An attempt that waits for a connection or for its reply.

    Attributes:
      send: The request and its target.
      pool: The connections to the target.
      connection: The connection it was sent on; None while it is queued.
      sent_at: Monotonic time at which it was sent; 0 while it is queued.
    """

    __slots__ = ("send", "pool", "connection", "sent_at")

    def __init__(self, *, send: exchanges.TargetRequest, pool: "Pool"):
        self.send = send
        self.pool = pool
        self.connection: http_client.ClientConnection | None = None
        self.sent_at = 0.0


class Pool:
    """The connections to one target, and the attempts that wait for one.

    Attributes:
      idle: Connections without a request.
      connections: All open connections.
      count: Number of connections, including those that are being opened.
      opening: Number of connections that are being opened.
      waiting: Queued attempts.
      lost: Attempts whose connection closed without a byte of a reply, while it
        is not known yet whether the target ended.
    """

    __slots__ = (
        "idle",
        "connections",
        "count",
        "opening",
        "waiting",
        "lost",
        "_closed_at",
    )

    def __init__(self):
        self.idle: list[http_client.ClientConnection] = []
        self.connections: set[http_client.ClientConnection] = set()
        self.count = 0
        self.opening = 0
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.lost: list[Attempt] = []
        # Monotonic times at which the target closed two connections last.
        self._closed_at: collections.deque[float] = collections.deque(maxlen=2)

    def remove(
        self, connection: http_client.ClientConnection, now: float
    ) -> None:
        """Removes a connection that has closed, if it isn't removed yet."""
        if connection in self.idle:
            self.idle.remove(connection)
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        if not connection.is_closed_here:
            self._closed_at.append(now)

    def has_lost_all(self, now: float) -> bool:
        """Returns whether the target has closed all connections at once.

        It holds if there were several and they have just closed. A target that
        ended and started again at once shows this way; one that lost a single
        reply keeps its other connections.
        """
        return (
            not self.connections
            and len(self._closed_at) > 1
            and now - self._closed_at[0] < 2 * _CLOSE_TOGETHER_S
            and self._closed_at[1] - self._closed_at[0] < _CLOSE_TOGETHER_S
        )
