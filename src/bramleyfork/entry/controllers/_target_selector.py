"""Chooses the target of each attempt and keeps the retry budgets."""

import collections.abc
import math

from bramleyfork.core import blackboard
from bramleyfork.core import verdicts
from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _pacing
from bramleyfork.entry.controllers import _target_stats
from bramleyfork.entry.decisions import budgets
from bramleyfork.entry.decisions import ranking

# Round-trip times by distance class, assumed for targets without recent
# samples.
_DEFAULT_RTTS_S = {"data_centre": 0.001, "region": 0.003, "far": 0.018}
# Fraction of the configured retry ratio that hosts use. The rest allows for
# attempts that a target receives in a later window than their request.
_BUDGET_FRACTION = 0.9
# Faults to report for a target, by the fault of an attempt. A carrier reports
# the status of a failure reply as a fault.
_REPORTED_FAULTS = {
    "connect": "connect",
    "ended": "connect",
    "oversized": "oversized",
    "status_421": "misdirected",
}


class TargetSelector:
    """Ranks targets by their statistics and keeps retry budgets by service.

    Args:
      context: Settings and identity of the process.
      usable: Usable targets by service.
      limits: This host's connection limits.
      listed: Listed targets by id.
      known: Observations by kind and subject.

    Attributes:
      limits: This host's connection limits.
      pacing: This host's share of the limits that targets name.
    """

    __slots__ = (
        "_settings",
        "_usable",
        "limits",
        "pacing",
        "_listed",
        "_listed_version",
        "_stats",
        "_budgets",
    )

    def __init__(
        self,
        *,
        context: components.Context,
        usable: blackboard.Table,
        limits: _connection_limits.ConnectionLimits,
        listed: blackboard.Table,
        known: blackboard.Table,
    ):
        self._settings = context.settings
        self._usable = usable
        self.limits = limits
        self.pacing = _pacing.Pacing(
            host=context.settings.host, known=known, limits=limits
        )
        self._listed = listed
        self._listed_version = 0
        self._stats = _target_stats.StatsTable()
        self._budgets: dict[str, budgets.RetryBudget] = {}

    # Candidates.

    def _list_usable(
        self, route: declarations.Route, service: str
    ) -> tuple[declarations.ListedTarget, ...]:
        found = self._usable.get(service) or ()
        if not route.regions:
            return found
        regions = self._settings.regions
        return tuple(
            t for t in found if regions.get(t.data_centre) in route.regions
        )

    def has_usable_target(self, service: str) -> bool:
        """Returns whether a service has a usable target in any region."""
        return bool(self._usable.get(service))

    def list_without_target(self, exchange: _exchange.Exchange) -> list[str]:
        """Returns the services of a request that have no usable target."""
        return [
            shard.service
            for shard in exchange.shards
            if not self._list_usable(exchange.route, shard.service)
        ]

    def list_limited(
        self, exchange: _exchange.Exchange, now: float
    ) -> list[tuple[float, declarations.ListedTarget]]:
        """Returns the shards whose targets all wait for their limits.

        Returns:
          For each of these shards, the seconds until its next target may be
          sent a request, and that target.
        """
        if self.pacing.is_idle():
            return []
        found = []
        for shard in exchange.shards:
            targets = self._list_usable(exchange.route, shard.service)
            delays = [self.pacing.find_delay(t, now) for t in targets]
            if targets and min(delays) > 0.0:
                delay_s = min(delays)
                found.append((delay_s, targets[delays.index(delay_s)]))
        return found

    def has_untried_target(
        self,
        route: declarations.Route,
        shard: _exchange.Shard,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> bool:
        """Returns whether a shard may be sent to a target not tried before."""
        if len(shard.tried_targets) >= route.attempts:
            return False
        return any(
            target.target not in shard.tried_targets
            for target in self._list_sendable(
                route, shard.service, now, is_hedge=is_hedge
            )
        )

    def _list_sendable(
        self,
        route: declarations.Route,
        service: str,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> collections.abc.Sequence[declarations.ListedTarget]:
        """Returns the usable targets whose limits leave room for a request.

        A hedge is only sent to targets without a limit, so that limits are left
        to first attempts.
        """
        usable = self._list_usable(route, service)
        if self.pacing.is_idle():
            return usable
        return [
            target
            for target in usable
            if self.pacing.find_delay(target, now) == 0.0
            and not (is_hedge and self.pacing.is_limited(target, now))
        ]

    def choose(
        self,
        route: declarations.Route,
        shard: _exchange.Shard,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> declarations.ListedTarget | None:
        """Returns the target with the lowest estimated cost, or None.

        Targets that the shard has not tried go first as long as the route
        allows another target. Otherwise one of the tried targets is chosen.
        """
        found = self._list_sendable(
            route, shard.service, now, is_hedge=is_hedge
        )
        tried_targets = shard.tried_targets
        if tried_targets:
            untried = [t for t in found if t.target not in tried_targets]
            if untried and len(tried_targets) < route.attempts:
                found = untried
            else:
                found = [t for t in found if t.target in tried_targets]
        best, best_cost = None, 0.0
        for target in found:
            cost = self._estimate_cost(target, now)
            if best is None or cost < best_cost:
                best, best_cost = target, cost
        return best

    def _estimate_cost(
        self, target: declarations.ListedTarget, now: float
    ) -> float:
        stats = self._stats.find(target)
        return ranking.estimate_cost(
            now=now,
            distance_s=_DEFAULT_RTTS_S[self.find_distance(target)],
            latency_s=stats.latency_s,
            latency_at=stats.latency_at,
            outstanding=len(stats.sent_at),
            slots=target.slots,
            oldest_at=stats.find_oldest(),
            fault_rate=stats.fault_rate,
        )

    def estimate_min_latency(
        self, route: declarations.Route, service: str, now: float
    ) -> float:
        """Returns the expected latency of a service's fastest target.

        It is in seconds, and infinite if there is no usable target.
        """
        return min(
            (
                self._estimate_latency(target, now)
                for target in self._list_usable(route, service)
            ),
            default=math.inf,
        )

    def _estimate_latency(
        self, target: declarations.ListedTarget, now: float
    ) -> float:
        stats = self._stats.find(target)
        return ranking.estimate_latency(
            now=now,
            distance_s=_DEFAULT_RTTS_S[self.find_distance(target)],
            latency_s=stats.latency_s,
            latency_at=stats.latency_at,
        )

    def count_slots(self, route: declarations.Route, service: str) -> int:
        """Returns the number of slots of a service's usable targets."""
        return sum(target.slots for target in self._list_usable(route, service))

    def find_distance(self, target: declarations.ListedTarget) -> str:
        """Returns the distance class of a target, a key of _DISTANCES_S."""
        settings = self._settings
        if target.data_centre == settings.data_centre:
            return "data_centre"
        if settings.regions.get(target.data_centre) == settings.region:
            return "region"
        return "far"

    def find_remote_data_centre(self, target: declarations.ListedTarget) -> str:
        """Returns a target's data centre; empty if it is this host's own."""
        is_own = target.data_centre == self._settings.data_centre
        return "" if is_own else target.data_centre

    # Retry budgets.

    def record_request(self, service: str, now: float) -> None:
        """Counts a request in the retry budget of a service."""
        self._find_budget(service).record_request(now)

    def try_withdraw_extra(self, shard: _exchange.Shard, now: float) -> bool:
        """Uses up one unit of the retry budget of the shard's service.

        Returns:
          Whether the budget allowed it.
        """
        slack = budgets.compute_slack_share(
            self._settings.retry_limits.slack,
            sending_hosts=self.limits.count_sending_hosts(shard.service),
            knows_fleet=self.limits.knows_fleet(),
        )
        return self._find_budget(shard.service).try_withdraw(now, slack=slack)

    def _find_budget(self, service: str) -> budgets.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            limits = self._settings.retry_limits
            found = self._budgets[service] = budgets.RetryBudget(
                ratio=limits.ratio * _BUDGET_FRACTION,
                window_s=limits.window_s,
            )
        return found

    # Results of attempts.

    def record_sent(self, attempt: _exchange.Attempt, now: float) -> None:
        """Records a sent attempt in the statistics of its target."""
        self._discard_unlisted()
        self.pacing.record_sent(attempt.target, now)
        self._stats.find(attempt.target).record_sent(
            attempt.number, now, is_carried=attempt.carrier_address is not None
        )

    def record_reply(
        self, attempt: _exchange.Attempt, reply: exchanges.Reply, now: float
    ) -> exchanges.TargetFault | None:
        """Records the result of an attempt in the statistics of its target.

        Returns:
          A fault to report for the target, or None.
        """
        stats = self._stats.find(attempt.target)
        if reply.fault in ("expired", "no_room", "carrier"):
            stats.sent_at.pop(attempt.number, None)
            return None
        if reply.fault:
            stats.record_fault(attempt.number)
            found = _REPORTED_FAULTS.get(reply.fault)
            return _build_fault(attempt, found, now) if found else None
        is_good = 200 <= reply.status < 300
        stats.record_reply(attempt.number, now, is_good=is_good)
        if reply.status == 421 and reply.verdict is verdicts.Verdict.NOT_RUN:
            return _build_fault(attempt, "misdirected", now)
        return None

    def record_aborted(
        self, attempt: _exchange.Attempt, now: float
    ) -> exchanges.TargetFault | None:
        """Records an aborted attempt in the statistics of its target.

        Returns:
          A fault to report if the target is unresponsive, or None.
        """
        stats = self._stats.find(attempt.target)
        stats.record_aborted(attempt.number, now)
        if stats.is_unresponsive(now):
            return _build_fault(attempt, "silent", now)
        return None

    def _discard_unlisted(self) -> None:
        if self._listed.version == self._listed_version:
            return
        self._listed_version = self._listed.version
        listed = frozenset(self._listed.copy_records())
        self._stats.keep(listed)
        self.pacing.keep(listed)


def _build_fault(
    attempt: _exchange.Attempt, fault: str, now: float
) -> exchanges.TargetFault:
    return exchanges.TargetFault(target=attempt.target, fault=fault, at=now)
