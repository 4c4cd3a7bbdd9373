"""Decides when an older copy of the store takes effect.

The store may come back from a copy that is some seconds old. The first listing
of its new era then lacks what was written last, and shows what had been removed
or replaced. Operators and targets write again what they wrote since.
"""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.entry import feeds

# Time in which a target that lives has written its entry again, and in which
# the store removes the entry of one that doesn't.
_TARGET_DELAY_S = 5.0
# Time for which an evacuation stays in effect though the copy lacks it.
# Operators have no bound for writing it again; a data centre that stays out for
# good by mistake costs its capacity.
_EVACUATION_DELAY_S = 60.0

# Functions by subject of a change. Each returns the seconds for which an entry
# of an older copy is deferred, or None if it takes effect at once.
DELAYS: registries.Registry[
    collections.abc.Callable[[feeds.Change, feeds.Change], float | None]
] = registries.Registry(kind="subject of a change")


def find_delay(
    known: feeds.Change | None, change: feeds.Change
) -> float | None:
    """Returns for how long an entry of an older copy is deferred.

    Args:
      known: The last change that is known of the entry; None for none.
      change: The entry in the copy, or its removal if the copy lacks it.

    Returns:
      Seconds; None if it takes effect at once.
    """
    if known is None or change.subject not in DELAYS.list_names():
        return None
    return DELAYS.find(change.subject)(known, change)


@DELAYS.register("evacuation")
def find_evacuation_delay(
    known: feeds.Change, change: feeds.Change
) -> float | None:
    """Keeps an evacuation that the copy lacks; a copied one holds at once."""
    if known.is_removed or not change.is_removed:
        return None
    return _EVACUATION_DELAY_S


@DELAYS.register("target")
def find_target_delay(
    known: feeds.Change, change: feeds.Change
) -> float | None:
    """Keeps targets out that left or are leaving though the copy lists them."""
    if change.content is None:
        return None
    has_left = known.content is None
    is_leaving = not has_left and known.content.is_draining
    if has_left or (is_leaving and not change.content.is_draining):
        return _TARGET_DELAY_S
    return None
