"""Avoidance of targets that answer much more slowly than others."""

# An attempt that takes this many times the service's average latency is slow.
# Noise on a busy machine stays below this factor, while a target that is ten
# times slower is far above it.
SLOW_FACTOR = 2.0
INITIAL_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 30.0


class StragglerState:
    """Whether a router avoids a target and when it tries the target again.

    Attributes:
      avoidance_s: Current avoidance time, seconds; 0 for a target that is not
        avoided.
      next_trial_at: Earliest time of the next trial, monotonic seconds.
    """

    __slots__ = ("avoidance_s", "next_trial_at")

    def __init__(self):
        self.avoidance_s = 0.0
        self.next_trial_at = 0.0


def is_slow(elapsed_s: float, mean_s: float | None) -> bool:
    """Returns whether an attempt has taken much longer than the average.

    Args:
      elapsed_s: Time since the attempt was sent, seconds.
      mean_s: Average latency of the service, seconds; None without samples.
    """
    return mean_s is not None and elapsed_s >= SLOW_FACTOR * mean_s


def record_slow(state: StragglerState, now: float) -> None:
    """Avoids a target; the avoidance time doubles with each slow trial.

    Until the next trial is due, slow attempts are ignored: they were sent
    before the target was avoided.
    """
    if now < state.next_trial_at:
        return
    state.avoidance_s = min(
        MAX_AVOIDANCE_S, max(INITIAL_AVOIDANCE_S, 2 * state.avoidance_s)
    )
    state.next_trial_at = now + state.avoidance_s


def record_fast(state: StragglerState) -> None:
    """Ends the avoidance of a target that has answered in time."""
    state.avoidance_s = 0.0
    state.next_trial_at = 0.0


def is_avoided(state: StragglerState) -> bool:
    """Returns whether other replicas are preferred to the target."""
    return state.avoidance_s > 0


def is_trial_due(state: StragglerState, now: float) -> bool:
    """Returns whether an avoided target may get a trial request."""
    return state.avoidance_s > 0 and state.next_trial_at <= now
