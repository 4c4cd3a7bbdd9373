"""What a router knows of targets and their owners."""

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

# A target or owner that failed is avoided for this time if there is a choice.
_AVOID_S = 1.0
# A target that lacks the snapshot of a query is asked for it again after this
# time, as it may have got it.
_ASK_AGAIN_S = 1.0


class TargetStats:
    """One router's experience with one target.

    Attributes:
      outstanding: Unanswered attempts.
      queue_length: As last reported by its owner.
      latency: Latencies from send to reply, seconds.
      avoid_until: Monotonic seconds.
      straggler_state: Whether it is avoided because it is slow.
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
    """Targets, owners and plans as one router sees them.

    Args:
      host: Name of this host.
      seed: Seed of the replica policy's random source.
    """

    __slots__ = (
        "host",
        "declaration",
        "service_latency",
        "_random",
        "_stats",
        "_ranking",
        "_avoided_owners",
        "_heard_owners",
        "_fresh",
        "_plans",
        "_plans_version",
        "_asked_at",
    )

    def __init__(self, *, host: str, seed: int):
        self.host = host
        self.declaration: declarations.Declaration | None = None
        self.service_latency: dict[str, latencies.LatencyWindow] = {}
        self._random = random.Random(seed)
        self._stats: dict[str, TargetStats] = {}
        self._ranking = ranking.Ranking()
        self._avoided_owners: dict[str, float] = {}
        self._heard_owners: dict[str, float] = {}
        self._fresh: dict[str, tuple[float, tuple[requests.Holding, ...]]] = {}
        # Plan and its gaps by lookup.
        self._plans: dict[str, tuple[snapshots.QueryPlan, tuple]] = {}
        self._plans_version = -1
        self._asked_at: dict[str, float] = {}

    def use_declaration(self, declaration: declarations.Declaration) -> None:
        """Takes over hosts and targets; keeps experience.

        Owners are found when a target is first chosen, as a declaration may
        have many more targets than this host sends to.
        """
        before, self.declaration = self.declaration, declaration
        self._plans.clear()
        self._ranking.use_declaration(declaration)
        # Revisions share the tables that they leave as they are.
        if before is None or before.targets is not declaration.targets:
            for name in self._stats.keys() - declaration.targets.keys():
                del self._stats[name]
                self._fresh.pop(name, None)
        for service in declaration.services:
            self.service_latency.setdefault(service, latencies.LatencyWindow())

    def find_plan(
        self,
        lookup: declarations.Lookup,
        statuses: blackboard.Table,
        excluded: frozenset[requests.Snapshot],
        now: float,
    ) -> snapshots.QueryPlan:
        """Returns the plan of a lookup, from a cache while nothing changed.

        Args:
          lookup: The lookup.
          statuses: The section ``targets``.
          excluded: Snapshots given up on.
          now: Monotonic seconds.
        """
        # The version is read before the records, so that a change between
        # the two makes the plan again instead of keeping an old one.
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
        candidates = self._list_to_ask(
            {s for s, _ in gaps}, statuses.copy_records(), now
        )
        return snapshots.fill_gaps(plan, gaps, candidates)

    def choose_target(self, candidates: list[str], now: float) -> str | None:
        """Returns the replica that the declared policy chooses."""
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
        """Returns the host to send through with its penalty, or None.

        Owners are tried in rank order; one that is leaving, suspect, never
        heard of or has failed lately is taken only if there is no better one.
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
        """Counts an attempt."""
        self._find_stats(target).outstanding += 1

    def record_attempt_end(self, target: str) -> None:
        """Counts an attempt whose reply is no longer awaited."""
        stats = self._stats.get(target)
        if stats is not None:
            stats.outstanding = max(0, stats.outstanding - 1)

    def avoid_if_unresponsive(
        self, owner: str, sent_at: float, now: float
    ) -> bool:
        """Avoids an owner that has answered nothing since ``sent_at``.

        A frozen host keeps its streams open, so silence is the first sign of
        it, before its peers suspect it.
        """
        if self._heard_owners.get(owner, 0.0) >= sent_at:
            return False
        self._avoided_owners[owner] = now + _AVOID_S
        return True

    def record_hedge_loss(
        self, target: str, elapsed_s: float, now: float
    ) -> None:
        """Learns that another replica answered first.

        The latency of a cancelled attempt is never known, so without this a
        straggler that loses to every hedge would keep its old average.

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
            stragglers.note_slow(stats.straggler_state, now)

    def find_trial(
        self, candidates: collections.abc.Iterable[str], now: float
    ) -> str | None:
        """Returns an avoided target that may be tried again, or None."""
        for name in candidates:
            straggler_state = self._find_stats(name).straggler_state
            if stragglers.is_trial_due(straggler_state, now):
                return name
        return None

    def note_reply(
        self, reply: replies.SubReply, elapsed_s: float, now: float
    ) -> bool:
        """Learns from a reply; returns whether the target's report changed."""
        stats = self._stats.get(reply.target)
        target = self.declaration.targets.get(reply.target)
        if stats is None or target is None:
            return False
        self._heard_owners[reply.owner] = now
        stats.queue_length = reply.queue_length
        if reply.code == "ok":
            stats.latency.record(elapsed_s)
            stats.avoid_until = 0.0
            if self._is_slow(target, elapsed_s):
                stragglers.note_slow(stats.straggler_state, now)
            else:
                stragglers.note_fast(stats.straggler_state)
            self.service_latency[target.service].record(elapsed_s)
        elif retries.should_avoid_target(reply):
            stats.avoid_until = now + _AVOID_S
        if reply.code == "owner_lost":
            self._avoided_owners[reply.owner] = now + _AVOID_S
        else:
            self._avoided_owners.pop(reply.owner, None)
        if reply.report is None:
            return False
        known = self._fresh.get(reply.target)
        # A refused snapshot shows that what the list adds to the target's
        # holdings is wrong, so it is news even if the target's report is not.
        if (
            known is not None
            and known[1] == reply.report.holdings
            and reply.code != "wrong_snapshot"
        ):
            return False
        self._fresh[reply.target] = (now, reply.report.holdings)
        self._plans.clear()
        return True

    def _find_stats(self, target: str) -> TargetStats:
        stats = self._stats.get(target)
        if stats is None:
            stats = self._stats[target] = TargetStats()
        return stats

    def _is_slow(self, target: declarations.Target, elapsed_s: float) -> bool:
        usual_s = self.service_latency[target.service].mean_s
        return stragglers.is_slow(elapsed_s, usual_s)

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

    def _list_to_ask(
        self,
        services: set[str],
        statuses: dict[str, fleet.TargetStatus],
        now: float,
    ) -> dict[str, tuple[str, ...]]:
        """Returns usable targets that were not asked lately, by service."""
        found: dict[str, list[str]] = {service: [] for service in services}
        for name, status in statuses.items():
            target = self.declaration.targets.get(name)
            if target is None or target.service not in found:
                continue
            asked_at = self._asked_at.get(name, -math.inf)
            if status.state == "usable" and now - asked_at >= _ASK_AGAIN_S:
                self._asked_at[name] = now
                found[target.service].append(name)
        return {service: tuple(names) for service, names in found.items()}

    def _collect_holdings(
        self,
        lookup: declarations.Lookup,
        statuses: dict[str, fleet.TargetStatus],
    ) -> dict[str, dict[str, tuple[requests.Holding, ...]]]:
        collected = {service: {} for service in lookup.services}
        for name, status in statuses.items():
            target = self.declaration.targets.get(name)
            if target is None or target.service not in collected:
                continue
            if status.state != "usable":
                continue
            seen_at, holdings = self._fresh.get(name, (-math.inf, ()))
            if status.heard_at >= seen_at:
                holdings = status.holdings
            collected[target.service][name] = holdings
        return collected
