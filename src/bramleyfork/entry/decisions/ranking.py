"""How soon a target is expected to reply."""

import math

# How fast the memory of a latency fades without new samples, so that a target
# that was slow is tried again.
_FADE_S = 2.0
# A target whose oldest attempt is this many times older than its usual latency
# is taken to stand still.
_STUCK_FACTOR = 3.0
_STUCK_LEAST_S = 0.02
_STUCK_COST_S = 0.1  # Expected rest of a pause.
_FAULT_COST_S = 0.3  # Cost of an attempt that fails, times its likelihood.


def estimate_latency(
    *,
    now: float,
    distance_s: float,
    latency_s: float | None,
    latency_at: float,
) -> float:
    """Returns the usual seconds from an attempt to its reply.

    Args:
      now: Monotonic seconds.
      distance_s: Round trip to the target.
      latency_s: Moving average of its latency; None without samples.
      latency_at: Time of the last sample.
    """
    if latency_s is None:
        return distance_s
    fade = math.exp((latency_at - now) / _FADE_S)
    return distance_s + max(0.0, latency_s - distance_s) * fade


def estimate_cost(
    *,
    now: float,
    distance_s: float,
    latency_s: float | None,
    latency_at: float,
    outstanding: int,
    slots: int,
    oldest_at: float | None,
    fault_rate: float,
) -> float:
    """Returns the seconds after which a reply is expected.

    Args:
      now: Monotonic seconds.
      distance_s: Round trip to the target.
      latency_s: Moving average of its latency; None without samples.
      latency_at: Time of the last sample.
      outstanding: Attempts of this host that it has not answered.
      slots: Requests that it runs at the same time.
      oldest_at: When the oldest unanswered attempt was sent.
      fault_rate: Moving average of failed attempts, 0 to 1.
    """
    expected = estimate_latency(
        now=now,
        distance_s=distance_s,
        latency_s=latency_s,
        latency_at=latency_at,
    )
    cost = expected * (1.0 + outstanding / max(1, slots))
    cost += fault_rate * _FAULT_COST_S
    if oldest_at is not None:
        usual = max(_STUCK_LEAST_S, latency_s or 0.0)
        if now - oldest_at > _STUCK_FACTOR * usual:
            cost += _STUCK_COST_S
    return cost
