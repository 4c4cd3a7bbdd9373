"""Matches requests to routes and divides them among a route's services."""

import collections.abc

from bramleyfork.entry import declarations


def find_route(
    table: declarations.RouteTable, host: str, path: str
) -> declarations.Route | None:
    """Returns the route with the longest prefix of ``path``, or None.

    Args:
      table: Routes by host name, longest prefix first.
      host: Host name without port, in lower case.
      path: Path without the query.
    """
    for route in table.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def group_routes(
    routes: collections.abc.Iterable[declarations.Route],
) -> dict[str, tuple[declarations.Route, ...]]:
    """Returns routes by host name, longest prefix first."""
    by_host: dict[str, list[declarations.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
        for host, found in by_host.items()
    }


class WeightedRoundRobin:
    """Divides the requests of a route among services by their weights.

    This is a smooth weighted round robin: the service that is furthest below
    its share is next, so the shares hold over any span of requests.

    Args:
      shares: Services and weights; at least one weight is above 0.
      offset: Initial position in the cycle, 0 to 1. Hosts start at different
        positions, so that the shares also hold for the sum over all hosts.
    """

    __slots__ = ("_shares", "_credits")

    def __init__(
        self, *, shares: tuple[declarations.Share, ...], offset: float
    ):
        self._shares = shares
        self._credits = [
            offset * share.weight if index else 0.0
            for index, share in enumerate(shares)
        ]

    def choose_next(self) -> str:
        """Returns the service of the next request."""
        total = sum(share.weight for share in self._shares)
        for index, share in enumerate(self._shares):
            self._credits[index] += share.weight
        best = max(range(len(self._shares)), key=self._credits.__getitem__)
        self._credits[best] -= total
        return self._shares[best].service
