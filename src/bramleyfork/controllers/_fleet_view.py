"""What a router knows of targets and their owners."""

import collections.abc
import math
import random

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.decisions import latencies
from bramleyfork.decisions import replicas
from bramleyfork.decisions import retries
from bramleyfork.decisions import shares
from bramleyfork.decisions import snapshots
from bramleyfork.decisions import stragglers

# A target or owner that failed is avoided for this time if there is a choice.
_AVOID_S = 1.0
# Ranks of hosts that hold a share of a target under two-level fan-out.
_OWNER_RANKS = 2


class TargetStats:
    """One router's experience with one target.

    Attributes:
      outstanding: Unanswered attempts.
      queue_length: As last reported by its owner.
      latency: Latencies from send to reply, seconds.
      avoid_until: Monotonic seconds.
      slowness: Whether it is avoided because it is slow.
    """

    __slots__ = (
        "outstanding",
        "queue_length",
        "latency",
        "avoid_until",
        "slowness",
    )

    def __init__(self):
        self.outstanding = 0
        self.queue_length = 0
        self.latency = latencies.LatencyWindow()
        self.avoid_until = 0.0
        self.slowness = stragglers.Slowness()


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
        "_owners",
        "_distances",
        "_avoided_owners",
        "_heard_owners",
        "_fresh",
        "_plans",
        "_plans_version",
    )

    def __init__(self, *, host: str, seed: int):
        self.host = host
        self.declaration: declarations.Declaration | None = None
        self.service_latency: dict[str, latencies.LatencyWindow] = {}
        self._random = random.Random(seed)
        self._stats: dict[str, TargetStats] = {}
        self._owners: dict[str, tuple[str, ...]] = {}
        self._distances: dict[str, int] = {}
        self._avoided_owners: dict[str, float] = {}
        self._heard_owners: dict[str, float] = {}
        self._fresh: dict[str, tuple[float, tuple[requests.Holding, ...]]] = {}
        self._plans: dict[str, snapshots.Plan] = {}
        self._plans_version = -1

    def use_declaration(self, declaration: declarations.Declaration) -> None:
        """Recomputes owners and distances; keeps experience."""
        self.declaration = declaration
        self._plans.clear()
        own_centre = declaration.hosts.get(self.host)
        for target in declaration.targets.values():
            self._stats.setdefault(target.name, TargetStats())
            self._owners[target.name] = self._list_owners(target)
            self._distances[target.name] = _measure_distance(
                own_centre, target, declaration
            )
        for service in declaration.services:
            self.service_latency.setdefault(service, latencies.LatencyWindow())

    def find_plan(
        self,
        lookup: declarations.Lookup,
        statuses: dict[str, fleet.TargetStatus],
        version: int,
        excluded: frozenset[requests.Snapshot],
    ) -> snapshots.Plan:
        """Returns the plan of a lookup, from a cache while nothing changed.

        Args:
          lookup: The lookup.
          statuses: The section ``targets``.
          version: Version of that section.
          excluded: Snapshots given up on.
        """
        if version != self._plans_version:
            self._plans.clear()
            self._plans_version = version
        cached = self._plans.get(lookup.name)
        if cached is not None and not excluded:
            return cached
        plan = snapshots.plan_query(
            self._collect_holdings(lookup, statuses), excluded
        )
        if not excluded:
            self._plans[lookup.name] = plan
        return plan

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
        members: dict[str, fleet.Member],
        refused: set[tuple[str, str]],
        now: float,
    ) -> str | None:
        """Returns the host to send through, or None.

        Owners are tried in rank order; one that is leaving, suspect, never
        heard of or has failed lately is taken only if there is no better one.
        """
        choices = []
        for rank, owner in enumerate(self._owners.get(target, ())):
            if (target, owner) in refused:
                continue
            penalty = self._judge_owner(owner, members.get(owner), now)
            if penalty is not None:
                choices.append((penalty, rank, owner))
        return min(choices)[2] if choices else None

    def choose_segment(self, count: int) -> int:
        """Returns the index of the segment that is sent first."""
        return self._random.randrange(count)

    def note_send(self, target: str) -> None:
        """Counts an attempt."""
        self._stats[target].outstanding += 1

    def note_end(self, target: str) -> None:
        """Counts an attempt whose reply is no longer awaited."""
        stats = self._stats.get(target)
        if stats is not None:
            stats.outstanding = max(0, stats.outstanding - 1)

    def judge_silence(self, owner: str, sent_at: float, now: float) -> None:
        """Avoids an owner that has answered nothing since ``sent_at``.

        A frozen host keeps its streams open, so silence is the first sign of
        it, before its peers suspect it.
        """
        if self._heard_owners.get(owner, 0.0) < sent_at:
            self._avoided_owners[owner] = now + _AVOID_S

    def note_lost(self, target: str, elapsed_s: float, now: float) -> None:
        """Learns that another replica answered first.

        The latency of a cancelled attempt is never known, so without this a
        straggler that loses to every hedge would keep its old average.

        Args:
          target: Target of the cancelled attempt.
          elapsed_s: Age of that attempt, seconds.
          now: Monotonic seconds.
        """
        stats = self._stats.get(target)
        if stats is None:
            return
        avoided = stragglers.is_avoided(stats.slowness)
        if avoided or self._is_slow(target, elapsed_s):
            stragglers.note_slow(stats.slowness, now)

    def find_trial(
        self, candidates: collections.abc.Iterable[str], now: float
    ) -> str | None:
        """Returns an avoided target that may be tried again, or None."""
        for name in candidates:
            if stragglers.wants_trial(self._stats[name].slowness, now):
                return name
        return None

    def note_reply(
        self, reply: replies.SubReply, elapsed_s: float, now: float
    ) -> bool:
        """Learns from a reply; returns whether the target's word changed."""
        stats = self._stats.get(reply.target)
        if stats is None:
            return False
        self._heard_owners[reply.owner] = now
        stats.queue_length = reply.queue_length
        if reply.code == "ok":
            stats.latency.record(elapsed_s)
            stats.avoid_until = 0.0
            service = self.declaration.targets[reply.target].service
            if self._is_slow(reply.target, elapsed_s):
                stragglers.note_slow(stats.slowness, now)
            else:
                stragglers.note_fast(stats.slowness)
            self.service_latency[service].record(elapsed_s)
        elif retries.blames_target(reply):
            stats.avoid_until = now + _AVOID_S
        if reply.code == "owner_lost":
            self._avoided_owners[reply.owner] = now + _AVOID_S
        if reply.report is None:
            return False
        known = self._fresh.get(reply.target)
        if known is not None and known[1] == reply.report.holdings:
            return False
        self._fresh[reply.target] = (now, reply.report.holdings)
        self._plans.clear()
        return True

    def _is_slow(self, target: str, elapsed_s: float) -> bool:
        declared = self.declaration.targets.get(target)
        if declared is None:
            return False
        usual_s = self.service_latency[declared.service].mean_s
        return stragglers.is_slow(elapsed_s, usual_s)

    def _list_owners(self, target: declarations.Target) -> tuple[str, ...]:
        if self.declaration.strategy == "direct":
            return (self.host,)
        ranked = shares.rank_hosts(target, self.declaration)
        return tuple(ranked[:_OWNER_RANKS])

    def _judge_owner(
        self, owner: str, member: fleet.Member | None, now: float
    ) -> int | None:
        if owner == self.host:
            return 0
        if member is not None and member.state == "dead":
            return None
        penalty = 0
        if self._avoided_owners.get(owner, 0.0) > now:
            penalty += 4
        if member is None or member.state == "suspect":
            penalty += 2
        elif member.state == "leaving" or not member.leased:
            penalty += 1
        return penalty

    def _build_candidate(self, name: str, now: float) -> replicas.Candidate:
        stats = self._stats[name]
        return replicas.Candidate(
            target=name,
            outstanding=stats.outstanding,
            queue_length=stats.queue_length,
            latency_s=stats.latency.mean_s,
            failing=stats.avoid_until > now
            or stragglers.is_avoided(stats.slowness),
            distance=self._distances[name],
        )

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


def _measure_distance(
    own: declarations.Host | None,
    target: declarations.Target,
    declaration: declarations.Declaration,
) -> int:
    if own is None:
        return 2
    if own.data_centre == target.data_centre:
        return 0
    centres = declaration.data_centres
    own_region = centres[own.data_centre].region
    return 1 if own_region == centres[target.data_centre].region else 2
