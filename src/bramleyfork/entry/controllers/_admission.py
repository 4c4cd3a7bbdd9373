"""Refuses requests early while targets have too much to do."""

import collections

from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_choice
from bramleyfork.entry.decisions import admission
from bramleyfork.entry.decisions import hedges

_QUIET_PER_S = 0.01  # A rate below this counts as none.
_LOGGED_S = 3600.0  # An endless delay is logged as this one.


class _Demand:
    """What the requests of one service ask for.

    A gather counts at the first of its shards.

    Attributes:
      under_way: Requests that were let in and are not answered.
      rates: Requests a second of this host by route, refused ones too.
    """

    __slots__ = ("under_way", "rates")

    def __init__(self):
        self.under_way = 0
        self.rates: dict[str, admission.Rate] = collections.defaultdict(
            admission.Rate
        )


class Excess:
    """Why a request is refused.

    Attributes:
      pause_s: Seconds after which its caller should come back.
      expected_s: When its answer was expected, in seconds.
      left_s: When it must be there, in seconds.
      busy_slots: Slots that the demand of all hosts keeps busy.
      slots: Slots of the targets in use.
      under_way: Requests of this host that the targets work on.
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
        """Returns the fields of its log line."""
        return {
            "retry_after_ms": round(self.pause_s * 1000),
            "expected_ms": round(min(self.expected_s, _LOGGED_S) * 1000),
            "left_ms": round(self.left_s * 1000),
            "busy_slots": round(self.busy_slots, 2),
            "slots": self.slots,
            "under_way": self.under_way,
        }


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
        if exchange.shards[0].service not in self._demands:
            self._forget_quiet(now)
        demand = self._find_demand(exchange)
        demand.rates[exchange.route.name].note(now)

    def note_begun(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was let in."""
        self._find_demand(exchange).under_way += 1

    def note_ended(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that was answered or whose caller left."""
        self._find_demand(exchange).under_way -= 1

    def find_excess(
        self, exchange: _exchange.Exchange, now: float
    ) -> Excess | None:
        """Returns why a request is to be refused, or None to let it in.

        It is refused if the targets are asked for more than they can do and
        its answer is expected to miss the aim.
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
        # Counted without what the caller has spent before: that time says
        # nothing of the targets.
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
        """Forgets services that nobody asks for, as names come and go."""
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
