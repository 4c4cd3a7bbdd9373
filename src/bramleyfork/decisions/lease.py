"""The control lease: the right to start work on targets.

It is renewed by acks of peers and results of the platform that name no newer
configuration than the one in force on the host.
"""

import math

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import records

LEASE_S = 2.5

# A host whose lease expires sooner than this also pings the peer that answered
# last. It is three ping periods, so that two lost acks do not end the lease.
RENEWAL_S = 1.5

EXEMPT = "exempt"


class Confirmation(records.Record):
    """Confirmation by an acknowledged ping or an answered platform call.

    Attributes:
      sent_at: When the ping or call was sent, monotonic seconds.
      revision: Configuration revision in the answer.
      digest: Configuration digest in the answer.
      source: Peer that answered, or the platform.
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
    """Returns whether the lease is valid, so that work may be started."""
    return lease is not None and now < lease.expires_at


def needs_renewal(lease: fleet.Lease | None, now: float) -> bool:
    """Returns whether the lease has expired or expires soon."""
    return not is_held(lease, now + RENEWAL_S)


def renew(
    lease: fleet.Lease | None,
    confirmation: Confirmation,
    in_force: declarations.Declaration,
) -> fleet.Lease | None:
    """Returns the lease after a confirmation; unchanged if it does not count.

    A confirmation with a newer configuration than the one in force here does
    not count until that configuration is in force.
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
    """Returns whether a confirmation names a newer configuration."""
    confirmed_version = (confirmation.revision, confirmation.digest)
    return confirmed_version > (in_force.revision, in_force.digest)


def apply_declaration(
    lease: fleet.Lease | None,
    in_force: declarations.Declaration | None,
    host: str,
) -> fleet.Lease | None:
    """Returns the lease after a configuration has come into force.

    A host that is the only declared one is exempt: its lease never expires. A
    host that is not declared has no lease. A host that is no longer exempt has
    no lease until the next confirmation.

    Args:
      lease: The lease so far.
      in_force: The declaration in force.
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
    """Returns the confirmation to apply once its configuration is in force.

    Args:
      pending: The confirmation that is kept so far, if any.
      confirmation: A new confirmation.
      in_force: The declaration in force.
    """
    if in_force is not None and not is_newer(confirmation, in_force):
        return pending
    if pending is not None and pending.sent_at > confirmation.sent_at:
        return pending
    return confirmation
