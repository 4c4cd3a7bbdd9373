"""Decides from what targets have said whether a host may send to them."""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.entry import declarations
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import observations as kinds

# Functions by kind of observation. Each returns whether an observation keeps a
# host from sending requests to its target.
RESTRICTIONS: registries.Registry[
    collections.abc.Callable[[observations.Observation, str], bool]
] = registries.Registry(kind="restriction of targets")


@RESTRICTIONS.register(kinds.LEAVING)
def check_leaving(observation: observations.Observation, host: str) -> bool:
    """A target that leaves gets nothing from any host."""
    del host
    return bool(observation.value)


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
    for kind, applies in RESTRICTIONS.list_items():
        latest = kinds.find_latest(
            known(kind, target.target), target.born_ms, now
        )
        if latest is not None and applies(latest, host):
            found.append(latest)
    return max(found, key=lambda o: o.ends_at, default=None)
