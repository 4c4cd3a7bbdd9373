"""Which targets a router avoids because they answer much later than others."""

# An attempt this many times as old as the service's average is slow. Noise of
# a busy machine stays below it, a target ten times slower is far above.
SLOW_FACTOR = 2.0
INITIAL_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 30.0


class StragglerState:
    """Whether a target is avoided and when it is tried again.

    Attributes:
      avoidance_s: Length of the current pause, seconds; 0 for a target that is
        not avoided.
      until: When the target may be tried again, monotonic seconds.
    """

    __slots__ = ("avoidance_s", "until")

    def __init__(self):
        self.avoidance_s = 0.0
        self.until = 0.0


def is_slow(elapsed_s: float, mean_s: float | None) -> bool:
    """Returns whether an attempt has taken much longer than is usual."""
    return mean_s is not None and elapsed_s >= SLOW_FACTOR * mean_s


def note_slow(state: StragglerState, now: float) -> None:
    """Avoids a target; the pause doubles with each slow trial.

    Attempts that were sent before the pause began say nothing new.
    """
    if now < state.until:
        return
    state.avoidance_s = min(
        MAX_AVOIDANCE_S, max(INITIAL_AVOIDANCE_S, 2 * state.avoidance_s)
    )
    state.until = now + state.avoidance_s


def note_fast(state: StragglerState) -> None:
    """Uses a target again that has answered in time."""
    state.avoidance_s = 0.0
    state.until = 0.0


def is_avoided(state: StragglerState) -> bool:
    """Returns whether another replica is to be chosen if there is one."""
    return state.avoidance_s > 0


def is_trial_due(state: StragglerState, now: float) -> bool:
    """Returns whether an avoided target may get a request as a trial."""
    return state.avoidance_s > 0 and state.until <= now
