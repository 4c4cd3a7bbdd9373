"""Client side of an HTTP/1.1 connection to a target."""

import asyncio
import collections.abc
import typing

import httptools

# Idle connections are closed this long before the target's keep-alive timeout:
# a request that is sent while the target closes the connection may have run.
_KEEP_ALIVE_MARGIN_S = 1.0
# Time for which a connection may be reused if the target states no timeout.
_KEEP_ALIVE_DEFAULT_S = 20.0
_MAX_REPLY_BYTES = 8 * 1024 * 1024  # A larger reply is reported as garbled.


class HttpResponse:
    """A parsed response."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ):
        self.status = status
        self.headers = headers
        self.body = body

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header field; None without the field.

        Args:
          name: Name of the field in lower case.
        """
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None


ResponseCallback = collections.abc.Callable[
    ["ClientConnection", HttpResponse | None, str], None
]


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and reads its complete response.

    Args:
      loop: The event loop.
      on_response: Called once per request with the response, or with None and a
        fault: "lost" if the connection ended first, "garbled" if the response
        is malformed or too large.
      on_closed: Called once when the connection has ended.

    Attributes:
      reusable_until: Monotonic time until which the connection may be reused; 0
        if it may not be.
      last_used_at: Monotonic time of the last request or response.
      is_busy: Whether a request waits for its response.
      is_open: Whether the connection is open.
    """

    __slots__ = (
        "reusable_until",
        "last_used_at",
        "is_busy",
        "is_open",
        "_loop",
        "_on_response",
        "_on_closed",
        "_transport",
        "_parser",
        "_status",
        "_headers",
        "_chunks",
        "_size",
        "_has_declared_length",
        "_is_complete",
        "_has_surplus_data",
        "_is_head",
        "_keeps_alive",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        on_response: ResponseCallback,
        on_closed: collections.abc.Callable[["ClientConnection"], None],
    ):
        self.reusable_until = 0.0
        self.last_used_at = loop.time()
        self.is_busy = False
        self.is_open = False
        self._loop = loop
        self._on_response = on_response
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser: typing.Any = None
        self._is_head = False
        self._clear()

    def _clear(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._has_declared_length = False
        self._is_complete = False
        self._has_surplus_data = False
        self._keeps_alive = False

    def send(self, data: bytes, *, is_head: bool = False) -> None:
        """Writes a whole request; the connection must be idle."""
        self._clear()
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self.is_busy = True
        self.last_used_at = self._loop.time()
        self._transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once; ``on_response`` is not called."""
        self.is_busy = False
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parses received data and reports the response once complete."""
        if not self.is_busy:
            # No request waits for this data. A later response could not be
            # told apart from it.
            self.abort()
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish_garbled()
            return
        if self._size > _MAX_REPLY_BYTES:
            self._finish_garbled()
        elif self._is_complete:
            self._finish()

    def eof_received(self) -> bool | None:
        """Completes a response whose body ends with the connection."""
        if not self.is_busy or self._status < 200:
            return None
        if not self._has_declared_length and not self._is_complete:
            self._finish(keeps_alive=False)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports a request without a complete response as lost."""
        del exc
        self._transport = None
        self.is_open = False
        if self.is_busy:
            self.is_busy = False
            self._on_response(self, None, "lost")
        self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Notes surplus data if the response is already complete."""
        if self._is_complete:
            self._has_surplus_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field."""
        if not self._is_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Reads the status and whether the length of the body is declared."""
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        self._has_declared_length = any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if self._is_head and self._status >= 200:
            # The response to HEAD has no body even if it declares a length. The
            # parser has no option for that, so the response is completed here
            # and the connection is not reused.
            self._is_complete = True
            self._has_surplus_data = True

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        if not self._is_complete:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete; discards an interim (1xx) one."""
        if self._is_complete:
            return
        if self._status < 200:
            self._headers = []
            self._status = 0
            return
        self._is_complete = True
        # The parser discards the fields that decide this after the message.
        self._keeps_alive = self._parser.should_keep_alive()

    def _finish_garbled(self) -> None:
        # A response that was complete before malformed data is valid. The data
        # after it belongs to no request.
        if self._is_complete:
            self._has_surplus_data = True
            self._finish()
            return
        self.is_busy = False
        self._on_response(self, None, "garbled")
        self.abort()

    def _finish(self, *, keeps_alive: bool = True) -> None:
        reply = HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
        )
        now = self._loop.time()
        self.is_busy = False
        self.last_used_at = now
        keeps_alive = (
            keeps_alive
            and not self._has_surplus_data
            and self._keeps_alive
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        self.reusable_until = (
            now + _read_keep_alive(reply) if keeps_alive else 0.0
        )
        self._on_response(self, reply, "")
        if not keeps_alive and self._transport is not None:
            self._transport.close()


def _read_keep_alive(reply: HttpResponse) -> float:
    value = reply.get_header(b"keep-alive")
    if value is None:
        return _KEEP_ALIVE_DEFAULT_S
    for field in value.split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return max(0.0, int(seconds) - _KEEP_ALIVE_MARGIN_S)
    return _KEEP_ALIVE_DEFAULT_S
