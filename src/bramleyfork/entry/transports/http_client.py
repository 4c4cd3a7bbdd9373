"""A client's side of one HTTP/1.1 connection."""

import asyncio
import collections.abc
import typing

import httptools

# Kept connections are closed this long before the target would do so, as a
# request that meets the target's close may have run.
_KEEP_MARGIN_S = 1.0
# Time a connection is kept if the target names none.
_KEEP_DEFAULT_S = 20.0
_REPLY_LIMIT = 8 * 1024 * 1024  # Bytes; more is no reply of a target.


class HttpResponse:
    """A reply as it was parsed."""

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
        """Returns the first value of a header; ``name`` in lower case."""
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None


ResponseCallback = collections.abc.Callable[
    ["ClientConnection", HttpResponse | None, str], None
]


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and reads its whole reply.

    Args:
      loop: The event loop.
      on_response: Called once per request with the reply, or with None and a
        fault: "lost" or "garbled".
      on_closed: Called once when the connection has ended.
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
        "_is_framed",
        "_is_whole",
        "_has_extra",
        "_is_head",
        "_keeps",
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
        self._is_framed = False
        self._is_whole = False
        self._has_extra = False
        self._keeps = False

    def send(self, data: bytes, *, is_head: bool = False) -> None:
        """Writes a whole request; the connection must be idle."""
        self._clear()
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self.is_busy = True
        self.last_used_at = self._loop.time()
        self._transport.write(data)

    def abort(self) -> None:
        """Ends the connection at once; ``on_response`` is not called."""
        self.is_busy = False
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the reply."""
        if not self.is_busy:
            # Bytes that no request waits for; nothing after them can be told
            # apart.
            self.abort()
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish_garbled()
            return
        if self._size > _REPLY_LIMIT:
            self._finish_garbled()
        elif self._is_whole:
            self._finish()

    def eof_received(self) -> bool | None:
        """Completes a reply whose body ends with the connection."""
        if not self.is_busy or self._status < 200:
            return None
        if not self._is_framed and not self._is_whole:
            self._finish(keeps=False)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the request under way as lost."""
        del exc
        self._transport = None
        self.is_open = False
        if self.is_busy:
            self.is_busy = False
            self._on_response(self, None, "lost")
        self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Notes bytes of a second reply."""
        if self._is_whole:
            self._has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        if not self._is_whole:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes whether the body has a stated end."""
        if self._is_whole:
            return
        self._status = self._parser.get_status_code()
        self._is_framed = any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if self._is_head and self._status >= 200:
            # A reply to HEAD states a length and has no body; the parser can't
            # be told so, and the connection is not used again.
            self._is_whole = True
            self._has_extra = True

    def on_body(self, body: bytes) -> None:
        """Collects a piece of the body."""
        if not self._is_whole:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Notes the end of the reply; an interim reply is passed over."""
        if self._is_whole:
            return
        if self._status < 200:
            self._headers = []
            self._status = 0
            return
        self._is_whole = True
        # The parser forgets the fields that decide this after the message.
        self._keeps = self._parser.should_keep_alive()

    def _finish_garbled(self) -> None:
        # A reply that was whole before the bad bytes belongs to its request;
        # what follows belongs to none.
        if self._is_whole:
            self._has_extra = True
            self._finish()
            return
        self.is_busy = False
        self._on_response(self, None, "garbled")
        self.abort()

    def _finish(self, *, keeps: bool = True) -> None:
        reply = HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
        )
        now = self._loop.time()
        self.is_busy = False
        self.last_used_at = now
        keeps = (
            keeps
            and not self._has_extra
            and self._keeps
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        self.reusable_until = now + _read_keep_alive(reply) if keeps else 0.0
        self._on_response(self, reply, "")
        if not keeps and self._transport is not None:
            self._transport.close()


def _read_keep_alive(reply: HttpResponse) -> float:
    value = reply.get_header(b"keep-alive")
    if value is None:
        return _KEEP_DEFAULT_S
    for field in value.split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return max(0.0, int(seconds) - _KEEP_MARGIN_S)
    return _KEEP_DEFAULT_S
