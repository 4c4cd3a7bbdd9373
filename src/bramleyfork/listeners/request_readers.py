"""Parses the requests that arrive on a connection."""

import collections.abc

import httptools

from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import limits as limits_module

# Calls of the parser that reading a whole request counts for.
_CALLS_PER_REQUEST = 16


class RequestError(Exception):
    """A request is malformed or exceeds a limit.

    Attributes:
      status: Status code of the refusal.
    """

    def __init__(self, status: int):
        super().__init__(f"request refused with status {status}")
        self.status = status


class RequestReader:
    """Parses the requests of one connection.

    Args:
      get_limits: Returns the limits in force.
      on_request: Called with each whole request.
      on_expectation: Called when a client waits for ``100 Continue``.

    Attributes:
      is_in_request: Whether part of a request has arrived.
      is_in_body: Whether the head of that request has arrived.
      parser_calls: Number of calls of the parser so far, a measure of the time
        that the bytes have taken.
    """

    __slots__ = (
        "is_in_request",
        "is_in_body",
        "parser_calls",
        "_get_limits",
        "_on_request",
        "_on_expectation",
        "_parser",
        "_now",
        "_limits",
        "_error_status",
        "_url",
        "_headers",
        "_head_bytes",
        "_framing_bytes",
        "_body",
        "_received_at",
    )

    def __init__(
        self,
        *,
        get_limits: collections.abc.Callable[[], limits_module.CallerLimits],
        on_request: collections.abc.Callable[[http_requests.HttpRequest], None],
        on_expectation: collections.abc.Callable[[], None],
    ):
        self.is_in_request = False
        self.parser_calls = 0
        self._get_limits = get_limits
        self._on_request = on_request
        self._on_expectation = on_expectation
        self._parser = httptools.HttpRequestParser(self)
        self._now = 0.0
        self._limits = get_limits()
        self._error_status = 400
        self._framing_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self.is_in_body = False
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._received_at = 0.0

    def close(self) -> None:
        """Releases the incomplete request; nothing may be fed any more.

        The parser refers to this reader, so both would otherwise hold it until
        the next garbage collection.
        """
        self._parser = None
        self._framing_bytes = 0
        self._reset()

    def count_held_bytes(self) -> int:
        """Returns how much memory the incomplete request takes, in bytes."""
        return (
            self._head_bytes
            + self._framing_bytes
            + http_requests.FIELD_OVERHEAD_BYTES * len(self._headers)
            + len(self._body)
        )

    def feed(self, data: bytes | memoryview, now: float) -> None:
        """Parses received data.

        Args:
          data: The data.
          now: Monotonic time in seconds.

        Raises:
          RequestError: A request is malformed or exceeds a limit. The start of
            the next one can't be determined, so nothing more may be fed.
        """
        self._now = now
        self._limits = self._get_limits()
        body_bytes = len(self._body)
        # The head and everything in a chunked body that is not content: sizes
        # of chunks, their extensions, and trailers.
        self._framing_bytes += len(data)
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            raise RequestError(self._error_status) from error
        if len(self._body) > body_bytes:
            self._framing_bytes = 0
        if self._framing_bytes > 2 * self._limits.header_bytes:
            raise RequestError(431)

    def _feed_parser(self, data: bytes | memoryview) -> None:
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
                if self._parser.get_method() == b"CONNECT":
                    raise httptools.HttpParserError("tunnel") from upgrade
                head = http_heads.encode_request_without_offer(
                    self._parser.get_method(),
                    self._url,
                    self._parser.get_http_version(),
                    tuple(self._headers),
                )
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                continue
            return

    def _stop_parser(self, status: int) -> None:
        """Ends the parsing of the data, which must not be passed on.

        Raises:
          RequestError: Always; the parser raises an error of its own for it.
        """
        self._error_status = status
        raise RequestError(status)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Resets the state of the request that is being parsed."""
        self._reset()
        self.is_in_request = True
        self._received_at = self._now

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the URL."""
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; trailers after the body are discarded."""
        self.parser_calls += 1
        if self.is_in_body:
            return
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > 2 * self._limits.header_bytes:
            self._stop_parser(431)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the size of the head; answers ``Expect: 100-continue``."""
        self._framing_bytes = 0
        self.is_in_body = True
        if self._head_bytes > self._limits.header_bytes:
            self._stop_parser(431)
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._on_expectation()

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body; refuses a body that is too large."""
        self.parser_calls += 1
        if len(self._body) + len(body) > self._limits.body_bytes:
            self._stop_parser(413)
        self._body += body

    def on_message_complete(self) -> None:
        """Passes the request on."""
        if self._parser.should_upgrade():
            return
        self.parser_calls += _CALLS_PER_REQUEST
        http_request = http_requests.HttpRequest(
            method=self._parser.get_method(),
            url=self._url,
            version=self._parser.get_http_version(),
            headers=tuple(self._headers),
            body=bytes(self._body),
            keeps_alive=self._parser.should_keep_alive(),
            received_at=self._received_at,
        )
        self._reset()
        self.is_in_request = False
        self._on_request(http_request)
