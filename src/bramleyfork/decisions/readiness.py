"""Whether a host may take work."""

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
    """Returns why a host is not ready, or an empty text.

    Args:
      lifecycle: Where the process stands.
      active: The configuration in force.
      lease: The control lease.
      now: Monotonic seconds.
    """
    phase = lifecycle.phase if lifecycle else "starting"
    if phase != "serving":
        return f"the host is {phase}"
    if active is None:
        return "no configuration is in force"
    if not leases.is_held(lease, now):
        return "the control lease does not hold"
    return ""
