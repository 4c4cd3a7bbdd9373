"""A server's side of one HTTP/1.1 connection."""

import asyncio
import collections
import collections.abc
import http
import socket
import struct
import typing

import httptools

from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges

# Requests that a caller may send ahead on one connection before reading of
# that connection stops.
_PIPELINE_LIMIT = 4
_BACKLOG = 256

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}

# Fields that concern one connection only (RFC 9110, section 7.6.1), and those
# that frame the body, which are written anew.
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)

# Offset of the smoothed round trip in microseconds in Linux's tcp_info.
_TCP_INFO_RTT = struct.Struct("68xI")

IDLE = "idle"
READING_HEAD = "reading"  # Within a head.
READING_BODY = "receiving"  # Within a body.
BUSY = "busy"


class HttpRequest:
    """A request as it was parsed."""

    __slots__ = (
        "method",
        "url",
        "headers",
        "body",
        "keeps_alive",
        "received_at",
    )

    def __init__(
        self,
        *,
        method: bytes,
        url: bytes,
        headers: exchanges.Headers,
        body: bytes,
        keeps_alive: bool,
        received_at: float,
    ):
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive
        self.received_at = received_at

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; ``name`` in lower case."""
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None


class ConnectionHandler(typing.Protocol):
    """Who is told of requests; implemented by the transports that listen."""

    limits: declarations.CallerLimits
    is_closing: bool

    def handle_request(
        self, connection: "ServerConnection", http_request: HttpRequest
    ) -> None:
        """Takes a whole request; answers by ``connection.respond``."""

    def add_connection(self, connection: "ServerConnection") -> None:
        """Notes a new connection."""

    def remove_connection(self, connection: "ServerConnection") -> None:
        """Notes that a connection has ended."""


class ServerConnection(asyncio.Protocol):
    """Parses requests of one connection and writes their responses in order.

    One request is under way at a time; further ones wait their turn. A request
    that breaks the syntax or a limit is refused and ends the connection, as
    nothing after it can be told apart.

    Args:
      handler: Takes the requests.
      loop: The event loop.
    """

    __slots__ = (
        "caller",
        "rtt_s",
        "state",
        "state_changed_at",
        "_handler",
        "_loop",
        "_transport",
        "_parser",
        "_url",
        "_headers",
        "_head_bytes",
        "_chunks",
        "_body_bytes",
        "_is_in_body",
        "_received_at",
        "_waiting",
        "_current",
        "_refused",
    )

    def __init__(
        self, *, handler: ConnectionHandler, loop: asyncio.AbstractEventLoop
    ):
        self.caller = ""
        self.rtt_s = 0.0
        self.state = IDLE
        self.state_changed_at = loop.time()
        self._handler = handler
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._refused = False
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._is_in_body = False
        self._received_at = 0.0

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.caller = peer[0] if peer else ""
        self.rtt_s = _measure_round_trip(transport.get_extra_info("socket"))
        self._handler.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived."""
        if self._refused:
            return
        if self.state == IDLE:
            self.state = READING_HEAD
            self.state_changed_at = self._loop.time()
        if not self._is_in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400)
        except httptools.HttpParserError:
            self.refuse(400)
        else:
            self._check_head_size()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner that nobody waits any longer."""
        del exc
        self._transport = None
        self._waiting.clear()
        self._handler.remove_connection(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        head_bytes = self._head_bytes
        self._reset()
        self._head_bytes = head_bytes
        self._received_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Answers an expectation of the caller."""
        self._head_bytes = 0
        self._is_in_body = True
        if self.state == READING_HEAD:
            self.state = READING_BODY
            self.state_changed_at = self._loop.time()
        size = len(self._url) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._handler.limits.header_bytes:
            self.refuse(431)
            return
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collects a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.body_bytes:
            self.refuse(413)
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hands the request over, or lets it wait for the one before."""
        if self._refused:
            return
        http_request = HttpRequest(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            keeps_alive=self._parser.should_keep_alive(),
            received_at=self._received_at,
        )
        self._reset()
        self._waiting.append(http_request)
        if len(self._waiting) > _PIPELINE_LIMIT and self._transport:
            self._transport.pause_reading()
        self._begin_next()

    # Called by the owner.

    def respond(
        self, status: int, headers: exchanges.Headers, body: bytes
    ) -> None:
        """Writes the response to the request under way.

        Args:
          status: Status code.
          headers: Fields; those of CONNECTION_FIELDS are left out.
          body: Whole body.
        """
        http_request = self._current
        if self._transport is None or http_request is None:
            return
        self._current = None
        keeps = http_request.keeps_alive and not self._handler.is_closing
        self._write(_encode(status, headers, body, http_request.method, keeps))
        self.state = IDLE
        self.state_changed_at = self._loop.time()
        if not keeps:
            self._transport.close()
            return
        self._begin_next()

    def refuse(self, status: int) -> None:
        """Refuses what is being read and ends the connection.

        A request under way is answered first; it is left to end by itself.
        """
        if self._refused:
            return
        self._refused = True
        if self._transport is None or self._current is not None:
            return
        self._write(_encode(status, (), b"", b"GET", False))
        self._transport.close()

    def close(self) -> None:
        """Closes the connection after what is written has left."""
        if self._transport is not None:
            self._transport.close()

    def _check_head_size(self) -> None:
        if self._head_bytes > 2 * self._handler.limits.header_bytes:
            self.refuse(431)

    def _begin_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if not self._waiting:
            if self._refused:
                self._transport.close()
            return
        self._current = self._waiting.popleft()
        self.state = BUSY
        if len(self._waiting) == _PIPELINE_LIMIT:
            self._transport.resume_reading()
        self._handler.handle_request(self, self._current)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class HttpServer:
    """Listens for requests that are answered at once.

    Args:
      handle: Returns status, headers and body for a request.
    """

    __slots__ = ("limits", "is_closing", "_handle", "_servers", "_connections")

    def __init__(
        self,
        *,
        handle: collections.abc.Callable[
            [HttpRequest], tuple[int, exchanges.Headers, bytes]
        ],
    ):
        self.limits = declarations.CallerLimits()
        self.is_closing = False
        self._handle = handle
        self._servers: list[asyncio.Server] = []
        self._connections: set[ServerConnection] = set()

    async def open(self, address: tuple[str, int]) -> None:
        """Begins to listen on an address."""
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(
                lambda: ServerConnection(handler=self, loop=loop),
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

    def add_connection(self, connection: ServerConnection) -> None:
        """Notes a new connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Notes that a connection has ended."""
        self._connections.discard(connection)

    def handle_request(
        self, connection: ServerConnection, http_request: HttpRequest
    ) -> None:
        """Answers one request."""
        connection.respond(*self._handle(http_request))


def _measure_round_trip(sock: socket.socket) -> float:
    """Returns the round trip in seconds that the kernel measured, or 0."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_RTT.size
        )
    except (OSError, AttributeError):
        return 0.0  # Not offered here; answers then leave as for a near caller.
    if len(info) < _TCP_INFO_RTT.size:
        return 0.0
    return _TCP_INFO_RTT.unpack(info)[0] / 1_000_000


def _encode(
    status: int,
    headers: exchanges.Headers,
    body: bytes,
    method: bytes,
    keeps_alive: bool,
) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Status")),
        *(
            b"%s: %s" % (name, value)
            for name, value in headers
            if name.lower() not in CONNECTION_FIELDS
        ),
    ]
    if status >= 200 and status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(body))
    if not keeps_alive:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    encoded = b"\r\n".join(lines)
    return encoded if method == b"HEAD" else encoded + body
