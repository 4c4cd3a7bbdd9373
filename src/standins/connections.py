"""Server connections that a stand-in can count, refuse and abort."""

import asyncio
import time
import typing

from aiohttp import web

# Seconds. A new connection is counted towards the limit when its first bytes
# show that it is not for control calls, or after this time without any bytes.
# Control calls therefore work when the limit is reached.
_CLASSIFY_TIMEOUT_S = 0.005


class ConnectionTracker(typing.Protocol):
    """The server's decisions about its connections."""

    def accept(self, connection: "Connection") -> bool:
        """Returns whether to keep a new connection; it is aborted otherwise."""

    def admit(self, connection: "Connection") -> bool:
        """Counts a connection; returns False if it exceeds the limit."""

    def discard(self, connection: "Connection") -> None:
        """Removes a connection that has ended."""


class Connection(web.RequestHandler):
    """One accepted connection.

    Attributes:
      source: IP address of the client.
      opened_at: Monotonic time in seconds at which it was accepted.
      control: Whether its first request is a control call.
      is_counted: Whether it counts towards the limit.
      cut: Whether this process ended it without a complete reply.
      request_count: Number of requests received on it.
    """

    __slots__ = (
        "source", "opened_at", "control", "is_counted", "cut", "request_count",
        "_tracker", "_timer", "_is_unclassified",
    )  # fmt: skip

    def __init__(self, manager: web.Server, *, tracker: ConnectionTracker):
        super().__init__(
            manager, loop=asyncio.get_running_loop(), access_log=None
        )
        self.source = ""
        self.opened_at = time.monotonic()
        self.control = False
        self.is_counted = False
        self.cut = False
        self.request_count = 0
        self._tracker = tracker
        self._timer: asyncio.TimerHandle | None = None
        self._is_unclassified = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks the tracker, then waits for the first bytes to classify it."""
        super().connection_made(transport)
        self.source = transport.get_extra_info("peername")[0]
        if not self._tracker.accept(self):
            self.abort_connection()
            return
        self._timer = asyncio.get_running_loop().call_later(
            _CLASSIFY_TIMEOUT_S, self._classify, b""
        )

    def data_received(self, data: bytes) -> None:
        """Classifies the connection by its first bytes, then parses them."""
        if self._is_unclassified:
            self._classify(data)
        if not self.cut:
            super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection from the tracker."""
        self._is_unclassified = False
        if self._timer is not None:
            self._timer.cancel()
        self._tracker.discard(self)
        super().connection_lost(exc)

    def abort_connection(self) -> None:
        """Aborts the connection; a reply in progress is lost."""
        self.cut = True
        if self.transport is not None:
            self.transport.abort()

    def send_and_close(self, data: bytes) -> None:
        """Sends ``data`` as the last bytes of the connection."""
        self.cut = True
        if self.transport is not None:
            self.transport.write(data)
            self.transport.close()

    def _classify(self, data: bytes) -> None:
        if not self._is_unclassified or self.cut:
            return
        self._is_unclassified = False
        if self._timer is not None:
            self._timer.cancel()
        if data.startswith((b"GET /control/", b"POST /control/")):
            self.control = True
            return
        if not self._tracker.admit(self):
            self.cut = True
            self.transport.close()


def encode_truncated_reply(
    status: int, headers: dict[str, str], body: bytes, fraction: float
) -> bytes:
    """Returns a reply whose body is truncated to ``fraction`` of its length.

    The Content-Length header states the full length.
    """
    lines = [f"HTTP/1.1 {status} Cut"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body[: int(len(body) * fraction)]
