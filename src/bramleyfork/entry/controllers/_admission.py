"""Refuses requests early while targets have too much to do."""

import collections

from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import admission
from bramleyfork.entry.decisions import hedges

_QUIET_PER_S = 0.01  # A rate below this counts as none.
_LOGGED_S = 3600.0  # An endless delay is logged as this one.


class _Demand:
    """What the requests of one service ask for.

    A gather counts at the first of its shards.

    Attributes:
      in_flight: Requests that were let in and are not answered.
      rates: Requests a second of this host by route, refused ones too.
    """

    __slots__ = ("in_flight", "rates")

    def __init__(self):
        self.in_flight = 0
        self.rates: dict[str, admission.DecayingRate] = collections.defaultdict(
            admission.DecayingRate
        )


class OverloadReport:
    """Why a request is refused.

    Attributes:
      retry_after_s: Seconds after which its caller should come back.
      expected_s: When its answer was expected, in seconds.
      left_s: When it must be there, in seconds.
      busy_slots: Slots that the demand of all hosts keeps busy.
      slots: Slots of the targets in use.
      in_flight: Requests of this host that the targets work on.
    """

    __slots__ = (
        "retry_after_s",
        "expected_s",
        "left_s",
        "busy_slots",
        "slots",
        "in_flight",
    )

    def __init__(
        self,
        *,
        expected_s: float,
        left_s: float,
        busy_slots: float,
        slots: float,
        in_flight: int,
    ):
        self.retry_after_s = admission.compute_retry_after(expected_s, left_s)
        self.expected_s = expected_s
        self.left_s = left_s
        self.busy_slots = busy_slots
        self.slots = slots
        self.in_flight = in_flight

    def build_log_fields(self) -> dict[str, float]:
        """Returns the fields of its log line."""
        return {
            "retry_after_ms": round(self.retry_after_s * 1000),
            "expected_ms": round(min(self.expected_s, _LOGGED_S) * 1000),
            "left_ms": round(self.left_s * 1000),
            "busy_slots": round(self.busy_slots, 2),
            "slots": self.slots,
            "under_way": self.in_flight,
        }


class Admission:
    """Counts requests under way and judges whether one more is in time.

    Args:
      target_selector: What this host has seen of the targets.
      route_latencies: How fast the sub-requests of each route are answered.
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
        """Counts a request before it is let in or refused."""
        if exchange.shards[0].service not in self._demands:
            self._forget_quiet(now)
        demand = self._find_demand(exchange)
        demand.rates[exchange.route.name].record(now)

    def record_admission(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was let in."""
        self._find_demand(exchange).in_flight += 1

    def record_completion(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was answered or whose caller left."""
        self._find_demand(exchange).in_flight -= 1

    def check_overload(
        self, exchange: _exchange.Exchange, now: float
    ) -> OverloadReport | None:
        """Returns why a request is to be refused, or None to let it in.

        It is refused if the targets are asked for more than they can do and
        its answer is expected to miss the aim.
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
        # Counted without what the caller has spent before: that time says
        # nothing of the targets.
        left_s = exchange.aim_at + exchange.elapsed_before_s - now
        if expected_s <= left_s:
            return None
        return OverloadReport(
            expected_s=expected_s,
            left_s=left_s,
            busy_slots=busy_slots,
            slots=slots,
            in_flight=demand.in_flight,
        )

    def _forget_quiet(self, now: float) -> None:
        """Forgets services that nobody asks for, as names come and go."""
        quiet = [
            service
            for service, demand in self._demands.items()
            if not demand.in_flight
            and all(
                r.compute(now) < _QUIET_PER_S for r in demand.rates.values()
            )
        ]
        for service in quiet:
            del self._demands[service]

    def _find_demand(self, exchange: _exchange.Exchange) -> _Demand:
        service = exchange.shards[0].service
        found = self._demands.get(service)
        if found is None:
            found = self._demands[service] = _Demand()
        return found
