"""The state of a request as it begins."""

import random

from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.decisions import gathers
from bramleyfork.entry.decisions import hedges
from bramleyfork.entry.decisions import matching

# Time for the last bytes of an answer to reach a caller before its deadline.
_DEADLINE_MARGIN_S = 0.01
_DEFAULT_WAIT_S = 10.0  # If a caller does not say how long it waits.


class ExchangeBuilder:
    """Finds services and times of requests.

    Args:
      route_latencies: How fast the sub-requests of each route are answered.
      rng: Source of randomness.
    """

    __slots__ = ("_route_latencies", "_random", "_shares")

    def __init__(
        self, *, route_latencies: hedges.RouteLatencyTable, rng: random.Random
    ):
        self._route_latencies = route_latencies
        self._random = rng
        self._shares: dict[str, tuple] = {}

    def build(
        self,
        request: exchanges.CallerRequest,
        route: declarations.Route,
        table: declarations.RouteTable,
    ) -> _exchange.Exchange:
        """Returns the state of a request that begins."""
        began = request.received_at
        wait_s = request.wait_s
        if wait_s is None:
            wait_s = _DEFAULT_WAIT_S
        services = route.shards or (self._choose_share(route),)
        elapsed_before_s = self._route_latencies.find(route).record_timeout(
            request.wait_s
        )
        min_shards = gathers.compute_min_shards(
            len(services), route.least_share
        )
        return _exchange.Exchange(
            request=request,
            route=route,
            version=table.version,
            services=services,
            min_shards=min_shards,
            deadline_at=began
            + min(wait_s, route.timeout_s)
            - _DEADLINE_MARGIN_S,
            aim_at=began
            + hedges.find_answer_delay(
                route.aim_s, elapsed_before_s, request.rtt_s
            ),
            late_cutoff_at=began + hedges.find_late_delay(route.aim_s),
            elapsed_before_s=elapsed_before_s,
        )

    def _choose_share(self, route: declarations.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        found = self._shares.get(route.name)
        if found is None or found[0] != route.shares:
            counter = matching.WeightedRoundRobin(
                shares=route.shares, offset=self._random.random()
            )
            found = self._shares[route.name] = (route.shares, counter)
        return found[1].choose_next()
