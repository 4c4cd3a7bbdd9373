"""Decides when requests switch to a new version of the route table.

When an index is resharded, the targets of the new shards are often still cold
when the version that names them arrives. The old shards still hold the index
then, except for those that are down.
"""

import collections.abc

from bramleyfork.entry import declarations

# Maximum delay of a switch. A version has to be in force on all hosts within a
# few seconds of its acceptance.
MAX_SWITCH_DELAY_S = 1.5

HasUsableTarget = collections.abc.Callable[[str], bool]


def keeps_coverage(
    new: declarations.RouteTable,
    old: declarations.RouteTable,
    has_usable_target: HasUsableTarget,
) -> bool:
    """Returns whether no route would lose coverage by a switch.

    Coverage is the fraction of a route's shards that have usable targets. Only
    routes whose set of shards changes are compared.

    Args:
      new: The version that has arrived.
      old: The version that requests use.
      has_usable_target: Returns whether a service has a usable target.
    """
    known = {
        (route.host, route.prefix): route.shards
        for routes in old.routes.values()
        for route in routes
    }
    for routes in new.routes.values():
        for route in routes:
            old_shards = known.get((route.host, route.prefix))
            if not old_shards or old_shards == route.shards:
                continue
            if _compute_coverage(
                route.shards, has_usable_target
            ) < _compute_coverage(old_shards, has_usable_target):
                return False
    return True


def _compute_coverage(
    shards: tuple[str, ...], has_usable_target: HasUsableTarget
) -> float:
    """Returns the fraction of the shards that have usable targets, 0 to 1."""
    if not shards:
        return 1.0
    return sum(map(has_usable_target, shards)) / len(shards)


class RouteTableSwitch:
    """Holds the version that requests use; it never goes back to an older one.

    A newer version is used once it keeps the coverage of all routes, or after
    ``MAX_SWITCH_DELAY_S``.
    """

    __slots__ = ("_table", "_pending_table", "_pending_since")

    def __init__(self):
        self._table: declarations.RouteTable | None = None
        self._pending_table: declarations.RouteTable | None = None
        self._pending_since = 0.0

    def select(
        self,
        current: declarations.RouteTable | None,
        has_usable_target: HasUsableTarget,
        now: float,
    ) -> declarations.RouteTable | None:
        """Returns the version that a request at the current time uses.

        Args:
          current: The newest version; None if none has arrived.
          has_usable_target: Returns whether a service has a usable target.
          now: Current monotonic time in seconds.
        """
        self.observe(current, now)
        if self._pending_table is None:
            return self._table
        if now - self._pending_since >= MAX_SWITCH_DELAY_S or keeps_coverage(
            current, self._table, has_usable_target
        ):
            self._table, self._pending_table = current, None
        return self._table

    def observe(
        self, current: declarations.RouteTable | None, now: float
    ) -> None:
        """Records the newest version when it arrives.

        The maximum delay counts from here, as the next request may come much
        later.
        """
        if self._table is None or current is self._table:
            self._table = current
            return
        if self._pending_table is None:
            self._pending_since = now
        self._pending_table = current
