"""How much a target bears between a cold start and full service."""

from bramleyfork.decisions import shares

COLD = "cold"
WARM = "warm"

# A target whose latency jumps by this factor is taken for cold.
LATENCY_JUMP = 4.0
# Below this count the average is not steady enough to see a jump.
_JUMP_SAMPLES = 20
# A jump counts above this latency only; below it is scheduling noise.
_JUMP_FLOOR_S = 0.05
# A target that was silent for this time gets a single request first.
STALE_AFTER_S = 1.0


class WarmupState:
    """What one host knows of one target's warm-up.

    Attributes:
      state: COLD or WARM.
      reason: Why it is in that state.
      epoch: Incarnation of the target's process, None before a reply.
      first_success_at: Start of the current run of successes, or None.
      next_send_at: Earliest next send while cold, monotonic seconds.
      last_reply_at: Last reply, or None.
    """

    __slots__ = (
        "state",
        "reason",
        "epoch",
        "first_success_at",
        "next_send_at",
        "last_reply_at",
    )

    def __init__(self):
        self.state = COLD
        self.reason = "not heard of yet"
        self.epoch: str | None = None
        self.first_success_at: float | None = None
        self.next_send_at = 0.0
        self.last_reply_at: float | None = None


def note_reply(
    warmup_state: WarmupState,
    *,
    now: float,
    epoch: str,
    reported_state: str,
    cold_period_s: float,
    jumped: bool,
) -> None:
    """Updates a warm-up after a reply.

    The target's own report can only make it cold; it becomes warm after
    ``cold_period_s`` seconds of successes alone.
    """
    warmup_state.last_reply_at = now
    if warmup_state.epoch != epoch:
        warmup_state.epoch = epoch
        mark_cold(warmup_state, f"new epoch {epoch!r}")
    elif reported_state == COLD and warmup_state.state == WARM:
        mark_cold(warmup_state, "target reports a cold start")
    elif jumped and warmup_state.state == WARM:
        mark_cold(warmup_state, "latency jump")
    if warmup_state.first_success_at is None:
        warmup_state.first_success_at = now
    if warmup_state.state == WARM or reported_state == COLD:
        return
    if now - warmup_state.first_success_at >= cold_period_s:
        warmup_state.state = WARM
        warmup_state.reason = "cold period passed with successes only"


def mark_cold(warmup_state: WarmupState, reason: str) -> None:
    """Treats the target as cold from now on."""
    warmup_state.state = COLD
    warmup_state.reason = reason
    warmup_state.first_success_at = None


def detect_jump(
    elapsed_s: float, mean_s: float | None, sample_count: int
) -> bool:
    """Returns whether a latency looks like that of a cold target."""
    if mean_s is None or sample_count < _JUMP_SAMPLES:
        return False
    return elapsed_s > max(_JUMP_FLOOR_S, LATENCY_JUMP * mean_s)


def find_send_time(
    warmup_state: WarmupState,
    *,
    share: shares.Share,
    in_flight: int,
    now: float,
) -> float | None:
    """Returns when the next request may be sent.

    Args:
      warmup_state: The target's warm-up.
      share: This host's share of the target.
      in_flight: Requests sent and not answered.
      now: Monotonic seconds.

    Returns:
      A monotonic time, at most ``now`` if a request may be sent at once; None
      while a reply has to come first.
    """
    if warmup_state.state == COLD:
        if in_flight >= share.cold_in_flight or share.cold_rate <= 0:
            return None
        return warmup_state.next_send_at
    if in_flight >= share.in_flight:
        return None
    if is_stale(warmup_state, now) and in_flight >= 1:
        return None
    return now


def note_result(
    warmup_state: WarmupState, *, share: shares.Share, now: float
) -> None:
    """Counts the pace of a cold target anew from the end of a request.

    A request may reach its target at any time until its result is there. Two
    requests sent at the right distance could arrive closer together when the
    first one is held up on its way.
    """
    if warmup_state.state == COLD and share.cold_rate > 0:
        warmup_state.next_send_at = max(
            warmup_state.next_send_at, now + 1.0 / share.cold_rate
        )


def is_stale(warmup_state: WarmupState, now: float) -> bool:
    """Returns whether what is known of a target is old."""
    last = warmup_state.last_reply_at
    return last is None or now - last >= STALE_AFTER_S


def note_send(
    warmup_state: WarmupState, *, share: shares.Share, now: float
) -> None:
    """Books the pace of a cold target for one request."""
    if warmup_state.state == COLD and share.cold_rate > 0:
        warmup_state.next_send_at = max(now, warmup_state.next_send_at) + (
            1.0 / share.cold_rate
        )
