"""Whether a request is let in while its targets have too much to do."""

import collections.abc
import math

# Part of the slots of a service that requests may be expected to fill before
# any is refused. Below it, slow targets are a fault of their own, and second
# attempts answer more callers than refusals do.
_FULL_LOAD = 0.8
# Requests under way per slot of a service that are always let in, over all
# hosts. They keep the slots busy and show how fast the targets are.
_MIN_IN_FLIGHT_PER_SLOT = 3.0
MIN_IN_FLIGHT = 2  # Of a host, however few slots there are.
# The slowest of n replies against the average one: the longest of n waits in a
# queue grows with their logarithm.
_SPREAD_OF_ONE = 1.2
_SPREAD_PER_LOG = 0.6
# Bounds of the time after which a refused caller should come back, seconds.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 2.0
_RATE_MEMORY_S = 1.0  # Age at which a request counts for 1/e in a rate.


class DecayingRate:
    """Requests a second, weighted by their age."""

    __slots__ = ("_per_s", "_recorded_at")

    def __init__(self):
        self._per_s = 0.0
        self._recorded_at = -math.inf

    def record(self, now: float) -> None:
        """Counts a request."""
        self._per_s = self.compute(now) + 1.0 / _RATE_MEMORY_S
        self._recorded_at = now

    def compute(self, now: float) -> float:
        """Returns the rate at a monotonic time."""
        return self._per_s * math.exp(
            (self._recorded_at - now) / _RATE_MEMORY_S
        )


def is_overloaded(*, busy_slots: float, slots: float) -> bool:
    """Returns whether requests ask for more than a service can do.

    Args:
      busy_slots: Slots that requests of all hosts keep busy: requests a second
        times seconds of work.
      slots: Slots of the targets in use.
    """
    return busy_slots > _FULL_LOAD * slots


def compute_min_in_flight(slots: float, host_count: int) -> int:
    """Returns how many requests under way a host always lets in.

    Args:
      slots: Slots of the targets in use.
      host_count: Hosts that send to them.
    """
    kept = math.ceil(slots * _MIN_IN_FLIGHT_PER_SLOT / max(1, host_count))
    return max(MIN_IN_FLIGHT, kept)


def estimate_answer_delay(
    delays_s: collections.abc.Iterable[float], min_shards: int
) -> float:
    """Returns seconds after which enough replies of a request are expected.

    Args:
      delays_s: Average delay of the fastest target of each shard; infinite
        where there is none.
      min_shards: Fewest shards that make an answer.
    """
    spread = _SPREAD_OF_ONE + _SPREAD_PER_LOG * math.log(min_shards)
    return sorted(delays_s)[min_shards - 1] * spread


def compute_retry_after(expected_s: float, left_s: float) -> float:
    """Returns seconds after which the queues will have become short enough.

    Args:
      expected_s: When the request would be answered now, in seconds.
      left_s: When it must be answered, in seconds.
    """
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, expected_s - left_s))
