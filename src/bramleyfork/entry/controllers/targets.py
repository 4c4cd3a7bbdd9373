"""The controller that decides which listed targets are usable."""

import logging
import random

from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import restrictions
from bramleyfork.entry.decisions import usability

_LOG = logging.getLogger(__name__)

_PROBE_INTERVAL_S = 1.0  # Mean time between health checks of a target.
# Jitter as a fraction of the interval, so that hosts don't probe at the same
# time.
_PROBE_JITTER = 0.3
# Maximum delay before the first health check of an unresponsive target. If the
# target is still running, it mostly replies again within this time. With a
# longer delay, answers would lack shards that have no other target.
_MAX_FIRST_PROBE_DELAY_S = 0.05


@components.register(
    components.CONTROLLERS,
    "targets",
    reads=(
        "listed_targets",
        "evacuations",
        "target_faults",
        "probe_results",
        "target_observations",
        "route_table",
    ),
    writes=("usable", "probes"),
)
class Targets(components.Component):
    """Combines listings, evacuations, faults and health checks."""

    __slots__ = (
        "_random",
        "_health_by_target",
        "_evacuated",
        "_seen_versions",
        "_restrictions",
        "_restriction_versions",
        "_due_at",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._random = random.Random(self.context.incarnation + 1)
        self._health_by_target: dict[str, usability.TargetHealth] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._seen_versions = (-1, -1, -1)
        self._restrictions: dict[str, observations.Observation] = {}
        self._restriction_versions = (-1, -1)
        self._due_at: float | None = None
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Applies changes, sends due health checks, writes usable targets."""
        self._now = now
        is_changed = self._apply_faults()
        is_changed = self._apply_probe_results() or is_changed
        versions = (
            self.get_table("listed_targets").version,
            self.get_table("evacuations").version,
            self.get_table("route_table").version,
        )
        if versions != self._seen_versions:
            self._seen_versions = versions
            self._apply_evacuations()
            self._apply_listing()
            is_changed = True
        is_changed = self._apply_restrictions() or is_changed
        if is_changed or (self._due_at is not None and self._due_at <= now):
            self._probe()
            self._publish()
            self._due_at = self._find_due()
        return self._due_at

    # Inputs.

    def _apply_faults(self) -> bool:
        is_changed = False
        for fault in self.read_new_records("target_faults"):
            is_changed = self._apply_fault(fault) or is_changed
        return is_changed

    def _apply_fault(self, fault: exchanges.TargetFault) -> bool:
        health = self._health_by_target.get(fault.target.target)
        if health is None or health.born_ms != fault.target.born_ms:
            return False
        if health.state != usability.READY:
            return False
        is_misdirected = fault.fault == "misdirected"
        health.state = (
            usability.MISDIRECTED if is_misdirected else usability.UNVERIFIED
        )
        health.probe_at = self._now + (
            self._random.random() * _MAX_FIRST_PROBE_DELAY_S
            if fault.fault == "silent"
            else self._choose_probe_delay()
        )
        self._log(fault.target, health, fault.fault)
        return True

    def _apply_probe_results(self) -> bool:
        is_changed = False
        for result in self.read_new_records("probe_results"):
            health = self._health_by_target.get(result.target.target)
            if health is None or health.born_ms != result.target.born_ms:
                continue
            if not result.is_healthy:
                continue
            if health.state != usability.UNVERIFIED:
                continue
            health.state = usability.READY
            if result.warmup_s:
                health.warm_at = self._now + result.warmup_s
            self._log(result.target, health, "healthy")
            is_changed = True
        return is_changed

    def _apply_evacuations(self) -> None:
        evacuated = frozenset(self.get_table("evacuations").copy_records())
        ended = self._evacuated - evacuated
        self._evacuated = evacuated
        if not ended:
            return
        # Targets may have become cold while their data centre was evacuated.
        for target in self.get_table("listed_targets").list_records():
            health = self._health_by_target.get(target.target)
            if health is not None and target.data_centre in ended:
                health.state = usability.UNVERIFIED
                health.probe_at = self._now

    def _apply_listing(self) -> None:
        listed = self.get_table("listed_targets").copy_records()
        for name in [n for n in self._health_by_target if n not in listed]:
            del self._health_by_target[name]
        for name, target in listed.items():
            health = self._health_by_target.get(name)
            if health is None or health.born_ms != target.born_ms:
                self._health_by_target[name] = self._build_health(target)

    def _build_health(
        self, target: declarations.ListedTarget
    ) -> usability.TargetHealth:
        # The listing of a starting target says when it will be warm.
        return usability.TargetHealth(
            state=usability.READY,
            born_ms=target.born_ms,
            warm_at=target.warm_at,
            probe_at=self._now,
        )

    def _apply_restrictions(self) -> bool:
        """Finds the targets whose own answers keep this host from sending."""
        known = self.get_table("target_observations")
        listed = self.get_table("listed_targets")
        versions = (known.version, listed.version)
        has_ended = any(
            o.ends_at <= self._now for o in self._restrictions.values()
        )
        if versions == self._restriction_versions and not has_ended:
            return False
        self._restriction_versions = versions
        found = {}
        for target in listed.list_records() if len(known) else ():
            restriction = restrictions.find_restriction(
                lambda kind, subject: known.get((kind, subject)),
                target,
                host=self.context.settings.host,
                now=self._now,
            )
            if restriction is not None:
                found[target.target] = restriction
        is_changed = found.keys() != self._restrictions.keys()
        for name in found.keys() - self._restrictions.keys():
            self._log_restriction(found[name])
            self._check_health_if_unborn(name)
        self._restrictions = found
        return is_changed

    def _check_health_if_unborn(self, name: str) -> None:
        """Schedules health checks of a target whose start isn't listed.

        Only these show that it has restarted and what it said doesn't hold.
        """
        health = self._health_by_target[name]
        if not health.born_ms:
            health.state = usability.UNVERIFIED
            health.probe_at = self._now + self._choose_probe_delay()

    def _is_checked(self, target: declarations.ListedTarget) -> bool:
        return not target.born_ms or target.target not in self._restrictions

    # Health checks and usable targets.

    def _probe(self) -> None:
        for target in self.get_table("listed_targets").list_records():
            health = self._health_by_target[target.target]
            service = self._find_service(target)
            if service is None or not self._is_checked(target):
                continue
            if not usability.needs_probe(
                target, health, self._evacuated, self._now
            ):
                continue
            health.probe_at = self._now + self._choose_probe_delay()
            self.context.metrics.count("probes_sent")
            self.get_writer("probes").append(
                exchanges.Probe(target=target, path=service.health_path)
            )

    def _find_service(
        self, target: declarations.ListedTarget
    ) -> declarations.Service | None:
        """Returns the service of a target; None if no route table names it."""
        table = self.get_table("route_table").get("current")
        return table.services.get(target.service) if table else None

    def _choose_probe_delay(self) -> float:
        jitter = _PROBE_JITTER * (2 * self._random.random() - 1)
        return _PROBE_INTERVAL_S * (1 + jitter)

    def _publish(self) -> None:
        by_service: dict[str, list[declarations.ListedTarget]] = {}
        for target in self.get_table("listed_targets").list_records():
            found = by_service.setdefault(target.service, [])
            health = self._health_by_target[target.target]
            if usability.is_usable(
                target,
                health,
                self._evacuated,
                self._now,
                is_restricted=target.target in self._restrictions,
            ):
                found.append(target)
        usable = self.get_table("usable")
        for service, targets in by_service.items():
            if usable.get(service) != tuple(targets):
                self.get_writer("usable").put(service, tuple(targets))
        for service in usable.copy_records():
            if service not in by_service:
                self.get_writer("usable").remove(service)

    def _find_due(self) -> float | None:
        times = [o.ends_at for o in self._restrictions.values()]
        for target in self.get_table("listed_targets").list_records():
            health = self._health_by_target.get(target.target)
            if health is None or not self._is_checked(target):
                continue
            warm_at = max(health.warm_at, target.warm_at)
            if warm_at > self._now:
                times.append(warm_at)
            elif (
                health.state == usability.UNVERIFIED
                and usability.is_in_service(target, self._evacuated)
                # Without a service it is not known how to check a target.
                and self._find_service(target) is not None
            ):
                times.append(health.probe_at)
        return min(times, default=None)

    def _log(
        self,
        target: declarations.ListedTarget,
        health: usability.TargetHealth,
        cause: str,
    ) -> None:
        _LOG.info(
            "target condition",
            extra={
                "target": target.target,
                "service": target.service,
                "state": health.state,
                "cause": cause,
                "cold_s": round(max(0.0, health.warm_at - self._now), 2),
            },
        )

    def _log_restriction(self, restriction: observations.Observation) -> None:
        _LOG.info(
            "target restricted",
            extra={
                "target": restriction.subject,
                "kind": restriction.kind,
                "owner": restriction.host,
                "ends_in_s": round(restriction.ends_at - self._now, 2),
            },
        )
