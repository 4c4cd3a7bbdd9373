"""A simple HTTP server that answers each request at once."""

import asyncio
import collections.abc

from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import server_connections

_BACKLOG = 256  # Connections that wait to be accepted.


class HttpServer:
    """An HTTP server that answers each request at once.

    Args:
      handle: Returns status, headers and body for a request.
    """

    __slots__ = ("limits", "is_closing", "_handle", "_servers", "_connections")

    def __init__(
        self,
        *,
        handle: collections.abc.Callable[
            [server_connections.HttpRequest],
            tuple[int, exchanges.Headers, bytes],
        ],
    ):
        self.limits = declarations.CallerLimits()
        self.is_closing = False
        self._handle = handle
        self._servers: list[asyncio.Server] = []
        self._connections: set[server_connections.ServerConnection] = set()

    async def open(self, address: tuple[str, int]) -> None:
        """Starts to listen on an address."""
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(
                lambda: server_connections.ServerConnection(
                    handler=self, loop=loop
                ),
                *address,
                backlog=_BACKLOG,
            )
        )

    def close(self) -> None:
        """Closes listeners and connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close()

    def add_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Adds a new connection."""
        self._connections.add(connection)

    def remove_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def handle_request(
        self,
        connection: server_connections.ServerConnection,
        http_request: server_connections.HttpRequest,
    ) -> None:
        """Answers one request."""
        connection.respond(*self._handle(http_request))
