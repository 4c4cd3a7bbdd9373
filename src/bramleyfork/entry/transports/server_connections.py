"""Server side of HTTP/1.1 connections: parses requests, writes responses."""

import asyncio
import collections
import collections.abc
import socket
import struct
import typing

import httptools

from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import _http_heads

# Pipelined requests that are queued on one connection. With more, reading from
# the connection is paused.
_MAX_PIPELINED_REQUESTS = 4

# The smoothed round-trip time in microseconds (tcpi_rtt) in Linux's tcp_info.
_TCP_INFO_RTT_FORMAT = struct.Struct("68xI")

# States of a connection.
IDLE = "idle"
READING_HEAD = "reading"  # Part of a request head has arrived.
READING_BODY = "receiving"  # The head and part of the body have arrived.
BUSY = "busy"  # A request waits for its response.


class HttpRequest:
    """A parsed request.

    Attributes:
      method: Method as sent.
      url: Path and query as sent.
      headers: Names and values as sent.
      body: Whole body.
      keeps_alive: Whether the connection may be used for further requests.
      received_at: Monotonic time at which the request began to arrive.
    """

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
        """Returns the first value of a header field; None without the field.

        Args:
          name: Name of the field in lower case.
        """
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None


class ConnectionHandler(typing.Protocol):
    """Handles requests, and the opening and closing of connections.

    Implemented by the transports that listen.

    Attributes:
      limits: Limits that requests and connections have to keep.
      is_closing: Whether connections are closed after their next response.
    """

    limits: declarations.CallerLimits
    is_closing: bool

    def handle_request(
        self, connection: "ServerConnection", http_request: HttpRequest
    ) -> None:
        """Handles a whole request; responds with ``connection.respond``."""

    def add_connection(self, connection: "ServerConnection") -> None:
        """Called when a connection has been opened."""

    def remove_connection(self, connection: "ServerConnection") -> None:
        """Called when a connection has ended."""


class ServerConnection(asyncio.Protocol):
    """Parses requests of one connection and writes their responses in order.

    One request is handled at a time; further ones are queued. A request that is
    malformed or exceeds a limit is refused and the connection is closed, as the
    start of the next request can't be determined.

    Args:
      handler: Handles the requests.
      loop: The event loop.

    Attributes:
      caller: IP address of the caller.
      rtt_s: Round-trip time to the caller; 0 if it is not known.
      state: IDLE, READING_HEAD, READING_BODY or BUSY.
      state_changed_at: Monotonic time at which the state last became IDLE,
        READING_HEAD or READING_BODY.
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
        "_framing_bytes",
        "_body",
        "_is_in_body",
        "_received_at",
        "_queued",
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
        self._queued: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._refused = False
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._framing_bytes = 0
        self._body = bytearray()
        self._is_in_body = False
        self._received_at = 0.0

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and reads the caller's address and latency."""
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.caller = peer[0] if peer else ""
        self.rtt_s = _measure_round_trip(transport.get_extra_info("socket"))
        self._handler.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parses received data; refuses a request that is malformed."""
        if self._refused:
            return
        if self.state == IDLE:
            self.state = READING_HEAD
            self.state_changed_at = self._loop.time()
        body_size = len(self._body)
        # The head and everything in a chunked body that is not content: sizes
        # of chunks, their extensions, and trailers.
        self._framing_bytes += len(data)
        try:
            self._feed_parser(data)
        except httptools.HttpParserError:
            self.refuse(400)
        else:
            if len(self._body) > body_size:
                self._framing_bytes = 0
            self._check_framing_size()

    def _feed_parser(self, data: bytes) -> None:
        """Parses data and ignores offers to upgrade the connection.

        The parser ends a request with such an offer with its head, whatever its
        length. A server may ignore the offer (RFC 9110, section 7.8), so the
        head is parsed again without it, followed by the rest of the data.

        Raises:
          HttpParserError: The data is malformed, or asks for a tunnel.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self._refused:
                    return
                if self._parser.get_method() == b"CONNECT":
                    raise httptools.HttpParserError("tunnel") from upgrade
                head = _http_heads.encode_request_without_offer(
                    self._parser.get_method(),
                    self._url,
                    self._parser.get_http_version(),
                    tuple(self._headers),
                )
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                continue
            return

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops queued requests and notifies the handler."""
        del exc
        self._transport = None
        self._queued.clear()
        self._handler.remove_connection(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Resets the state of the request that is being parsed."""
        framing_bytes = self._framing_bytes
        self._reset()
        self._framing_bytes = framing_bytes
        self._received_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; trailers after the body are discarded."""
        if not self._is_in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the size of the head; answers ``Expect: 100-continue``."""
        self._framing_bytes = 0
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
        """Appends a piece of the body; refuses a body that is too large."""
        if self._refused:
            return
        if len(self._body) + len(body) > self._handler.limits.body_bytes:
            self.refuse(413)
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queues the request; passes it to the handler if none is ahead."""
        if self._refused or self._parser.should_upgrade():
            return
        http_request = HttpRequest(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            body=bytes(self._body),
            keeps_alive=self._parser.should_keep_alive(),
            received_at=self._received_at,
        )
        self._reset()
        self._queued.append(http_request)
        if len(self._queued) > _MAX_PIPELINED_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._handle_next()

    # Called by the handler.

    def respond(
        self, status: int, headers: exchanges.Headers, body: bytes
    ) -> None:
        """Writes the response to the current request.

        Does nothing if the connection has ended.

        Args:
          status: Status code.
          headers: Header fields; those of the connection are left out.
          body: Whole body.
        """
        http_request = self._current
        if self._transport is None or http_request is None:
            return
        self._current = None
        keeps_alive = http_request.keeps_alive and not self._handler.is_closing
        self._write(
            _http_heads.encode_response(
                status, headers, body, http_request.method, keeps_alive
            )
        )
        self.state = IDLE
        self.state_changed_at = self._loop.time()
        if not keeps_alive:
            self._transport.close()
            return
        self._handle_next()

    def refuse(self, status: int) -> None:
        """Refuses the request that is being read and closes the connection.

        Requests that were read before it are answered first; the connection is
        then closed without the refusal.

        Args:
          status: Status code of the refusal.
        """
        if self._refused:
            return
        self._refused = True
        if self._transport is None or self._current is not None:
            return
        self._write(_http_heads.encode_response(status, (), b"", b"GET", False))
        self._transport.close()

    def close(self) -> None:
        """Closes the connection after buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def _check_framing_size(self) -> None:
        if self._framing_bytes > 2 * self._handler.limits.header_bytes:
            self.refuse(431)

    def _handle_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if not self._queued:
            if self._refused:
                self._transport.close()
            return
        self._current = self._queued.popleft()
        self.state = BUSY
        if len(self._queued) == _MAX_PIPELINED_REQUESTS:
            self._transport.resume_reading()
        self._handler.handle_request(self, self._current)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


def _measure_round_trip(sock: socket.socket) -> float:
    """Returns the kernel's round-trip time in seconds; 0 if unknown."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_RTT_FORMAT.size
        )
    except (OSError, AttributeError):
        return 0.0  # TCP_INFO is not supported; treated as a nearby caller.
    if len(info) < _TCP_INFO_RTT_FORMAT.size:
        return 0.0
    return _TCP_INFO_RTT_FORMAT.unpack(info)[0] / 1_000_000
