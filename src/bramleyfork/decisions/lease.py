"""The control lease: the right to start work on targets."""

import math

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import records

LEASE_S = 2.5

# A host with less than this left also pings the peer that answered last.
# Three periods of pings, so that two lost answers do not end the lease.
RENEWAL_S = 1.5

EXEMPT = "exempt"


class Confirmation(records.Record):
    """A heartbeat or platform call that was answered.

    Attributes:
      sent_at: When the question was sent, monotonic seconds.
      revision: Revision that the other side told of.
      digest: Digest that the other side told of.
      source: Who answered.
    """

    __slots__ = ("sent_at", "revision", "digest", "source")

    def __init__(
        self, *, sent_at: float, revision: int, digest: str, source: str
    ):
        self.sent_at = sent_at
        self.revision = revision
        self.digest = digest
        self.source = source


def is_held(lease: fleet.Lease | None, now: float) -> bool:
    """Returns whether work may be started on targets."""
    return lease is not None and now < lease.expires_at


def needs_renewal(lease: fleet.Lease | None, now: float) -> bool:
    """Returns whether the lease ends soon or has ended."""
    return not is_held(lease, now + RENEWAL_S)


def renew(
    lease: fleet.Lease | None,
    confirmation: Confirmation,
    in_force: declarations.Declaration,
) -> fleet.Lease | None:
    """Returns the lease after an answer; the same one if it does not count.

    An answer that tells of a newer configuration than the one in force here
    does not count until that one is in force.
    """
    if is_newer(confirmation, in_force):
        return lease
    expires_at = confirmation.sent_at + LEASE_S
    if lease is not None and lease.expires_at >= expires_at:
        return lease
    return fleet.Lease(expires_at=expires_at, source=confirmation.source)


def is_newer(
    confirmation: Confirmation, in_force: declarations.Declaration
) -> bool:
    """Returns whether an answer tells of a newer configuration."""
    told = (confirmation.revision, confirmation.digest)
    return told > (in_force.revision, in_force.digest)


def apply_declaration(
    lease: fleet.Lease | None,
    in_force: declarations.Declaration | None,
    host: str,
) -> fleet.Lease | None:
    """Returns the lease under a configuration, before any answer.

    A host that is the only declared one is exempt. A host that is not declared
    has no lease. A host that was exempt must be answered first.

    Args:
      lease: The lease so far.
      in_force: The configuration in force.
      host: This host.
    """
    if in_force is None or host not in in_force.hosts:
        return None
    is_exempt = lease is not None and lease.expires_at == math.inf
    if len(in_force.hosts) == 1:
        if is_exempt:
            return lease
        return fleet.Lease(expires_at=math.inf, source=EXEMPT)
    return None if is_exempt else lease


def choose_pending_confirmation(
    pending: Confirmation | None,
    confirmation: Confirmation,
    in_force: declarations.Declaration | None,
) -> Confirmation | None:
    """Returns the answer to count once its configuration is in force."""
    if in_force is not None and not is_newer(confirmation, in_force):
        return pending
    if pending is not None and pending.sent_at > confirmation.sent_at:
        return pending
    return confirmation
