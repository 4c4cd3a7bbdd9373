"""Decides from what targets have said whether a host may send to them."""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.entry import declarations
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import observations as kinds

# Functions by kind of observation. Each returns the observation that keeps a
# host from sending requests to a target, or None.
RESTRICTIONS: registries.Registry[
    collections.abc.Callable[
        [kinds.Known, declarations.ListedTarget, str, float],
        observations.Observation | None,
    ]
] = registries.Registry(kind="restriction of targets")


@RESTRICTIONS.register(kinds.LEAVING)
def find_leave(
    known: kinds.Known,
    target: declarations.ListedTarget,
    host: str,
    now: float,
) -> observations.Observation | None:
    """Finds out whether a target leaves; it then gets nothing from any host."""
    del host
    latest = kinds.find_latest(known, target.born_ms, now)
    return latest if latest is not None and latest.value else None


@RESTRICTIONS.register(kinds.PAUSE)
def find_pause(
    known: kinds.Known,
    target: declarations.ListedTarget,
    host: str,
    now: float,
) -> observations.Observation | None:
    """Finds out whether a target has asked this very host for a pause."""
    return kinds.find_latest(known, target.born_ms, now, host=host)


def find_restriction(
    known: collections.abc.Callable[[str, str], kinds.Known | None],
    target: declarations.ListedTarget,
    *,
    host: str,
    now: float,
) -> observations.Observation | None:
    """Returns the observation that keeps a host from sending to a target.

    It is the one that holds for the longest time, or None if there is none.

    Args:
      known: Returns the observations of a kind and subject.
      target: The target.
      host: Name of the host.
      now: Monotonic time in seconds.
    """
    found = []
    for kind, find in RESTRICTIONS.list_items():
        observed = known(kind, target.target)
        restriction = find(observed, target, host, now) if observed else None
        if restriction is not None:
            found.append(restriction)
    return max(found, key=lambda o: o.ends_at, default=None)
