"""Which targets a router avoids because they answer much later than others."""

# An attempt this many times as old as the service's average is slow. Noise of
# a busy machine stays below it, a target ten times slower is far above.
SLOW_FACTOR = 2.0
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


class Slowness:
    """Whether a target is avoided and when it is tried again.

    Attributes:
      pause_s: Length of the current pause, seconds; 0 for a target that is
        not avoided.
      until: When the target may be tried again, monotonic seconds.
    """

    __slots__ = ("pause_s", "until")

    def __init__(self):
        self.pause_s = 0.0
        self.until = 0.0


def is_slow(elapsed_s: float, mean_s: float | None) -> bool:
    """Returns whether an attempt has taken much longer than is usual."""
    return mean_s is not None and elapsed_s >= SLOW_FACTOR * mean_s


def note_slow(slowness: Slowness, now: float) -> None:
    """Avoids a target; the pause doubles with each slow trial.

    Attempts that were sent before the pause began say nothing new.
    """
    if now < slowness.until:
        return
    slowness.pause_s = min(
        LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * slowness.pause_s)
    )
    slowness.until = now + slowness.pause_s


def note_fast(slowness: Slowness) -> None:
    """Uses a target again that has answered in time."""
    slowness.pause_s = 0.0
    slowness.until = 0.0


def is_avoided(slowness: Slowness) -> bool:
    """Returns whether another replica is to be chosen if there is one."""
    return slowness.pause_s > 0


def wants_trial(slowness: Slowness, now: float) -> bool:
    """Returns whether an avoided target may get a request as a trial."""
    return slowness.pause_s > 0 and slowness.until <= now
