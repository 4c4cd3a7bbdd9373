"""Memory for the responses that connections are receiving."""

import time

from bramleyfork.listeners import budgets


class ReceiveBudget:
    """Memory for the responses that connections are receiving.

    Connections that share a budget together hold at most its limit, however
    many of them receive a response without end.

    Args:
      limit_bytes: Total size of the incomplete responses.
      parent: Budget of the process, in which they count as well; None for none.

    Attributes:
      limit_bytes: Total size of the incomplete responses.
      reserved_bytes: Size of those received so far.
    """

    __slots__ = ("limit_bytes", "reserved_bytes", "_parent")

    def __init__(
        self,
        *,
        limit_bytes: int,
        parent: budgets.ConnectionBudget | None = None,
    ):
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._parent = parent

    def try_reserve(self, count: int) -> bool:
        """Reserves a number of bytes; returns False if they don't fit."""
        if self.reserved_bytes + count > self.limit_bytes:
            return False
        self.reserved_bytes += count
        if self._parent is not None:
            self._parent.reserve(count, time.monotonic())
        return True

    def release(self, count: int) -> None:
        """Releases bytes that were reserved before."""
        self.reserved_bytes -= count
        if self._parent is not None and count:
            self._parent.release(count)
