"""The right of a host to start work on targets."""

from bramleyfork.core import fleet


def may_start(lease: fleet.Lease | None, now: float) -> bool:
    """Returns whether a host may start work at a monotonic time."""
    return lease is not None and now < lease.expires_at
