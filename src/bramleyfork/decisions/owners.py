"""Choice between the hosts that hold a share of a target."""

from bramleyfork.core import fleet

# Penalties of an owner; smaller is better. From SILENT on, a replica with a
# better owner is preferred. Peers suspect an owner after pings went unanswered,
# while silence may be one late answer, so it weighs less.
SOUND = 0
LEAVING = 1
SILENT = 2
SUSPECT = 4


def judge_owner(member: fleet.Member | None, *, silent: bool) -> int | None:
    """Returns the penalty of an owner, or None if it must not be used.

    Args:
      member: What is believed of it; None if it was never heard of.
      silent: Whether it has failed or answered nothing lately.
    """
    if member is not None and member.state == "dead":
        return None
    penalty = SILENT if silent else SOUND
    if member is None or member.state == "suspect":
        return penalty + SUSPECT
    if member.state == "leaving" or not member.leased:
        return penalty + LEAVING
    return penalty
