"""Encodes the heads of HTTP/1.1 messages."""

import http

Headers = tuple[tuple[bytes, bytes], ...]

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}

# Header fields that are not forwarded: those that apply to one connection only
# (RFC 9110, section 7.6.1), and those that frame the body, which are written
# anew.
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

# Time after which a client that was refused for lack of room should retry.
_RETRY_AFTER_S = 1.0

# Options of a Connection field that belong to an offer to upgrade it.
_UPGRADE_OPTIONS = frozenset((b"upgrade", b"http2-settings"))
# Fields of an offer. The caller was told to continue when its head was read.
_OFFER_FIELDS = frozenset((*_UPGRADE_OPTIONS, b"expect"))


def encode_request_without_offer(
    method: bytes, url: bytes, version: str, headers: Headers
) -> bytes:
    """Returns the head of a request without its offer to upgrade.

    Args:
      method: Method as sent.
      url: Path and query as sent.
      version: HTTP version, such as "1.1".
      headers: Names and values as sent.
    """
    lines = [b"%s %s HTTP/%s" % (method, url, version.encode("ascii"))]
    for name, value in headers:
        if name.lower() in _OFFER_FIELDS:
            continue
        if name.lower() == b"connection":
            value = _drop_upgrade(value)
        lines.append(b"%s: %s" % (name, value))
    return b"\r\n".join([*lines, b"", b""])


def _drop_upgrade(value: bytes) -> bytes:
    """Returns the options of a Connection field without those of an offer."""
    options = (option.strip() for option in value.split(b","))
    return b", ".join(o for o in options if o.lower() not in _UPGRADE_OPTIONS)


def build_refusal_headers(status: int) -> Headers:
    """Returns the header fields of the refusal of an incomplete request.

    Args:
      status: Status code of the refusal.
    """
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return ()
    return ((b"Retry-After", b"%.1f" % _RETRY_AFTER_S),)


def encode_response(
    status: int,
    headers: Headers,
    body: bytes,
    method: bytes,
    keeps_alive: bool,
) -> bytes:
    """Returns a whole response.

    Args:
      status: Status code.
      headers: Header fields; those in CONNECTION_FIELDS are left out.
      body: Whole body.
      method: Method of the request.
      keeps_alive: Whether the connection stays open.
    """
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
