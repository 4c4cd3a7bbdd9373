"""Builds the working state of a request when it arrives."""

import random

from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.decisions import gathers
from bramleyfork.entry.decisions import hedges
from bramleyfork.entry.decisions import matching

# Time reserved before the deadline for an answer's last bytes to reach the
# caller.
_DEADLINE_MARGIN_S = 0.01
_DEFAULT_WAIT_S = 10.0  # Used if the caller sends no timeout.


class ExchangeBuilder:
    """Chooses the services of new requests and computes their deadlines.

    Args:
      route_latencies: Latencies of sub-requests by route.
      rng: Random number generator.
    """

    __slots__ = ("_route_latencies", "_random", "_round_robins")

    def __init__(
        self, *, route_latencies: hedges.RouteLatencyTable, rng: random.Random
    ):
        self._route_latencies = route_latencies
        self._random = rng
        self._round_robins: dict[str, tuple] = {}

    def build(
        self,
        request: exchanges.CallerRequest,
        route: declarations.Route,
        table: declarations.RouteTable,
    ) -> _exchange.Exchange:
        """Returns the working state of a new request.

        Args:
          request: The caller's request.
          route: The route that matches it.
          table: The route table that contains the route.
        """
        received_at = request.received_at
        wait_s = request.wait_s
        if wait_s is None:
            wait_s = _DEFAULT_WAIT_S
        services = route.shards or (self._choose_service(route),)
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
            deadline_at=received_at
            + min(wait_s, route.timeout_s)
            - _DEADLINE_MARGIN_S,
            aim_at=received_at
            + hedges.find_answer_delay(
                route.aim_s, elapsed_before_s, request.rtt_s
            ),
            late_cutoff_at=received_at + hedges.find_late_delay(route.aim_s),
            elapsed_before_s=elapsed_before_s,
        )

    def _choose_service(self, route: declarations.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        found = self._round_robins.get(route.name)
        if found is None or found[0] != route.shares:
            round_robin = matching.WeightedRoundRobin(
                shares=route.shares, offset=self._random.random()
            )
            found = self._round_robins[route.name] = (route.shares, round_robin)
        return found[1].choose_next()
