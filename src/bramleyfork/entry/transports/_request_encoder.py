"""Encodes the requests that are sent to targets."""

from bramleyfork.entry import exchanges
from bramleyfork.entry import http_headers
from bramleyfork.listeners import http_heads

_LARGE_BODY_BYTES = 16 * 1024  # A larger body is sent apart from its head.
_METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


class RequestEncoder:
    """Encodes requests and caches the head that the last one shares.

    The sub-requests of a scatter-gather request are sent one after another and
    differ in their last fields only.

    Args:
      header_names: Header names used with targets.
    """

    __slots__ = ("_header_names", "_cached_request", "_cached_head")

    def __init__(self, *, header_names: http_headers.HeaderNames):
        self._header_names = header_names
        self._cached_request: exchanges.CallerRequest | None = None
        self._cached_head = b""

    def encode(
        self, send: exchanges.TargetRequest, wait_ms: int
    ) -> tuple[bytes, bytes]:
        """Returns the bytes of a request, and its body if that is large.

        A large body isn't copied, as all attempts at the request share it.

        Args:
          send: The request and its target.
          wait_ms: Milliseconds after which the target may stop working on it.
        """
        body = send.request.body
        is_large = len(body) > _LARGE_BODY_BYTES
        data = b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            self._encode_shared_head(send.request),
            self._header_names.deadline_ms,
            wait_ms,
            self._header_names.expected_target,
            send.target.target.encode("latin-1"),
            b"" if is_large else body,
        )
        return data, body if is_large else b""

    def _encode_shared_head(self, request: exchanges.CallerRequest) -> bytes:
        """Returns the head without the fields that differ by target."""
        if request is self._cached_request:
            return self._cached_head
        dropped = self._list_dropped(request)
        lines = [b"%s %s HTTP/1.1" % (request.method, request.url)]
        for name, value in request.headers:
            if name.lower() not in dropped:
                lines.append(b"%s: %s" % (name, value))
        if request.body or request.method in _METHODS_WITH_BODY:
            lines.append(b"Content-Length: %d" % len(request.body))
        lines.append(b"")
        self._cached_head = b"\r\n".join(lines)
        self._cached_request = request
        return self._cached_head

    def _list_dropped(self, request: exchanges.CallerRequest) -> set[bytes]:
        """Returns the names of the fields that are not passed on."""
        dropped = {
            self._header_names.deadline_ms,
            self._header_names.expected_target,
            b"expect",
            *http_heads.CONNECTION_FIELDS,
        }
        for name, value in request.headers:
            if name.lower() == b"connection":
                dropped.update(
                    field.strip().lower() for field in value.split(b",")
                )
        return dropped
