"""A listening address that can stop and listen again on the same port."""

import asyncio
import collections.abc
import socket
import typing

from aiohttp import web

from standins import connections

# A control call publishes a whole set of values in one body.
_MAX_BODY_BYTES = 256 * 1024 * 1024

Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


def _create_request(
    message: typing.Any,
    payload: typing.Any,
    protocol: typing.Any,
    writer: typing.Any,
    task: typing.Any,
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=_MAX_BODY_BYTES,
    )


class Listener:
    """Accepts connections on one address.

    Args:
      address: address:port; for port 0 a free port is chosen and kept.
      tracker: Decides which connections are accepted.
      handler: Answers each request.

    Attributes:
      address: address:port with the chosen port.
    """

    __slots__ = (
        "address",
        "_tracker",
        "_manager",
        "_port_reservation",
        "_server",
    )

    def __init__(
        self,
        *,
        address: str,
        tracker: connections.ConnectionTracker,
        handler: Handler,
    ):
        self._tracker = tracker
        self._manager = web.Server(handler, request_factory=_create_request)
        host, _, port = address.rpartition(":")
        # This socket never listens. It stays bound so that no other process
        # gets the port while the listener is stopped.
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )
        self._port_reservation.bind((host, int(port)))
        self.address = f"{host}:{self._port_reservation.getsockname()[1]}"
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._connect, host, int(port), backlog=1024
        )

    def stop_listening(self) -> None:
        """Stops listening; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stops listening and releases the port."""
        self.stop_listening()
        self._port_reservation.close()

    def _connect(self) -> connections.Connection:
        return connections.Connection(self._manager, tracker=self._tracker)
