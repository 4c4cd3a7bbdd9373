"""Overload control: whether a host admits a request while targets are busy."""

import collections.abc
import math

# Fraction of a service's slots that requests may be expected to fill before any
# request is refused. Below it, targets are slow because of a fault of their
# own, and second attempts answer more callers than refusals do.
_OVERLOAD_THRESHOLD = 0.8
# Requests in flight per slot of a service that are always admitted, over all
# hosts. They keep the slots busy and show how fast the targets are.
_MIN_IN_FLIGHT_PER_SLOT = 3.0
MIN_IN_FLIGHT = 2  # Per host, however few slots there are.
# Ratio of the slowest of n replies to the average one, as a constant plus a
# factor of ln(n): the longest of n waits in a queue grows with the logarithm.
_SLOWEST_RATIO_BASE = 1.2
_SLOWEST_RATIO_PER_LN = 0.6
# Bounds of the time after which a refused caller should retry.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 2.0
# Age at which the weight of a request has decayed to 1/e.
_RATE_TIME_CONSTANT_S = 1.0


class DecayingRate:
    """Rate of requests per second, weighted exponentially by their age."""

    __slots__ = ("_per_s", "_recorded_at")

    def __init__(self):
        self._per_s = 0.0
        self._recorded_at = -math.inf

    def record(self, now: float) -> None:
        """Counts a request that arrived at a monotonic time in seconds."""
        self._per_s = self.compute(now) + 1.0 / _RATE_TIME_CONSTANT_S
        self._recorded_at = now

    def compute(self, now: float) -> float:
        """Returns the requests per second at a monotonic time in seconds."""
        return self._per_s * math.exp(
            (self._recorded_at - now) / _RATE_TIME_CONSTANT_S
        )


def is_overloaded(*, busy_slots: float, slots: float) -> bool:
    """Returns whether the demand exceeds what a service can handle.

    Args:
      busy_slots: Slots that requests of all hosts are expected to keep busy:
        requests per second times the service time in seconds.
      slots: Slots of the usable targets.
    """
    return busy_slots > _OVERLOAD_THRESHOLD * slots


def compute_min_in_flight(slots: float, host_count: int) -> int:
    """Returns the number of requests in flight below which a host refuses none.

    Args:
      slots: Slots of the usable targets.
      host_count: Hosts that send requests to these targets.
    """
    min_in_flight = math.ceil(
        slots * _MIN_IN_FLIGHT_PER_SLOT / max(1, host_count)
    )
    return max(MIN_IN_FLIGHT, min_in_flight)


def estimate_answer_delay(
    delays_s: collections.abc.Iterable[float], min_shards: int
) -> float:
    """Returns the seconds after which enough shards are expected to reply.

    Args:
      delays_s: Average latency of the fastest target of each shard; infinite
        for a shard without a usable target.
      min_shards: Minimum number of shards that an answer needs.
    """
    slowest_ratio = _SLOWEST_RATIO_BASE + _SLOWEST_RATIO_PER_LN * math.log(
        min_shards
    )
    return sorted(delays_s)[min_shards - 1] * slowest_ratio


def compute_retry_after(expected_s: float, remaining_s: float) -> float:
    """Returns the seconds after which a refused caller should retry.

    By then the queues of the targets are expected to be short enough.

    Args:
      expected_s: Seconds after which the request would be answered if it were
        admitted now.
      remaining_s: Seconds after which it must be answered.
    """
    return min(
        _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, expected_s - remaining_s)
    )
