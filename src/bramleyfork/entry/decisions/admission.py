"""Whether a request is let in while its targets have too much to do."""

import collections.abc
import math

# Part of the slots of a service that requests may be expected to fill before
# any is refused. Below it, slow targets are a fault of their own, and second
# attempts answer more callers than refusals do.
_FULL_LOAD = 0.8
# Requests under way per slot of a service that are always let in, over all
# hosts. They keep the slots busy and show how fast the targets are.
_KEPT_PER_SLOT = 3.0
LEAST_KEPT = 2  # Of a host, however few slots there are.
# The slowest of n replies against the average one: the longest of n waits in a
# queue grows with their logarithm.
_SPREAD_OF_ONE = 1.2
_SPREAD_PER_LOG = 0.6
# Bounds of the time after which a refused caller should come back, seconds.
_LEAST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0
_RATE_MEMORY_S = 1.0  # Age at which a request counts for 1/e in a rate.


class Rate:
    """Requests a second, weighted by their age."""

    __slots__ = ("_per_s", "_noted_at")

    def __init__(self):
        self._per_s = 0.0
        self._noted_at = -math.inf

    def note(self, now: float) -> None:
        """Counts a request."""
        self._per_s = self.read(now) + 1.0 / _RATE_MEMORY_S
        self._noted_at = now

    def read(self, now: float) -> float:
        """Returns the rate at a monotonic time."""
        return self._per_s * math.exp((self._noted_at - now) / _RATE_MEMORY_S)


def is_overloaded(*, busy_slots: float, slots: float) -> bool:
    """Returns whether requests ask for more than a service can do.

    Args:
      busy_slots: Slots that requests of all hosts keep busy: requests a second
        times seconds of work.
      slots: Slots of the targets in use.
    """
    return busy_slots > _FULL_LOAD * slots


def count_kept(slots: float, host_count: int) -> int:
    """Returns how many requests under way a host always lets in.

    Args:
      slots: Slots of the targets in use.
      host_count: Hosts that send to them.
    """
    kept = math.ceil(slots * _KEPT_PER_SLOT / max(1, host_count))
    return max(LEAST_KEPT, kept)


def expect_delay(
    delays_s: collections.abc.Iterable[float], least: int
) -> float:
    """Returns seconds after which enough replies of a request are expected.

    Args:
      delays_s: Average delay of the fastest target of each shard; infinite
        where there is none.
      least: Fewest shards that make an answer.
    """
    spread = _SPREAD_OF_ONE + _SPREAD_PER_LOG * math.log(least)
    return sorted(delays_s)[least - 1] * spread


def find_pause(expected_s: float, left_s: float) -> float:
    """Returns seconds after which the queues will have become short enough.

    Args:
      expected_s: When the request would be answered now, in seconds.
      left_s: When it must be answered, in seconds.
    """
    return min(_LONGEST_PAUSE_S, max(_LEAST_PAUSE_S, expected_s - left_s))
