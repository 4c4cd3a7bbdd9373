"""Estimates how soon a target will reply, to choose the fastest one."""

import math

# Time constant with which a latency decays without new samples, so that a
# target that was slow is tried again.
_LATENCY_DECAY_S = 2.0
# A target is assumed to be paused if its oldest unanswered attempt has waited
# for more than this multiple of its usual latency. A usual latency below
# _STUCK_MIN_LATENCY_S is raised to that value.
_STUCK_FACTOR = 3.0
_STUCK_MIN_LATENCY_S = 0.02
_STUCK_COST_S = 0.1  # Expected remaining time of a pause.
_FAULT_COST_S = 0.3  # Cost of a failed attempt; multiplied by the fault rate.


def estimate_latency(
    *,
    now: float,
    distance_s: float,
    latency_s: float | None,
    latency_at: float,
) -> float:
    """Returns the usual seconds from an attempt to its reply.

    Args:
      now: Current monotonic time in seconds.
      distance_s: Round-trip time to the target in seconds.
      latency_s: Moving average of its latency in seconds; None without
        samples.
      latency_at: Monotonic time of the last sample.
    """
    if latency_s is None:
        return distance_s
    decay = math.exp((latency_at - now) / _LATENCY_DECAY_S)
    return distance_s + max(0.0, latency_s - distance_s) * decay


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
    """Returns the cost of sending an attempt to a target, in seconds.

    This is the time to its reply, plus the expected cost of a failure and of a
    pause of the target.

    Args:
      now: Current monotonic time in seconds.
      distance_s: Round-trip time to the target in seconds.
      latency_s: Moving average of its latency in seconds; None without
        samples.
      latency_at: Monotonic time of the last sample.
      outstanding: Number of attempts of this host that it has not answered.
      slots: Number of requests that it runs at the same time.
      oldest_at: Monotonic time at which the oldest unanswered attempt was
        sent; None if there is none.
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
        usual = max(_STUCK_MIN_LATENCY_S, latency_s or 0.0)
        if now - oldest_at > _STUCK_FACTOR * usual:
            cost += _STUCK_COST_S
    return cost
