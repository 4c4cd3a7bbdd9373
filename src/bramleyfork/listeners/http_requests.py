"""Requests that have been read whole."""

from bramleyfork.listeners import http_heads

# Memory of a header field besides its characters: a tuple of two objects and
# its place in a list.
FIELD_OVERHEAD_BYTES = 150
_REQUEST_OVERHEAD_BYTES = 500  # Memory of a request without its contents.


class HttpRequest:
    """A parsed request.

    Attributes:
      method: Method as sent.
      url: Path and query as sent.
      version: HTTP version, such as "1.1".
      headers: Names and values as sent.
      body: Whole body.
      keeps_alive: Whether the connection may be used for further requests.
      received_at: Monotonic time at which the request began to arrive.
      held_bytes: Memory that the request takes, in bytes.
    """

    __slots__ = (
        "method",
        "url",
        "version",
        "headers",
        "body",
        "keeps_alive",
        "received_at",
        "held_bytes",
    )

    def __init__(
        self,
        *,
        method: bytes,
        url: bytes,
        version: str = "1.1",
        headers: http_heads.Headers,
        body: bytes,
        keeps_alive: bool,
        received_at: float,
    ):
        self.method = method
        self.url = url
        self.version = version
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive
        self.received_at = received_at
        self.held_bytes = (
            _REQUEST_OVERHEAD_BYTES
            + len(url)
            + sum(len(name) + len(value) for name, value in headers)
            + FIELD_OVERHEAD_BYTES * len(headers)
            + len(body)
        )

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header field; None without the field.

        Args:
          name: Name of the field in lower case.
        """
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None
