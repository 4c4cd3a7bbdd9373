"""Admission control: refuses requests early while targets are overloaded."""

import collections

from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_choice
from bramleyfork.entry.decisions import admission
from bramleyfork.entry.decisions import hedges

_QUIET_PER_S = 0.01  # Requests per second; a lower rate counts as 0.
_LOGGED_S = 3600.0  # Upper bound of logged delays; they may be infinite.


class _Demand:
    """Load that this host's requests cause on one service.

    A request to several shards counts for the service of its first shard.

    Attributes:
      under_way: Number of admitted requests that are not finished.
      rates: Requests per second by route name, including refused ones.
    """

    __slots__ = ("under_way", "rates")

    def __init__(self):
        self.under_way = 0
        self.rates: dict[str, admission.Rate] = collections.defaultdict(
            admission.Rate
        )


class Excess:
    """Estimates that led to the refusal of a request for overload.

    Attributes:
      pause_s: Seconds after which the caller should retry.
      expected_s: Estimated seconds until the answer would be ready.
      left_s: Seconds within which it would have to be ready to meet the
        latency target.
      busy_slots: Estimated number of slots that the requests of all hosts keep
        busy.
      slots: Number of slots of the usable targets, averaged over the shards.
      under_way: Number of admitted requests of this host that are not finished.
    """

    __slots__ = (
        "pause_s",
        "expected_s",
        "left_s",
        "busy_slots",
        "slots",
        "under_way",
    )

    def __init__(
        self,
        *,
        expected_s: float,
        left_s: float,
        busy_slots: float,
        slots: float,
        under_way: int,
    ):
        self.pause_s = admission.find_pause(expected_s, left_s)
        self.expected_s = expected_s
        self.left_s = left_s
        self.busy_slots = busy_slots
        self.slots = slots
        self.under_way = under_way

    def describe(self) -> dict[str, float]:
        """Returns the fields for the log line of the refusal."""
        return {
            "retry_after_ms": round(self.pause_s * 1000),
            "expected_ms": round(min(self.expected_s, _LOGGED_S) * 1000),
            "left_ms": round(self.left_s * 1000),
            "busy_slots": round(self.busy_slots, 2),
            "slots": self.slots,
            "under_way": self.under_way,
        }


class Admission:
    """Counts requests in flight and decides whether to admit another one.

    Args:
      choice: Latencies and slots of the targets.
      pace: Latencies of sub-requests by route.
    """

    __slots__ = ("_choice", "_pace", "_demands")

    def __init__(
        self,
        *,
        choice: _target_choice.TargetChoice,
        pace: hedges.PaceTable,
    ):
        self._choice = choice
        self._pace = pace
        self._demands: dict[str, _Demand] = {}

    def note_arrived(self, exchange: _exchange.Exchange, now: float) -> None:
        """Counts an arrived request before it is admitted or refused."""
        if exchange.shards[0].service not in self._demands:
            self._forget_quiet(now)
        demand = self._find_demand(exchange)
        demand.rates[exchange.route.name].note(now)

    def note_begun(self, exchange: _exchange.Exchange) -> None:
        """Counts an admitted request as in flight."""
        self._find_demand(exchange).under_way += 1

    def note_ended(self, exchange: _exchange.Exchange) -> None:
        """Removes a request that was answered or whose caller disconnected."""
        self._find_demand(exchange).under_way -= 1

    def find_excess(
        self, exchange: _exchange.Exchange, now: float
    ) -> Excess | None:
        """Returns why a request must be refused, or None to admit it.

        It is refused if the demand of all hosts exceeds the capacity of the
        targets and its answer is expected to miss the latency target. A minimum
        number of requests in flight is always admitted.
        """
        demand = self._find_demand(exchange)
        if demand.under_way < admission.LEAST_KEPT:
            return None
        route = exchange.route
        services = [shard.service for shard in exchange.shards]
        slots = sum(self._choice.count_slots(route, s) for s in services)
        slots /= len(services)
        host_count = self._choice.limits.count_hosts(services[0])
        if demand.under_way < admission.count_kept(slots, host_count):
            return None
        busy_slots = host_count * sum(
            rate.read(now) * self._pace.find_by_name(name).find_work()
            for name, rate in demand.rates.items()
        )
        if not admission.is_overloaded(busy_slots=busy_slots, slots=slots):
            return None
        expected_s = admission.expect_delay(
            (self._choice.expect_delay(route, s, now) for s in services),
            exchange.least,
        )
        # The time that the caller had spent before its request arrived is not
        # subtracted, as it says nothing about the load of the targets.
        left_s = exchange.aim_at + exchange.spent_s - now
        if expected_s <= left_s:
            return None
        return Excess(
            expected_s=expected_s,
            left_s=left_s,
            busy_slots=busy_slots,
            slots=slots,
            under_way=demand.under_way,
        )

    def _forget_quiet(self, now: float) -> None:
        """Drops services without requests, as services come and go."""
        quiet = [
            service
            for service, demand in self._demands.items()
            if not demand.under_way
            and all(r.read(now) < _QUIET_PER_S for r in demand.rates.values())
        ]
        for service in quiet:
            del self._demands[service]

    def _find_demand(self, exchange: _exchange.Exchange) -> _Demand:
        service = exchange.shards[0].service
        found = self._demands.get(service)
        if found is None:
            found = self._demands[service] = _Demand()
        return found
