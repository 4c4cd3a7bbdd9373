"""Tracks the latencies of each route and derives hedge and answer delays.

A hedge is a second attempt at a shard whose target has not replied yet.
"""

import collections

from bramleyfork.decisions import latencies
from bramleyfork.entry import declarations

# Time from the decision to answer to the answer's last byte on the wire.
_ANSWER_SLACK_S = 0.005
# An answer that has missed the latency target waits for missing shards until
# this multiple of the latency target has passed since the request's arrival.
_LATE_CUTOFF_FACTOR = 1.8
# A hedge is sent after this percentile of the latencies of the route's
# sub-requests over the same distance, within these fractions of the latency
# target.
_HEDGE_PERCENTILE = 93.0
_HEDGE_MIN_FRACTION = 0.08
_HEDGE_MAX_FRACTION = 0.4
_HEDGE_DEFAULT_FRACTION = 0.25  # Until there are enough samples.
# A carrier (a host that makes attempts for this one) holds replies back to
# merge them with others: up to this percentile of the latencies within a data
# centre, and no longer than a fraction of the latency target.
_FLUSH_PERCENTILE = 85.0
_FLUSH_MAX_FRACTION = 0.25
_FLUSH_DEFAULT_FRACTION = 0.15  # Until there are enough samples.
_MIN_SAMPLES = 50
# Percentile of the latencies within a data centre that estimates the service
# time: replies as fast as that seldom waited in a queue.
_SERVICE_TIME_PERCENTILE = 25.0
# Most callers of a route use the same timeout, and one that states a shorter
# one has used up the difference before its request arrived. Few callers use a
# longer timeout than this percentile.
_USUAL_TIMEOUT_PERCENTILE = 90.0


class RouteLatencies:
    """Latencies of a route's sub-requests and timeouts of its callers.

    Attributes:
      timeouts: Timeouts that callers of the route stated, in seconds.
      latencies_by_distance: Latencies of successful replies, by distance class:
        "data_centre", "region" or "far".
    """

    __slots__ = ("timeouts", "latencies_by_distance")

    def __init__(self):
        self.timeouts = latencies.LatencyWindow()
        self.latencies_by_distance: dict[str, latencies.LatencyWindow] = (
            collections.defaultdict(latencies.LatencyWindow)
        )

    def find_hedge_delay(self, aim_s: float, distance: str) -> float:
        """Returns the seconds after which an unanswered attempt is hedged.

        Args:
          aim_s: Latency target of the route in seconds.
          distance: Distance class of the attempt's target.
        """
        window = self.latencies_by_distance[distance]
        if window.count < _MIN_SAMPLES:
            return aim_s * _HEDGE_DEFAULT_FRACTION
        usual = window.find_percentile(_HEDGE_PERCENTILE) or 0.0
        return min(
            aim_s * _HEDGE_MAX_FRACTION, max(aim_s * _HEDGE_MIN_FRACTION, usual)
        )

    def find_flush_delay(self, aim_s: float) -> float:
        """Returns the seconds for which a carrier holds replies back.

        Args:
          aim_s: Latency target of the route in seconds.
        """
        window = self.latencies_by_distance["data_centre"]
        if window.count < _MIN_SAMPLES:
            return aim_s * _FLUSH_DEFAULT_FRACTION
        usual = window.find_percentile(_FLUSH_PERCENTILE) or 0.0
        return min(usual, aim_s * _FLUSH_MAX_FRACTION)

    def estimate_service_time(self) -> float:
        """Returns the estimated service time of a sub-request in seconds.

        It is 0 until there are samples of targets in this data centre.
        """
        window = self.latencies_by_distance["data_centre"]
        return window.find_percentile(_SERVICE_TIME_PERCENTILE) or 0.0

    def record_timeout(self, wait_s: float | None) -> float:
        """Records a caller's timeout and estimates how much of it is used up.

        Args:
          wait_s: Timeout that the request states, in seconds; None if it
            states none.

        Returns:
          The estimated seconds that the caller had been waiting when its
          request arrived.
        """
        if wait_s is None:
            return 0.0
        self.timeouts.record(wait_s)
        usual = (
            self.timeouts.find_percentile(_USUAL_TIMEOUT_PERCENTILE) or wait_s
        )
        return max(0.0, usual - wait_s)


class RouteLatencyTable:
    """Latencies and timeouts by route, created on first use."""

    __slots__ = ("_by_route",)

    def __init__(self):
        self._by_route: dict[str, RouteLatencies] = {}

    def find(self, route: declarations.Route) -> RouteLatencies:
        """Returns the latencies of a route."""
        return self.find_by_name(route.name)

    def find_by_name(self, route_name: str) -> RouteLatencies:
        """Returns the latencies of the route with a name."""
        found = self._by_route.get(route_name)
        if found is None:
            found = self._by_route[route_name] = RouteLatencies()
        return found


def find_answer_delay(
    aim_s: float, elapsed_before_s: float, rtt_s: float
) -> float:
    """Returns the seconds within which an answer meets the latency target.

    They count from the request's arrival to the decision to answer.

    Args:
      aim_s: Latency target in seconds from the caller's start.
      elapsed_before_s: Seconds that the caller had been waiting when its
        request arrived.
      rtt_s: Round-trip time to the caller in seconds.
    """
    return aim_s - elapsed_before_s - rtt_s - _ANSWER_SLACK_S


def find_late_delay(aim_s: float) -> float:
    """Returns the seconds for which a late answer waits for missing shards.

    They count from the request's arrival.

    Args:
      aim_s: Latency target in seconds.
    """
    return aim_s * _LATE_CUTOFF_FACTOR
