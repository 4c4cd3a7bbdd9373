"""Pure functions that decide admission, order, cold limits and state."""

import collections.abc

from standins.target import attempts
from standins.target import settings as target_settings


def is_held(
    holdings: collections.abc.Iterable[target_settings.Holding],
    attempt: attempts.Attempt,
) -> bool:
    """Returns whether the holdings include the attempt's snapshot and range."""
    snapshot = (attempt.index_version, attempt.map_version)
    held_until = attempt.low
    for holding in sorted(holdings, key=lambda row: row[2]):
        if tuple(holding[:2]) == snapshot and holding[2] <= held_until:
            held_until = max(held_until, holding[3])
    return held_until >= attempt.high


def decide_admission(
    *,
    attempt: attempts.Attempt,
    now: float,
    leaving: bool,
    holdings: collections.abc.Iterable[target_settings.Holding],
    waiting: int,
    running: int,
    slots: int,
    queue: int,
) -> tuple[int, str] | None:
    """Decides whether to admit an attempt.

    Args:
      attempt: The attempt.
      now: Monotonic time in seconds.
      leaving: Whether the target is draining.
      holdings: Holdings of the target.
      waiting: Number of queued attempts.
      running: Number of running attempts.
      slots: Number of attempts that may run concurrently.
      queue: Number of attempts that may be queued.

    Returns:
      HTTP status and error code of a refusal; None if the attempt is admitted.
    """
    if attempt.rejection:
        return 400, "rejected"
    if attempt.deadline <= now:
        return 504, "expired"
    if leaving:
        return 503, "leaving"
    if not is_held(holdings, attempt):
        return 409, "wrong_snapshot"
    if running >= slots and waiting >= queue:
        return 503, "shed"
    return None


def choose_next(
    waiting: collections.abc.Sequence[attempts.Attempt],
) -> attempts.Attempt | None:
    """Returns the attempt to run next: urgent first, then by arrival.

    Returns None if no attempt waits.
    """
    urgent = [attempt for attempt in waiting if attempt.urgency == "urgent"]
    return next(iter(urgent or waiting), None)


def create_cold_state(
    now: float, cold_in_flight: int, silent: bool = False
) -> attempts.WarmupState:
    """Returns the state of a target that has just become cold."""
    return attempts.WarmupState(
        cold=True,
        silent=silent,
        since=now,
        warm_at=None,
        tokens=float(cold_in_flight),
        refilled_at=now,
    )


def count_cold_arrival(
    warmup: attempts.WarmupState,
    now: float,
    in_flight: int,
    cold_in_flight: int,
    cold_rate: float,
) -> tuple[attempts.WarmupState, str]:
    """Counts one arrival at a cold target and checks it against the limits.

    Args:
      warmup: State before the arrival.
      now: Monotonic time in seconds.
      in_flight: Requests queued or running, the new one included.
      cold_in_flight: Limit of concurrent requests, and burst of the rate limit.
      cold_rate: Limit of requests per second.

    Returns:
      The state after the arrival, and the exceeded limit, "in_flight" or
      "rate"; empty if there is none.
    """
    refill = (now - warmup.refilled_at) * cold_rate
    tokens = min(float(cold_in_flight), warmup.tokens + refill)
    reason = ""
    if in_flight > cold_in_flight:
        reason = "in_flight"
    elif tokens < 1.0:
        reason = "rate"
    tokens = max(0.0, tokens - 1.0)
    return warmup.replace(tokens=tokens, refilled_at=now), reason


def describe_state(
    warmup: attempts.WarmupState, lifecycle: attempts.LifecycleState
) -> str:
    """Returns the state that replies report: "cold", "warm" or "leaving"."""
    if lifecycle.leaving:
        return "leaving"
    return "cold" if warmup.cold and not warmup.silent else "warm"


def find_latency_s(table: dict[str, float], source: str) -> float:
    """Returns the one-way latency to a source address in seconds.

    Args:
      table: One-way latency in milliseconds, by prefix of the source address.
      source: The source address. The longest prefix that matches applies; the
        latency is 0 if none does.
    """
    matching = [prefix for prefix in table if source.startswith(prefix)]
    if not matching:
        return 0.0
    return table[max(matching, key=len)] / 1000.0
