"""Load, latency and health of targets and owners, as seen by one router.

The routing controller uses it to plan queries and to choose replicas and
owners.
"""

import collections.abc
import math
import random

from bramleyfork.core import blackboard
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.decisions import latencies
from bramleyfork.decisions import owners
from bramleyfork.decisions import ranking
from bramleyfork.decisions import replicas
from bramleyfork.decisions import retries
from bramleyfork.decisions import snapshots
from bramleyfork.decisions import stragglers

# A target or owner that failed is avoided for this time if there is another.
_AVOID_S = 1.0
# Interval at which a target that is not known to hold a query's snapshot gets
# a request anyway, because it may have loaded the snapshot since its last
# report.
_GAP_RETRY_INTERVAL_S = 1.0


class TargetStats:
    """Statistics of one target, from this router's attempts.

    Attributes:
      outstanding: Unanswered attempts.
      queue_length: Queue length that its owner reported last.
      latency: Latencies from send to reply, seconds.
      avoid_until: End of the avoidance after a failure, monotonic seconds.
      straggler_state: Whether the target is avoided as a straggler.
    """

    __slots__ = (
        "outstanding",
        "queue_length",
        "latency",
        "avoid_until",
        "straggler_state",
    )

    def __init__(self):
        self.outstanding = 0
        self.queue_length = 0
        self.latency = latencies.LatencyWindow()
        self.avoid_until = 0.0
        self.straggler_state = stragglers.StragglerState()


class FleetView:
    """Statistics of targets and owners, and cached query plans.

    Args:
      host: Name of this host.
      seed: Seed of the random numbers of the replica policy.

    Attributes:
      host: Name of this host.
      declaration: The active declaration, or None before the first.
      service_latency: Latencies of successful attempts by service, seconds.
    """

    __slots__ = (
        "host",
        "declaration",
        "service_latency",
        "_random",
        "_stats",
        "_ranking",
        "_avoided_owners",
        "_last_reply_at",
        "_reported_holdings",
        "_plans",
        "_plans_version",
        "_gap_request_at",
    )

    def __init__(self, *, host: str, seed: int):
        self.host = host
        self.declaration: declarations.Declaration | None = None
        self.service_latency: dict[str, latencies.LatencyWindow] = {}
        self._random = random.Random(seed)
        self._stats: dict[str, TargetStats] = {}
        self._ranking = ranking.Ranking()
        self._avoided_owners: dict[str, float] = {}
        self._last_reply_at: dict[str, float] = {}
        self._reported_holdings: dict[
            str, tuple[float, tuple[requests.Holding, ...]]
        ] = {}
        # By lookup: the plan, and the ranges that no target is known to hold.
        self._plans: dict[str, tuple[snapshots.QueryPlan, tuple]] = {}
        self._plans_version = -1
        self._gap_request_at: dict[str, float] = {}

    def use_declaration(self, declaration: declarations.Declaration) -> None:
        """Activates a declaration; keeps the statistics of its targets.

        Owners are computed when a target is first used, as a declaration may
        have many more targets than this host sends to.
        """
        before, self.declaration = self.declaration, declaration
        self._plans.clear()
        self._ranking.use_declaration(declaration)
        # Successive revisions share the table objects that did not change.
        if before is None or before.targets is not declaration.targets:
            for name in self._stats.keys() - declaration.targets.keys():
                del self._stats[name]
                self._reported_holdings.pop(name, None)
        for service in declaration.services:
            self.service_latency.setdefault(service, latencies.LatencyWindow())

    def find_plan(
        self,
        lookup: declarations.Lookup,
        statuses: blackboard.Table,
        excluded: frozenset[requests.Snapshot],
        now: float,
    ) -> snapshots.QueryPlan:
        """Returns the plan of a lookup, cached while holdings are unchanged.

        Ranges that no target is known to hold get a segment whose candidates
        may hold them by now. Each target is a candidate at most once per
        ``_GAP_RETRY_INTERVAL_S``.

        Args:
          lookup: The lookup.
          statuses: The section ``targets``.
          excluded: Snapshots that the query has abandoned.
          now: Monotonic seconds.
        """
        # The version is read before the records. A change in between then
        # invalidates the plan instead of leaving an outdated one in the cache.
        version = statuses.version
        if version != self._plans_version:
            self._plans.clear()
            self._plans_version = version
        found = None if excluded else self._plans.get(lookup.name)
        if found is None:
            holdings = self._collect_holdings(lookup, statuses.copy_records())
            plan = snapshots.plan_query(holdings, excluded)
            found = plan, snapshots.find_gaps(plan, lookup.services)
        if not excluded:
            self._plans[lookup.name] = found
        plan, gaps = found
        if not gaps:
            return plan
        candidates = self._list_gap_candidates(
            {s for s, _ in gaps}, statuses.copy_records(), now
        )
        return snapshots.fill_gaps(plan, gaps, candidates)

    def choose_target(self, candidates: list[str], now: float) -> str | None:
        """Returns the target chosen by the declared replica policy, or None."""
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        policy = replicas.POLICIES.find(self.declaration.replica_policy)
        views = [self._build_candidate(name, now) for name in candidates]
        return policy(views, self._random).target

    def find_owner(
        self,
        target: str,
        members: blackboard.Table,
        refused: set[tuple[str, str]],
        now: float,
    ) -> tuple[int, str] | None:
        """Returns penalty and name of the best owner of a target, or None.

        Owners are ordered by penalty, then by rank. An owner that is leaving,
        suspect, unknown or has failed recently has a penalty; a dead one is
        not used.

        Args:
          target: Name of the target.
          members: The section ``members``.
          refused: (target, owner) pairs that are not to be used.
          now: Monotonic seconds.
        """
        choices = []
        for rank, owner in enumerate(self._list_owners(target)):
            if (target, owner) in refused:
                continue
            unresponsive = self._avoided_owners.get(owner, 0.0) > now
            penalty = owners.NO_PENALTY
            if owner != self.host:
                penalty = owners.compute_penalty(
                    members.get(owner), unresponsive=unresponsive
                )
            if penalty is not None:
                choices.append((penalty, rank, owner))
        if not choices:
            return None
        penalty, _, owner = min(choices)
        return penalty, owner

    def has_other_owner(self, target: str) -> bool:
        """Returns whether several hosts hold a share of a target."""
        return len(self._list_owners(target)) > 1

    def record_attempt_start(self, target: str) -> None:
        """Counts an attempt as outstanding."""
        self._find_stats(target).outstanding += 1

    def record_attempt_end(self, target: str) -> None:
        """Removes an attempt, answered or cancelled, from the outstanding."""
        stats = self._stats.get(target)
        if stats is not None:
            stats.outstanding = max(0, stats.outstanding - 1)

    def avoid_if_unresponsive(
        self, owner: str, sent_at: float, now: float
    ) -> bool:
        """Avoids an owner that has sent no reply since ``sent_at``.

        A frozen host keeps its streams open, so missing replies are the first
        sign of it, before its peers suspect it.

        Returns:
          Whether the owner is unresponsive.
        """
        if self._last_reply_at.get(owner, 0.0) >= sent_at:
            return False
        self._avoided_owners[owner] = now + _AVOID_S
        return True

    def record_hedge_loss(
        self, target: str, elapsed_s: float, now: float
    ) -> None:
        """Records that another replica answered before this target.

        The latency of a cancelled attempt is never known. Without this record
        a straggler that loses to every hedge would keep its old average.

        Args:
          target: Target of the cancelled attempt.
          elapsed_s: Age of that attempt, seconds.
          now: Monotonic seconds.
        """
        stats = self._stats.get(target)
        declared = self.declaration.targets.get(target)
        if stats is None or declared is None:
            return
        avoided = stragglers.is_avoided(stats.straggler_state)
        if avoided or self._is_slow(declared, elapsed_s):
            stragglers.record_slow(stats.straggler_state, now)

    def find_trial(
        self, candidates: collections.abc.Iterable[str], now: float
    ) -> str | None:
        """Returns an avoided target that is due for a trial, or None."""
        for name in candidates:
            straggler_state = self._find_stats(name).straggler_state
            if stragglers.is_trial_due(straggler_state, now):
                return name
        return None

    def record_reply(
        self, reply: replies.SubReply, elapsed_s: float, now: float
    ) -> bool:
        """Updates the statistics of target and owner from a reply.

        Args:
          reply: The reply.
          elapsed_s: Age of its attempt, seconds.
          now: Monotonic seconds.

        Returns:
          Whether it carries a report that should be published: one with new
          holdings, or one sent with the refusal of a snapshot.
        """
        stats = self._stats.get(reply.target)
        target = self.declaration.targets.get(reply.target)
        if stats is None or target is None:
            return False
        self._last_reply_at[reply.owner] = now
        stats.queue_length = reply.queue_length
        if reply.code == "ok":
            stats.latency.record(elapsed_s)
            stats.avoid_until = 0.0
            if self._is_slow(target, elapsed_s):
                stragglers.record_slow(stats.straggler_state, now)
            else:
                stragglers.record_fast(stats.straggler_state)
            self.service_latency[target.service].record(elapsed_s)
        elif retries.should_avoid_target(reply):
            stats.avoid_until = now + _AVOID_S
        if reply.code == "owner_lost":
            self._avoided_owners[reply.owner] = now + _AVOID_S
        else:
            self._avoided_owners.pop(reply.owner, None)
        if reply.report is None:
            return False
        previous = self._reported_holdings.get(reply.target)
        # The platform's list may add holdings to those that the target reports.
        # The refusal of a snapshot shows that the added ones are wrong, so it
        # counts as a change even if the reported holdings are the same.
        if (
            previous is not None
            and previous[1] == reply.report.holdings
            and reply.code != "wrong_snapshot"
        ):
            return False
        self._reported_holdings[reply.target] = (now, reply.report.holdings)
        self._plans.clear()
        return True

    def _find_stats(self, target: str) -> TargetStats:
        stats = self._stats.get(target)
        if stats is None:
            stats = self._stats[target] = TargetStats()
        return stats

    def _is_slow(self, target: declarations.Target, elapsed_s: float) -> bool:
        mean_s = self.service_latency[target.service].mean_s
        return stragglers.is_slow(elapsed_s, mean_s)

    def _list_owners(self, target: str) -> tuple[str, ...]:
        declared = self.declaration.targets.get(target)
        if declared is None:
            return ()
        if self.declaration.strategy == "direct":
            return (self.host,)
        return self._ranking.find_owners(declared)

    def _build_candidate(
        self, name: str, now: float
    ) -> replicas.ReplicaCandidate:
        stats = self._find_stats(name)
        return replicas.ReplicaCandidate(
            target=name,
            outstanding=stats.outstanding,
            queue_length=stats.queue_length,
            latency_s=stats.latency.mean_s,
            failing=stats.avoid_until > now
            or stragglers.is_avoided(stats.straggler_state),
        )

    def _list_gap_candidates(
        self,
        services: set[str],
        statuses: dict[str, fleet.TargetStatus],
        now: float,
    ) -> dict[str, tuple[str, ...]]:
        """Returns usable targets, by service, that are due for a request.

        These are targets not returned for ``_GAP_RETRY_INTERVAL_S``.
        """
        found: dict[str, list[str]] = {service: [] for service in services}
        for name, status in statuses.items():
            target = self.declaration.targets.get(name)
            if target is None or target.service not in found:
                continue
            requested_at = self._gap_request_at.get(name, -math.inf)
            if (
                status.state == "usable"
                and now - requested_at >= _GAP_RETRY_INTERVAL_S
            ):
                self._gap_request_at[name] = now
                found[target.service].append(name)
        return {service: tuple(names) for service, names in found.items()}

    def _collect_holdings(
        self,
        lookup: declarations.Lookup,
        statuses: dict[str, fleet.TargetStatus],
    ) -> dict[str, dict[str, tuple[requests.Holding, ...]]]:
        """Returns holdings by service and target, of usable targets.

        The holdings come from the target's last report to this router or from
        its status in the section ``targets``, whichever is newer.
        """
        collected = {service: {} for service in lookup.services}
        for name, status in statuses.items():
            target = self.declaration.targets.get(name)
            if target is None or target.service not in collected:
                continue
            if status.state != "usable":
                continue
            seen_at, holdings = self._reported_holdings.get(
                name, (-math.inf, ())
            )
            if status.heard_at >= seen_at:
                holdings = status.holdings
            collected[target.service][name] = holdings
        return collected
