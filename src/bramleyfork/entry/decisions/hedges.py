"""When a slow shard is asked a second time, and when an answer must leave."""

import collections

from bramleyfork.decisions import latencies
from bramleyfork.entry import declarations

# Time between the decision to answer and the answer's last byte on the wire.
_ANSWER_SLACK_S = 0.005
# Part of the aim for which an answer that missed it waits for missing shards.
_LATE_PART = 1.8
# A shard is asked a second time after this percentile of the latencies of
# sub-requests of its route over the same distance, within these parts of the
# aim.
_HEDGE_PERCENTILE = 93.0
_HEDGE_LEAST_PART = 0.08
_HEDGE_MOST_PART = 0.4
_HEDGE_DEFAULT_PART = 0.25  # Until there are samples.
# Replies that another host joins wait for each other up to this percentile of
# the latencies within a data centre, and no longer than a part of the aim.
_FLUSH_PERCENTILE = 85.0
_FLUSH_MOST_PART = 0.25
_FLUSH_DEFAULT_PART = 0.15
_LEAST_SAMPLES = 50
# The usual work of a target shows where replies seldom wait behind others.
_WORK_PERCENTILE = 25.0
# Callers of a route mostly wait equally long, and one that names less has
# spent the rest on its way here. Few callers wait longer than this percentile.
_USUAL_WAIT_PERCENTILE = 90.0


class RouteLatencies:
    """How fast the sub-requests of a route are answered.

    Attributes:
      waits: How long callers of the route say that they wait.
      latencies_by_distance: Latencies of good replies by distance class.
    """

    __slots__ = ("waits", "latencies_by_distance")

    def __init__(self):
        self.waits = latencies.LatencyWindow()
        self.latencies_by_distance: dict[str, latencies.LatencyWindow] = (
            collections.defaultdict(latencies.LatencyWindow)
        )

    def find_hedge_delay(self, aim_s: float, distance: str) -> float:
        """Returns seconds after which an unanswered shard is asked again."""
        window = self.latencies_by_distance[distance]
        if window.count < _LEAST_SAMPLES:
            return aim_s * _HEDGE_DEFAULT_PART
        usual = window.find_percentile(_HEDGE_PERCENTILE) or 0.0
        return min(
            aim_s * _HEDGE_MOST_PART, max(aim_s * _HEDGE_LEAST_PART, usual)
        )

    def find_flush_delay(self, aim_s: float) -> float:
        """Returns seconds for which replies of near targets wait for others."""
        window = self.latencies_by_distance["data_centre"]
        if window.count < _LEAST_SAMPLES:
            return aim_s * _FLUSH_DEFAULT_PART
        usual = window.find_percentile(_FLUSH_PERCENTILE) or 0.0
        return min(usual, aim_s * _FLUSH_MOST_PART)

    def estimate_service_time(self) -> float:
        """Returns the usual seconds of a target's work on a sub-request.

        It is 0 until there are samples of near targets.
        """
        window = self.latencies_by_distance["data_centre"]
        return window.find_percentile(_WORK_PERCENTILE) or 0.0

    def record_timeout(self, wait_s: float | None) -> float:
        """Returns seconds that a caller has spent before its request came."""
        if wait_s is None:
            return 0.0
        self.waits.record(wait_s)
        usual = self.waits.find_percentile(_USUAL_WAIT_PERCENTILE) or wait_s
        return max(0.0, usual - wait_s)


class RouteLatencyTable:
    """Paces by route."""

    __slots__ = ("_latencies_by_route",)

    def __init__(self):
        self._latencies_by_route: dict[str, RouteLatencies] = {}

    def find(self, route: declarations.Route) -> RouteLatencies:
        """Returns the pace of a route."""
        return self.find_by_name(route.name)

    def find_by_name(self, route_name: str) -> RouteLatencies:
        """Returns the pace of the route with a name."""
        found = self._latencies_by_route.get(route_name)
        if found is None:
            found = self._latencies_by_route[route_name] = RouteLatencies()
        return found


def find_answer_delay(
    aim_s: float, elapsed_before_s: float, rtt_s: float
) -> float:
    """Returns seconds from a request's arrival to its answer's last moment.

    Args:
      aim_s: Time from the caller's start within which an answer is worth most.
      elapsed_before_s: Time that the caller has spent before it sent the
        request.
      rtt_s: Round trip to the caller.
    """
    return aim_s - elapsed_before_s - rtt_s - _ANSWER_SLACK_S


def find_late_delay(aim_s: float) -> float:
    """Returns seconds for which a late answer waits for missing shards."""
    return aim_s * _LATE_PART
