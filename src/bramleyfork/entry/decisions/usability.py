"""Decides whether requests or health checks are sent to a target."""

from bramleyfork.entry import declarations

READY = "ready"
UNVERIFIED = "unverified"  # Needs a successful health check first.
MISDIRECTED = "misdirected"  # Its address belongs to another target.


class TargetHealth:
    """State of a target as this host has observed it, besides its listing.

    Attributes:
      state: READY, UNVERIFIED or MISDIRECTED.
      born_ms: Start of the target's process to which the state applies, in
        milliseconds since 1970.
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
    """Returns whether a target is neither draining nor evacuated.

    Args:
      target: The target as listed.
      evacuated: Names of the data centres that operators have evacuated.
    """
    return not target.is_draining and target.data_centre not in evacuated


def is_usable(
    target: declarations.ListedTarget,
    health: TargetHealth,
    evacuated: frozenset[str],
    now: float,
    *,
    is_restricted: bool = False,
) -> bool:
    """Returns whether requests may be sent to a target.

    A cold target gets none: it can handle only a few, which the hosts can't
    divide among themselves.

    Args:
      target: The target as listed.
      health: What this host has observed of it.
      evacuated: Names of the data centres that operators have evacuated.
      now: Monotonic time in seconds.
      is_restricted: Whether its own answers keep this host from sending to it.
    """
    return (
        is_in_service(target, evacuated)
        and not is_restricted
        and health.state == READY
        and max(health.warm_at, target.warm_at) <= now
    )


def needs_probe(
    target: declarations.ListedTarget,
    health: TargetHealth,
    evacuated: frozenset[str],
    now: float,
) -> bool:
    """Returns whether a health check of a target is due.

    Only unverified targets are checked, and none that is draining, evacuated or
    listed as cold.
    """
    return (
        health.state == UNVERIFIED
        and is_in_service(target, evacuated)
        and target.warm_at <= now
        and health.probe_at <= now
    )
