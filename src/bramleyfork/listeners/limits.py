"""Limits that a client's requests and connections have to keep."""

from bramleyfork.core import records


class CallerLimits(records.Record):
    """Limits on the requests and connections of callers.

    Attributes:
      header_bytes: Maximum size of a request's head in bytes.
      body_bytes: Maximum size of a request's body in bytes.
      header_s: Maximum time in seconds for a head to arrive.
      idle_s: Maximum time in seconds that a connection may be idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(
        self,
        *,
        header_bytes: int = 16384,
        body_bytes: int = 1048576,
        header_s: float = 5.0,
        idle_s: float = 60.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s
