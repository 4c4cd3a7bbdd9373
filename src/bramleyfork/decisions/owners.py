"""Choice between the hosts that hold a share of a target."""

from bramleyfork.core import fleet

# Penalties of an owner; smaller is better. From UNRESPONSIVE_PENALTY on, a
# replica with a better owner is preferred. Peers suspect an owner after pings
# went unanswered, while silence may be one late answer, so it weighs less.
NO_PENALTY = 0
LEAVING_PENALTY = 1
UNRESPONSIVE_PENALTY = 2
SUSPECT_PENALTY = 4


def compute_penalty(
    member: fleet.Member | None, *, unresponsive: bool
) -> int | None:
    """Returns the penalty of an owner, or None if it must not be used.

    Args:
      member: What is believed of it; None if it was never heard of.
      unresponsive: Whether it has failed or answered nothing lately.
    """
    if member is not None and member.state == "dead":
        return None
    penalty = UNRESPONSIVE_PENALTY if unresponsive else NO_PENALTY
    if member is None or member.state == "suspect":
        return penalty + SUSPECT_PENALTY
    if member.state == "leaving" or not member.leased:
        return penalty + LEAVING_PENALTY
    return penalty
