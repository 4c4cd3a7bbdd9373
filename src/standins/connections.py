"""Server connections that can be counted, refused and cut off."""

import asyncio
import time
import typing

from aiohttp import web

# A new connection counts once its first bytes show that it is not a control
# connection, or after this time. Control calls then work at the limit.
_CLASSIFY_TIMEOUT_S = 0.005


class ConnectionTracker(typing.Protocol):
    """What a connection asks its server."""

    def accept(self, connection: "Connection") -> bool:
        """Returns False to abort a new connection."""

    def admit(self, connection: "Connection") -> bool:
        """Counts a connection; returns False if it is above the limit."""

    def discard(self, connection: "Connection") -> None:
        """Forgets a connection that has ended."""


class Connection(web.RequestHandler):
    """One accepted connection.

    Attributes:
      source: Address of the client.
      opened_at: Monotonic seconds.
      control: Whether its first request is a control call.
      is_counted: Whether it counts towards the limit.
      cut: Whether this process ended it without a whole reply.
      request_count: Requests taken from it.
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
        """Aborts the connection or waits for its first bytes."""
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
        """Tells the server that the connection has ended."""
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
    """Returns a reply whose body is cut after ``fraction`` of its length."""
    lines = [f"HTTP/1.1 {status} Cut"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body[: int(len(body) * fraction)]
