"""Refuses requests early while targets have too much to do."""

import collections

from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_choice
from bramleyfork.entry.decisions import admission
from bramleyfork.entry.decisions import hedges


class _Demand:
    """What the requests of one service ask for.

    A gather counts at the first of its shards. Attributes:
      under_way: Requests that were let in and are not answered.
      rates: Requests a second of this host by route, refused ones too.
    """

    __slots__ = ("under_way", "rates")

    def __init__(self):
        self.under_way = 0
        self.rates: dict[str, admission.Rate] = collections.defaultdict(
            admission.Rate
        )


class Admission:
    """Counts requests under way and judges whether one more is in time.

    Args:
      choice: What this host has seen of the targets.
      pace: How fast the sub-requests of each route are answered.
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
        """Counts a request before it is let in or refused."""
        demand = self._find_demand(exchange)
        demand.rates[exchange.route.name].note(now)

    def note_begun(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was let in."""
        self._find_demand(exchange).under_way += 1

    def note_ended(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was answered or whose caller left."""
        self._find_demand(exchange).under_way -= 1

    def find_pause(
        self, exchange: _exchange.Exchange, now: float
    ) -> float | None:
        """Returns when a caller should come back, or None to let it in.

        Returns:
          Seconds, if the targets are asked for more than they can do and the
          answer is expected to miss the aim.
        """
        route = exchange.route
        demand = self._find_demand(exchange)
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
        # Counted without what the caller has spent before: that time says
        # nothing of the targets.
        left_s = exchange.aim_at + exchange.spent_s - now
        if expected_s <= left_s:
            return None
        return admission.find_pause(expected_s, left_s)

    def _find_demand(self, exchange: _exchange.Exchange) -> _Demand:
        service = exchange.shards[0].service
        found = self._demands.get(service)
        if found is None:
            found = self._demands[service] = _Demand()
        return found
