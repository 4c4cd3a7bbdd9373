"""Pure decisions of a target: admission, order, cold limits, state."""

import collections.abc

from standins.target import attempts
from standins.target import settings as target_settings


def is_held(
    holdings: collections.abc.Iterable[target_settings.Holding],
    attempt: attempts.Attempt,
) -> bool:
    """Returns whether the holdings serve the attempt's snapshot and range."""
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
    """Returns (status, error) of a refusal, or None to take the attempt."""
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
    """Returns the attempt to run next: urgent first, then by arrival."""
    urgent = [attempt for attempt in waiting if attempt.urgency == "urgent"]
    return next(iter(urgent or waiting), None)


def create_cold_state(
    now: float, cold_in_flight: int, silent: bool = False
) -> attempts.WarmupState:
    """Returns the state of a target that has just turned cold."""
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
    """Counts one arrival at a cold target.

    Args:
      warmup: State before the arrival.
      now: Monotonic seconds.
      in_flight: Requests at the target, the new one included.
      cold_in_flight: Limit at once, and burst of the rate.
      cold_rate: Limit per second.

    Returns:
      The state after the arrival, and the broken limit or "".
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
    """Returns the state that replies carry."""
    if lifecycle.leaving:
        return "leaving"
    return "cold" if warmup.cold and not warmup.silent else "warm"


def find_latency_s(table: dict[str, float], source: str) -> float:
    """Returns the one-way latency of the longest matching prefix, seconds."""
    matching = [prefix for prefix in table if source.startswith(prefix)]
    if not matching:
        return 0.0
    return table[max(matching, key=len)] / 1000.0
