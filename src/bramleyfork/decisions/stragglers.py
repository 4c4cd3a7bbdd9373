"""Avoidance of targets that answer much more slowly than others."""

# An attempt that takes this many times the service's average latency is slow.
# Noise on a busy machine stays below this factor, while a target that is ten
# times slower is far above it.
SLOW_FACTOR = 2.0
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


class Slowness:
    """Whether a router avoids a target and when it tries the target again.

    Attributes:
      pause_s: Current avoidance time, seconds; 0 for a target that is not
        avoided.
      until: Earliest time of the next trial, monotonic seconds.
    """

    __slots__ = ("pause_s", "until")

    def __init__(self):
        self.pause_s = 0.0
        self.until = 0.0


def is_slow(elapsed_s: float, mean_s: float | None) -> bool:
    """Returns whether an attempt has taken much longer than the average.

    Args:
      elapsed_s: Time since the attempt was sent, seconds.
      mean_s: Average latency of the service, seconds; None without samples.
    """
    return mean_s is not None and elapsed_s >= SLOW_FACTOR * mean_s


def note_slow(slowness: Slowness, now: float) -> None:
    """Avoids a target; the avoidance time doubles with each slow trial.

    Until the next trial is due, slow attempts are ignored: they were sent
    before the target was avoided.
    """
    if now < slowness.until:
        return
    slowness.pause_s = min(
        LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * slowness.pause_s)
    )
    slowness.until = now + slowness.pause_s


def note_fast(slowness: Slowness) -> None:
    """Ends the avoidance of a target that has answered in time."""
    slowness.pause_s = 0.0
    slowness.until = 0.0


def is_avoided(slowness: Slowness) -> bool:
    """Returns whether other replicas are preferred to the target."""
    return slowness.pause_s > 0


def wants_trial(slowness: Slowness, now: float) -> bool:
    """Returns whether an avoided target may get a trial request."""
    return slowness.pause_s > 0 and slowness.until <= now
