"""Keeps the phase of the process, from its start to its end."""

import logging

from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.decisions import drain
from bramleyfork.decisions import shares

_LOG = logging.getLogger(__name__)

# Routes and owned work are only peeked at, so a drained host looks again.
_DRAIN_CHECK_S = 0.05


@controllers.register(
    "lifecycle",
    reads=("signals", "declaration"),
    passive_reads=("routes", "owned"),
    writes=("lifecycle",),
)
class LifecycleController(controllers.Controller):
    """Writes fleet.Lifecycle under the key "current"."""

    __slots__ = ("_serving_at",)

    def start(self) -> None:
        """Sets up state before the first step."""
        self._serving_at: float | None = None

    def step(self, now: float) -> float | None:
        """Moves to the next phase when its condition holds."""
        current = self.get_table("lifecycle").get("current")
        if current is None:
            current = self._enter("starting", now, "no configuration yet")
        signals = [
            s for s in self.read_new_records("signals") if s.kind == "terminate"
        ]
        if signals and current.phase in ("starting", "serving"):
            current = self._enter("leaving", now, "asked to terminate")
        if current.phase == "starting":
            return self._start_serving(now)
        if current.phase == "leaving":
            return self._drain(now, current.since)
        return None

    def _start_serving(self, now: float) -> float | None:
        """Serves once this host may use its shares of the targets."""
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return None
        if self._serving_at is None:
            self._serving_at = now + shares.SHARE_ACTIVATION_DELAY_S
        if now < self._serving_at:
            return self._serving_at
        self._enter("serving", now, "configuration and shares are in force")
        return None

    def _drain(self, now: float, since: float) -> float | None:
        lifetime_s, longest_s = self._find_spans()
        in_flight = drain.count_in_flight(
            len(self.get_table("routes")),
            self.get_table("owned").list_records(),
        )
        if drain.may_stop(now, since, lifetime_s, longest_s, in_flight):
            self._enter("stopped", now, f"drained, {in_flight} in flight")
            return None
        earliest = drain.find_earliest_stop(since, lifetime_s, longest_s)
        return earliest if now < earliest else now + _DRAIN_CHECK_S

    def _find_spans(self) -> tuple[float, float]:
        """Returns the placement lifetime and the longest deadline, seconds."""
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return 0.0, 0.0
        declaration = active.declaration
        return declaration.placement_lifetime_s, declaration.longest_deadline_s

    def _enter(self, phase: str, now: float, reason: str) -> fleet.Lifecycle:
        record = fleet.Lifecycle(phase=phase, since=now, reason=reason)
        self.get_writer("lifecycle").put("current", record)
        _LOG.info("phase %s", phase, extra={"phase": phase, "reason": reason})
        return record
