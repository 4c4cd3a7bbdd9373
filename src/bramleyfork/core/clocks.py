"""Monotonic clocks that are passed to controllers and transports."""

import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic time."""

    def read_monotonic(self) -> float:
        """Returns seconds since an arbitrary origin; never decreases."""


class SystemClock:
    """The monotonic clock of the machine.

    It keeps counting while the process is stopped, so that a process that is
    resumed late finds its deadlines and leases expired.
    """

    __slots__ = ()

    def read_monotonic(self) -> float:
        """Returns seconds since an arbitrary origin."""
        return time.monotonic()


class ManualClock:
    """A clock for tests that moves only when it is advanced.

    Args:
      now: Initial time in seconds.
    """

    __slots__ = ("_now",)

    def __init__(self, *, now: float = 1000.0):
        self._now = now

    def read_monotonic(self) -> float:
        """Returns the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> float:
        """Moves the clock forward and returns the new time in seconds."""
        self._now += seconds
        return self._now
