"""Pauses the reading from a connection for one or more reasons."""

import asyncio

# Reasons, as bits.
FULL = 1  # Enough requests are queued.
TURN = 2  # The connection waits for its next turn.


class ReadPauses:
    """The reasons for which reading from a connection is paused.

    Args:
      transport: Transport of the connection.
    """

    __slots__ = ("_transport", "_reasons")

    def __init__(self, *, transport: asyncio.Transport):
        self._transport = transport
        self._reasons = 0

    def has(self, reason: int) -> bool:
        """Returns whether reading is paused for a reason."""
        return bool(self._reasons & reason)

    def add(self, reason: int) -> None:
        """Pauses reading."""
        if not self._reasons:
            self._transport.pause_reading()
        self._reasons |= reason

    def remove(self, reason: int) -> None:
        """Continues to read unless there is another reason."""
        if not self._reasons & reason:
            return
        self._reasons &= ~reason
        if not self._reasons:
            self._transport.resume_reading()
