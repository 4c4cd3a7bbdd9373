"""Records of calls to the platform's read-only HTTP service."""

from bramleyfork.core import fleet
from bramleyfork.core import records


class PlatformRead(records.Record):
    """A GET request that the platform transport is to send.

    Attributes:
      purpose: "configuration" or "listing".
      path: Path and query string of the request.
      timeout_s: Longest time to wait for the response, seconds.
    """

    __slots__ = (
        "purpose",
        "path",
        "timeout_s",
    )

    def __init__(
        self,
        *,
        purpose: str,
        path: str,
        timeout_s: float,
    ):
        self.purpose = purpose
        self.path = path
        self.timeout_s = timeout_s


class PlatformResult(records.Record):
    """The platform's response to a ``PlatformRead``, or its failure.

    Attributes:
      purpose: Purpose of the read.
      path: Path of the read.
      sent_at: Monotonic time in seconds at which the request was sent.
      received_at: Monotonic time in seconds at which the result was known.
      status: HTTP status; 0 if there was no usable response.
      etag: ETag of the value.
      body: Content of the value; empty for a listing.
      error: Why there was no usable response.
      rows: Rows of a listing. The identical tuple object is reused while the
        list does not change.
    """

    __slots__ = (
        "purpose",
        "path",
        "sent_at",
        "received_at",
        "status",
        "etag",
        "body",
        "error",
        "rows",
    )

    def __init__(
        self,
        *,
        purpose: str,
        path: str,
        sent_at: float,
        received_at: float,
        status: int,
        etag: str = "",
        body: bytes = b"",
        error: str = "",
        rows: tuple[fleet.ListedTarget, ...] = (),
    ):
        self.purpose = purpose
        self.path = path
        self.sent_at = sent_at
        self.received_at = received_at
        self.status = status
        self.etag = etag
        self.body = body
        self.error = error
        self.rows = rows
