"""Penalties for the choice between the owners of a target.

The owners are the hosts that hold a share of the target.
"""

from bramleyfork.core import fleet

# Penalties of an owner; lower is better. From ``SILENT`` on, a replica whose
# owner has a lower penalty is preferred. Peers suspect an owner after pings
# went unanswered, while one late reply makes it unresponsive, so that weighs
# less.
SOUND = 0
LEAVING = 1
SILENT = 2
SUSPECT = 4


def judge_owner(member: fleet.Member | None, *, silent: bool) -> int | None:
    """Returns the penalty of an owner, or None if it must not be used.

    Args:
      member: Membership state of the owner; None if it is unknown.
      silent: Whether it recently failed or left a request unanswered.
    """
    if member is not None and member.state == "dead":
        return None
    penalty = SILENT if silent else SOUND
    if member is None or member.state == "suspect":
        return penalty + SUSPECT
    if member.state == "leaving" or not member.leased:
        return penalty + LEAVING
    return penalty
