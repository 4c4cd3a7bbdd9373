"""Client side of an HTTP/1.1 connection to a target."""

import asyncio
import collections.abc
import typing

import httptools

from bramleyfork.entry.transports import _keep_alive
from bramleyfork.entry.transports import http_responses
from bramleyfork.entry.transports import receive_budgets

# Maximum number of bytes of a response, with its head and its framing.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Statuses that HTTP defines (RFC 9110, section 15). The parser accepts others.
_MIN_STATUS = 100
_MAX_STATUS = 599
# Bytes of a large body that are passed to the transport at once.
_BODY_PIECE_BYTES = 16 * 1024
# Maximum number of bytes without a byte of the body: of the head, of interim
# responses, of chunk extensions or of trailers. None of them is counted by the
# parser, which keeps an incomplete header field in memory.
_MAX_FRAMING_BYTES = 64 * 1024


class InvalidStatusError(ValueError):
    """A response has a status that HTTP doesn't define."""


ResponseCallback = collections.abc.Callable[
    ["ClientConnection", http_responses.HttpResponse | None, str], None
]


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and reads its complete response.

    Args:
      loop: The event loop.
      on_response: Called once per request with the response, or with None and a
        fault: "lost" if the connection ended first, "garbled" if the response
        is malformed, "oversized" if it exceeds a limit.
      on_closed: Called once when the connection has ended.
      budget: Memory that this connection shares with others for its response.

    Attributes:
      reusable_until: Monotonic time until which the connection may be reused; 0
        if it may not be.
      last_used_at: Monotonic time of the last request or response.
      is_busy: Whether a request waits for its response.
      is_open: Whether the connection is open.
      request_count: Number of requests sent so far.
      is_closed_here: Whether this side has closed it.
    """

    __slots__ = (
        "reusable_until",
        "last_used_at",
        "is_busy",
        "is_open",
        "request_count",
        "is_closed_here",
        "_budget",
        "_loop",
        "_unsent",
        "_on_response",
        "_on_closed",
        "_transport",
        "_parser",
        "_status",
        "_headers",
        "_body",
        "_size",
        "_framing_bytes",
        "_is_head_read",
        "_is_oversized",
        "_has_declared_length",
        "_is_complete",
        "_has_surplus_data",
        "_is_head",
        "_expected_header",
        "_keeps_alive",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        on_response: ResponseCallback,
        on_closed: collections.abc.Callable[["ClientConnection"], None],
        budget: receive_budgets.ReceiveBudget,
    ):
        self.reusable_until = 0.0
        self.last_used_at = loop.time()
        self.is_busy = False
        self.is_open = False
        self.request_count = 0
        self.is_closed_here = False
        self._budget = budget
        self._size = 0
        self._loop = loop
        self._on_response = on_response
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        # The part of a large body that hasn't been passed to the transport.
        self._unsent = memoryview(b"")
        self._parser: typing.Any = None
        self._is_head = False
        self._expected_header: tuple[bytes, bytes] | None = None
        self._clear()

    def _clear(self) -> None:
        self._budget.release(self._size)
        self._size = 0
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._framing_bytes = 0
        self._is_head_read = False
        self._is_oversized = False
        self._has_declared_length = False
        self._is_complete = False
        self._has_surplus_data = False
        self._keeps_alive = False
        self._unsent = memoryview(b"")

    def send(
        self,
        data: bytes,
        *,
        body: bytes = b"",
        is_head: bool = False,
        expected_header: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Writes a whole request; the connection must be idle.

        Args:
          data: The encoded request, or its head if a body is given.
          body: A large body, which is sent in pieces. The attempts at a request
            share it, so that each one holds a piece only.
          is_head: Whether its method is HEAD.
          expected_header: Name in lower case and value of a header field that
            identifies the response. A response with another value belongs to
            an earlier request and is discarded; the connection then waits for
            the next response and is not reused. None to accept any response.
        """
        self._clear()
        self._expected_header = expected_header
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self.is_busy = True
        self.request_count += 1
        self.last_used_at = self._loop.time()
        self._transport.write(data)
        if body:
            # Called back as soon as the kernel has accepted all that was
            # written.
            self._transport.set_write_buffer_limits(high=0)
            self._unsent = memoryview(body)
            self._send_pieces()

    def _send_pieces(self) -> None:
        """Writes pieces of the body for as long as the kernel accepts them."""
        transport = self._transport
        while (
            self._unsent
            and transport is not None
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
        ):
            piece = self._unsent[:_BODY_PIECE_BYTES]
            self._unsent = self._unsent[_BODY_PIECE_BYTES:]
            transport.write(piece)

    def abort(self) -> None:
        """Closes the connection at once; ``on_response`` is not called."""
        self.is_busy = False
        self.is_closed_here = True
        self._clear()
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        self.is_open = True

    def pause_writing(self) -> None:
        """Does nothing: the next piece is written once none is buffered."""

    def resume_writing(self) -> None:
        """Writes the next pieces of the body."""
        self._send_pieces()

    def data_received(self, data: bytes) -> None:
        """Parses received data and reports the response once complete."""
        if not self.is_busy:
            # No request waits for this data. A later response could not be
            # told apart from it.
            self.abort()
            return
        if not self._reserve(len(data)):
            self._fail("oversized")
            return
        body_size = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish_garbled()
            return
        if self._is_complete:
            self._finish()
            return
        if len(self._body) > body_size:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
        if self._is_oversized or self._framing_bytes > _MAX_FRAMING_BYTES:
            self._fail("oversized")

    def _reserve(self, count: int) -> bool:
        if self._size + count > MAX_RESPONSE_BYTES:
            return False
        if not self._budget.try_reserve(count):
            return False
        self._size += count
        return True

    def eof_received(self) -> bool | None:
        """Completes a response whose body ends with the connection."""
        if not self.is_busy or self._status < 200:
            return None
        if not self._has_declared_length and not self._is_complete:
            self._finish(is_connection_ended=True)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports a request without a complete response as lost."""
        del exc
        self._transport = None
        self.is_open = False
        self._clear()
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
        """Appends a header field; trailers after the body are discarded."""
        if not self._is_head_read:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Reads the status and whether the length of the body is declared.

        Raises:
          InvalidStatusError: The status is not valid; the parser reports this
            as an error of its own.
        """
        if self._is_complete:
            return
        self._is_head_read = True
        if self._size > _MAX_FRAMING_BYTES:
            size = sum(len(name) + len(value) for name, value in self._headers)
            self._is_oversized = size > _MAX_FRAMING_BYTES
        self._status = self._parser.get_status_code()
        if not _MIN_STATUS <= self._status <= _MAX_STATUS:
            raise InvalidStatusError(f"status {self._status} is not valid")
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
            self._body += body

    def on_message_complete(self) -> None:
        """Marks the response as complete.

        Discards an interim (1xx) response and one to an earlier request.
        """
        if self._is_complete:
            return
        if self._status < 200:
            self._discard_response()
            return
        if self._belongs_to_earlier_request():
            self._discard_response()
            self._has_surplus_data = True
            return
        self._is_complete = True
        # The parser discards the fields that decide this after the message.
        self._keeps_alive = self._parser.should_keep_alive()

    def _discard_response(self) -> None:
        self._headers = []
        self._body.clear()
        self._is_head_read = False
        self._has_declared_length = False
        self._status = 0

    def _belongs_to_earlier_request(self) -> bool:
        if self._expected_header is None:
            return False
        expected_name, expected_value = self._expected_header
        return any(
            name.lower() == expected_name and value != expected_value
            for name, value in self._headers
        )

    def _finish_garbled(self) -> None:
        # A response that was complete before malformed data is valid. The data
        # after it belongs to no request.
        if self._is_complete:
            self._has_surplus_data = True
            self._finish()
            return
        self._fail("garbled")

    def _fail(self, fault: str) -> None:
        self.is_busy = False
        self._on_response(self, None, fault)
        self.abort()

    def _finish(self, *, is_connection_ended: bool = False) -> None:
        if self._is_oversized:
            self._fail("oversized")
            return
        reply = http_responses.HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=bytes(self._body),
            ends_with_connection=is_connection_ended,
        )
        now = self._loop.time()
        self.is_busy = False
        self.last_used_at = now
        keeps_alive = (
            not is_connection_ended
            and not self._has_surplus_data
            and self._keeps_alive
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
            and not self._unsent
        )
        self.reusable_until = (
            now + _keep_alive.find_reuse_time(reply.get_header(b"keep-alive"))
            if keeps_alive
            else 0.0
        )
        self._clear()
        self._on_response(self, reply, "")
        if not keeps_alive and self._transport is not None:
            self.is_closed_here = True
            self._transport.close()
