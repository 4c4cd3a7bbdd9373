"""Admission control: refuses requests early while targets are overloaded."""

import collections

from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import admission
from bramleyfork.entry.decisions import hedges

# Requests per second; a lower rate counts as 0.
_IDLE_RATE_PER_S = 0.01
# Upper bound of logged delays; estimates may be infinite.
_MAX_LOGGED_DELAY_S = 3600.0


class _Demand:
    """Load that this host's requests cause on one service.

    A request to several shards counts for the service of its first shard.

    Attributes:
      in_flight: Number of admitted requests that are not finished.
      rates: Requests per second by route name, including refused ones.
    """

    __slots__ = ("in_flight", "rates")

    def __init__(self):
        self.in_flight = 0
        self.rates: dict[str, admission.DecayingRate] = collections.defaultdict(
            admission.DecayingRate
        )


class OverloadReport:
    """Estimates that led to the refusal of a request for overload.

    Attributes:
      retry_after_s: Seconds after which the caller should retry.
      expected_s: Estimated seconds until the answer would be ready.
      remaining_s: Seconds within which it would have to be ready to meet the
        latency target.
      busy_slots: Estimated number of slots that the requests of all hosts keep
        busy.
      slots: Number of slots of the usable targets, averaged over the shards.
      in_flight: Number of admitted requests of this host that are not finished.
    """

    __slots__ = (
        "retry_after_s",
        "expected_s",
        "remaining_s",
        "busy_slots",
        "slots",
        "in_flight",
    )

    def __init__(
        self,
        *,
        expected_s: float,
        remaining_s: float,
        busy_slots: float,
        slots: float,
        in_flight: int,
    ):
        self.retry_after_s = admission.compute_retry_after(
            expected_s, remaining_s
        )
        self.expected_s = expected_s
        self.remaining_s = remaining_s
        self.busy_slots = busy_slots
        self.slots = slots
        self.in_flight = in_flight

    def build_log_fields(self) -> dict[str, float]:
        """Returns the fields for the log line of the refusal."""
        return {
            "retry_after_ms": round(self.retry_after_s * 1000),
            "expected_ms": round(
                min(self.expected_s, _MAX_LOGGED_DELAY_S) * 1000
            ),
            "left_ms": round(self.remaining_s * 1000),
            "busy_slots": round(self.busy_slots, 2),
            "slots": self.slots,
            "under_way": self.in_flight,
        }


class Admission:
    """Counts requests in flight and decides whether to admit another one.

    Args:
      target_selector: Latencies and slots of the targets.
      route_latencies: Latencies of sub-requests by route.
    """

    __slots__ = ("_target_selector", "_route_latencies", "_demands")

    def __init__(
        self,
        *,
        target_selector: _target_selector.TargetSelector,
        route_latencies: hedges.RouteLatencyTable,
    ):
        self._target_selector = target_selector
        self._route_latencies = route_latencies
        self._demands: dict[str, _Demand] = {}

    def record_arrival(self, exchange: _exchange.Exchange, now: float) -> None:
        """Counts an arrived request before it is admitted or refused."""
        if exchange.shards[0].service not in self._demands:
            self._drop_idle_services(now)
        demand = self._find_demand(exchange)
        demand.rates[exchange.route.name].record(now)

    def record_admission(self, exchange: _exchange.Exchange) -> None:
        """Counts an admitted request as in flight."""
        self._find_demand(exchange).in_flight += 1

    def record_completion(self, exchange: _exchange.Exchange) -> None:
        """Removes a request that was answered or whose caller disconnected."""
        self._find_demand(exchange).in_flight -= 1

    def check_overload(
        self, exchange: _exchange.Exchange, now: float
    ) -> OverloadReport | None:
        """Returns why a request must be refused, or None to admit it.

        It is refused if the demand of all hosts exceeds the capacity of the
        targets and its answer is expected to miss the latency target. A minimum
        number of requests in flight is always admitted.
        """
        demand = self._find_demand(exchange)
        if demand.in_flight < admission.MIN_IN_FLIGHT:
            return None
        route = exchange.route
        services = [shard.service for shard in exchange.shards]
        slots = sum(
            self._target_selector.count_slots(route, s) for s in services
        )
        slots /= len(services)
        host_count = self._target_selector.limits.count_sending_hosts(
            services[0]
        )
        if demand.in_flight < admission.compute_min_in_flight(
            slots, host_count
        ):
            return None
        busy_slots = host_count * sum(
            rate.compute(now)
            * self._route_latencies.find_by_name(name).estimate_service_time()
            for name, rate in demand.rates.items()
        )
        if not admission.is_overloaded(busy_slots=busy_slots, slots=slots):
            return None
        expected_s = admission.estimate_answer_delay(
            (
                self._target_selector.estimate_min_latency(route, s, now)
                for s in services
            ),
            exchange.min_shards,
        )
        # aim_at is earlier by the time that the caller had spent before its
        # request arrived. It is added back, as it says nothing about the load
        # of the targets.
        remaining_s = exchange.aim_at + exchange.elapsed_before_s - now
        if expected_s <= remaining_s:
            return None
        return OverloadReport(
            expected_s=expected_s,
            remaining_s=remaining_s,
            busy_slots=busy_slots,
            slots=slots,
            in_flight=demand.in_flight,
        )

    def _drop_idle_services(self, now: float) -> None:
        """Drops idle services, so that memory use stays bounded."""
        idle = [
            service
            for service, demand in self._demands.items()
            if not demand.in_flight
            and all(
                r.compute(now) < _IDLE_RATE_PER_S for r in demand.rates.values()
            )
        ]
        for service in idle:
            del self._demands[service]

    def _find_demand(self, exchange: _exchange.Exchange) -> _Demand:
        service = exchange.shards[0].service
        found = self._demands.get(service)
        if found is None:
            found = self._demands[service] = _Demand()
        return found
