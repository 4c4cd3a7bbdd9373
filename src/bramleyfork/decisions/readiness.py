"""Decides whether a host is ready to accept requests."""

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.decisions import lease as leases


def find_unready_reason(
    *,
    lifecycle: fleet.Lifecycle | None,
    active: declarations.ActiveDeclaration | None,
    lease: fleet.Lease | None,
    now: float,
) -> str:
    """Returns why a host is not ready; empty if it is ready.

    Args:
      lifecycle: Phase of the process; None counts as starting.
      active: The active configuration, or None.
      lease: The control lease, or None.
      now: Monotonic seconds.
    """
    phase = lifecycle.phase if lifecycle else "starting"
    if phase != "serving":
        return f"the host is {phase}"
    if active is None:
        return "no configuration is in force"
    if not leases.is_held(lease, now):
        return "the control lease is not held"
    return ""
