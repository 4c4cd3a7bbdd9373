"""A simple HTTP server that answers each request at once."""

import asyncio
import collections.abc

from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import limits
from bramleyfork.listeners import resources as resources_module
from bramleyfork.listeners import server_connections
from bramleyfork.listeners import sockets
from bramleyfork.listeners import timeouts

# Pages are read with requests without a body.
_MAX_BODY_BYTES = 16 * 1024
_LINGER_BYTES = 64 * 1024  # Dropped after a refusal.


class HttpServer:
    """An HTTP server that answers each request at once.

    Args:
      handle: Returns status, headers and body for a request.
      resources: What all connections of the event loop share.

    Attributes:
      limits: Limits on requests and connections.
      resources: What all connections of the event loop share.
      is_closing: Whether connections are closed after their next response.
      linger_bytes: Bytes that are read and dropped after a refusal.
    """

    __slots__ = (
        "limits",
        "resources",
        "is_closing",
        "linger_bytes",
        "_handle",
        "_servers",
        "_connections",
        "_timer",
    )

    def __init__(
        self,
        *,
        handle: collections.abc.Callable[
            [http_requests.HttpRequest],
            tuple[int, http_heads.Headers, bytes],
        ],
        resources: resources_module.LoopResources,
    ):
        self.limits = limits.CallerLimits(body_bytes=_MAX_BODY_BYTES)
        self.resources = resources
        self.is_closing = False
        self.linger_bytes = _LINGER_BYTES
        self._handle = handle
        self._servers: list[asyncio.Server] = []
        self._connections: set[server_connections.ServerConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Starts to listen on an address."""
        loop = asyncio.get_running_loop()
        self._servers.append(
            await sockets.open_server(
                lambda: server_connections.ServerConnection(
                    handler=self, loop=loop
                ),
                address,
            )
        )

    def close(self) -> None:
        """Closes listeners and connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close()
        if self._timer is not None:
            self._timer.cancel()

    def add_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Adds a new connection."""
        self._connections.add(connection)
        self._schedule_check()

    def remove_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def handle_request(
        self,
        connection: server_connections.ServerConnection,
        http_request: http_requests.HttpRequest,
    ) -> None:
        """Answers one request."""
        connection.respond(*self._handle(http_request))

    def build_refusal(self, status: int) -> tuple[http_heads.Headers, bytes]:
        """Returns headers and body of the refusal of an incomplete request."""
        return http_heads.build_refusal_headers(status), b""

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                timeouts.CHECK_INTERVAL_S, self._check_timeouts
            )

    def _check_timeouts(self) -> None:
        self._timer = None
        timeouts.check_connections(
            self._connections,
            timeouts.build_time_limits(self.limits),
            asyncio.get_running_loop().time(),
        )
        if self._connections:
            self._schedule_check()
