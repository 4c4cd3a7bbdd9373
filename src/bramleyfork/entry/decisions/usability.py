"""Whether a target may be sent requests."""

from bramleyfork.entry import declarations

READY = "ready"
UNVERIFIED = "unverified"  # Needs a good health check first.
MISDIRECTED = "misdirected"  # Its address belongs to another target.


class TargetHealth:
    """What this host knows of a target besides its listing.

    Attributes:
      state: READY, UNVERIFIED or MISDIRECTED.
      born_ms: Start of the process that the state is about.
      warm_at: Monotonic time from which it is warm.
      probe_at: Monotonic time of the next health check.
    """

    __slots__ = ("state", "born_ms", "warm_at", "probe_at")

    def __init__(
        self, *, state: str, born_ms: int, warm_at: float, probe_at: float
    ):
        self.state = state
        self.born_ms = born_ms
        self.warm_at = warm_at
        self.probe_at = probe_at


def is_in_service(
    target: declarations.ListedTarget,
    evacuated: frozenset[str],
) -> bool:
    """Returns whether operators and the target itself let it be used."""
    return not target.is_draining and target.data_centre not in evacuated


def is_usable(
    target: declarations.ListedTarget,
    health: TargetHealth,
    evacuated: frozenset[str],
    now: float,
) -> bool:
    """Returns whether requests may be sent to a target.

    A cold target is left alone: the hosts can't divide among themselves the
    few requests that it bears.
    """
    return (
        is_in_service(target, evacuated)
        and health.state == READY
        and max(health.warm_at, target.warm_at) <= now
    )


def needs_probe(
    target: declarations.ListedTarget,
    health: TargetHealth,
    evacuated: frozenset[str],
    now: float,
) -> bool:
    """Returns whether a health check is due."""
    return (
        health.state == UNVERIFIED
        and is_in_service(target, evacuated)
        and target.warm_at <= now
        and health.probe_at <= now
    )
