"""When requests follow a new version of the routes.

When an index is cut anew, the targets of the new shards are often still cold
as the version that names them arrives. The old shards still hold the index
then, but for those that are down.
"""

import collections.abc

from bramleyfork.entry import declarations

# Longest time for which requests follow the version before. A version has to
# be in force everywhere within some seconds of its acceptance.
MAX_SWITCH_DELAY_S = 1.5

HasUsableTarget = collections.abc.Callable[[str], bool]


def keeps_coverage(
    new: declarations.RouteTable,
    old: declarations.RouteTable,
    has_usable_target: HasUsableTarget,
) -> bool:
    """Returns whether no set of shards answers less than the one before.

    Args:
      new: The version that has arrived.
      old: The version that requests follow.
      has_usable_target: Whether a service has a target in use.
    """
    known = {
        (route.host, route.prefix): route.shards
        for routes in old.routes.values()
        for route in routes
    }
    for routes in new.routes.values():
        for route in routes:
            before = known.get((route.host, route.prefix))
            if not before or before == route.shards:
                continue
            if _find_share(route.shards, has_usable_target) < _find_share(
                before, has_usable_target
            ):
                return False
    return True


def _find_share(
    shards: tuple[str, ...], has_usable_target: HasUsableTarget
) -> float:
    """Returns the part of the shards that have targets in use, 0 to 1."""
    if not shards:
        return 1.0
    return sum(map(has_usable_target, shards)) / len(shards)


class RouteTableSwitch:
    """The version that requests follow; it never goes back."""

    __slots__ = ("_table", "_newer", "_since")

    def __init__(self):
        self._table: declarations.RouteTable | None = None
        self._newer: declarations.RouteTable | None = None
        self._since = 0.0

    def select(
        self,
        current: declarations.RouteTable | None,
        has_usable_target: HasUsableTarget,
        now: float,
    ) -> declarations.RouteTable | None:
        """Returns the version that a request of now follows.

        Args:
          current: The newest version.
          has_usable_target: Whether a service has a target in use.
          now: Monotonic seconds.
        """
        self.observe(current, now)
        if self._newer is None:
            return self._table
        if now - self._since >= MAX_SWITCH_DELAY_S or keeps_coverage(
            current, self._table, has_usable_target
        ):
            self._table, self._newer = current, None
        return self._table

    def observe(
        self, current: declarations.RouteTable | None, now: float
    ) -> None:
        """Notes the newest version as it arrives.

        The time for which it may be held back begins here, as the next request
        may come much later.
        """
        if self._table is None or current is self._table:
            self._table = current
            return
        if self._newer is None:
            self._since = now
        self._newer = current
