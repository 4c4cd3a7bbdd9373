"""Penalties for the choice between the owners of a target.

The owners are the hosts that hold a share of the target.
"""

from bramleyfork.core import fleet

# Penalties of an owner; lower is better. If the penalty of a replica's best
# owner is ``UNRESPONSIVE_PENALTY`` or more, a replica with a lower one is
# preferred. Peers suspect an owner only after unanswered pings, while a single
# late reply makes it unresponsive, so being unresponsive weighs less.
NO_PENALTY = 0
LEAVING_PENALTY = 1
UNRESPONSIVE_PENALTY = 2
SUSPECT_PENALTY = 4


def compute_penalty(
    member: fleet.Member | None, *, unresponsive: bool
) -> int | None:
    """Returns the penalty of an owner, or None if it must not be used.

    Args:
      member: Membership state of the owner; None if it is unknown.
      unresponsive: Whether it recently failed or left a request unanswered.
    """
    if member is not None and member.state == "dead":
        return None
    penalty = UNRESPONSIVE_PENALTY if unresponsive else NO_PENALTY
    if member is None or member.state == "suspect":
        return penalty + SUSPECT_PENALTY
    if member.state == "leaving" or not member.leased:
        return penalty + LEAVING_PENALTY
    return penalty
