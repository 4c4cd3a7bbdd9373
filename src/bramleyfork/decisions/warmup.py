"""Limits the requests to targets that may have started recently.

A target counts as cold until it has answered without failures for a cold
period. A cold target gets fewer requests at once and at a limited rate.
"""

from bramleyfork.decisions import shares

COLD = "cold"
WARM = "warm"

# A latency this many times the average marks the target as cold.
LATENCY_JUMP = 4.0
# With fewer samples the average is too unsteady to detect a jump.
_JUMP_SAMPLES = 20
# Jumps to a latency below this are ignored as scheduling noise.
_JUMP_FLOOR_S = 0.05
# After this time without a reply a warm target gets a single request first,
# because it may have turned cold unnoticed.
STALE_AFTER_S = 1.0


class WarmupState:
    """Warm-up state of one target as observed by one host.

    Attributes:
      state: COLD or WARM.
      reason: Why the target is in that state, for logs.
      epoch: ID of the target's process, new at each start; None before the
        first reply.
      first_success_at: Start of the current run of successes, monotonic
        seconds, or None.
      next_send_at: Earliest time of the next request while cold, monotonic
        seconds.
      last_reply_at: Time of the last reply, monotonic seconds, or None.
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
        self.reason = "no reply yet"
        self.epoch: str | None = None
        self.first_success_at: float | None = None
        self.next_send_at = 0.0
        self.last_reply_at: float | None = None


def record_reply(
    warmup_state: WarmupState,
    *,
    now: float,
    epoch: str,
    reported_state: str,
    cold_period_s: float,
    jumped: bool,
) -> None:
    """Updates the warm-up state after a successful reply.

    A target that reports COLD becomes or stays cold. Any other target becomes
    warm after ``cold_period_s`` seconds without a failure, a latency jump or a
    sign of a restart.

    Args:
      warmup_state: The state to update.
      now: Monotonic seconds.
      epoch: ID of the process that replied.
      reported_state: State in the target's report.
      cold_period_s: Length of the cold period, seconds.
      jumped: Whether the latency has jumped, as ``detect_jump`` returns it.
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
        warmup_state.reason = "cold period passed without failures"


def mark_cold(warmup_state: WarmupState, reason: str) -> None:
    """Marks the target as cold and ends its current run of successes."""
    warmup_state.state = COLD
    warmup_state.reason = reason
    warmup_state.first_success_at = None


def detect_jump(
    elapsed_s: float, mean_s: float | None, sample_count: int
) -> bool:
    """Returns whether a latency is far above the average of the target.

    Args:
      elapsed_s: The latency, seconds.
      mean_s: Average latency, seconds; None without samples.
      sample_count: Number of samples in the average.
    """
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
      warmup_state: The target's warm-up state.
      share: This host's share of the target.
      in_flight: Requests sent and not yet answered.
      now: Monotonic seconds.

    Returns:
      A monotonic time, at most ``now`` if a request may be sent at once; None
      if a reply must arrive first or the share allows no requests.
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


def record_result(
    warmup_state: WarmupState, *, share: shares.Share, now: float
) -> None:
    """Delays the next request to a cold target after a result.

    A request may reach its target at any time until its result arrives. If
    only the times of sending were spaced, a delayed request could reach the
    target together with the next one.
    """
    if warmup_state.state == COLD and share.cold_rate > 0:
        warmup_state.next_send_at = max(
            warmup_state.next_send_at, now + 1.0 / share.cold_rate
        )


def is_stale(warmup_state: WarmupState, now: float) -> bool:
    """Returns whether no reply has arrived for ``STALE_AFTER_S`` seconds."""
    last = warmup_state.last_reply_at
    return last is None or now - last >= STALE_AFTER_S


def record_send(
    warmup_state: WarmupState, *, share: shares.Share, now: float
) -> None:
    """Delays the next request to a cold target after one was sent."""
    if warmup_state.state == COLD and share.cold_rate > 0:
        warmup_state.next_send_at = max(now, warmup_state.next_send_at) + (
            1.0 / share.cold_rate
        )
