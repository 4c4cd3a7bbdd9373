"""Attempts that were aborted a short time ago.

The abort of an attempt may cross the end of its target. The end is evidence
about the request all the same, so a controller finds the attempt here when the
end is reported.
"""

import collections
import typing

# Time for which an aborted attempt is kept: that of the check of whether its
# target ended and of the way through a carrier.
_KEEP_S = 0.5

AttemptType = typing.TypeVar("AttemptType")


class AbortedAttempts(typing.Generic[AttemptType]):
    """Keeps aborted attempts by number for a short time."""

    __slots__ = ("_attempts", "_numbers")

    def __init__(self):
        self._attempts: dict[int, AttemptType] = {}
        # Monotonic time of the abort and number, oldest first.
        self._numbers: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def add(self, number: int, attempt: AttemptType, now: float) -> None:
        """Adds an attempt and discards those aborted too long ago.

        Args:
          number: Number of the attempt.
          attempt: What is to be found by the number.
          now: Monotonic time in seconds.
        """
        while self._numbers and self._numbers[0][0] + _KEEP_S <= now:
            _, discarded = self._numbers.popleft()
            self._attempts.pop(discarded, None)
        self._numbers.append((now, number))
        self._attempts[number] = attempt

    def pop(self, number: int) -> AttemptType | None:
        """Removes and returns an attempt; None if it isn't kept."""
        return self._attempts.pop(number, None)
