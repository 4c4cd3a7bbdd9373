"""Records of calls to the platform's read-only service."""

from bramleyfork.core import fleet
from bramleyfork.core import records


class PlatformRead(records.Record):
    """An order to the platform transport.

    Attributes:
      purpose: "configuration" or "listing".
      path: Path and query string to get.
      timeout_s: How long to wait, seconds.
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
    """What the platform answered.

    Attributes:
      purpose: As in the read.
      path: As in the read.
      sent_at: Monotonic seconds.
      received_at: Monotonic seconds.
      status: HTTP status; 0 when there was no usable answer.
      etag: Version of the value.
      body: Content; empty for a listing.
      error: Why there was no usable answer.
      rows: The rows of a listing; the same tuple while the list is the same.
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
