"""The controller that moves the process through its lifecycle phases."""

import logging

from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.decisions import drain
from bramleyfork.decisions import shares

_LOG = logging.getLogger(__name__)

# Interval at which a leaving host checks whether its work is done. It polls
# because changes of the sections ``routes`` and ``owned`` do not wake this
# controller.
_DRAIN_CHECK_INTERVAL_S = 0.05


@controllers.register(
    "lifecycle",
    reads=("signals", "declaration"),
    passive_reads=("routes", "owned"),
    writes=("lifecycle",),
)
class LifecycleController(controllers.Controller):
    """Writes fleet.Lifecycle under the key "current".

    The phases are "starting", "serving", "leaving" and "stopped".
    """

    __slots__ = ("_serving_at",)

    def start(self) -> None:
        """Sets the initial state."""
        self._serving_at: float | None = None

    def step(self, now: float) -> float | None:
        """Enters the next phase when its condition holds.

        Returns:
          When to check again, monotonic seconds; None to wait for a change.
        """
        current = self.get_table("lifecycle").get("current")
        if current is None:
            current = self._enter(
                "starting", now, "waiting for a configuration"
            )
        signals = [
            s for s in self.read_new_records("signals") if s.kind == "terminate"
        ]
        if signals and current.phase in ("starting", "serving"):
            current = self._enter("leaving", now, "termination requested")
        if current.phase == "starting":
            return self._start_serving(now)
        if current.phase == "leaving":
            return self._drain(now, current.since)
        return None

    def _start_serving(self, now: float) -> float | None:
        """Enters "serving" once this host's shares of the targets are active.

        Before that it would refuse all sub-requests.
        """
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return None
        if self._serving_at is None:
            self._serving_at = now + shares.SHARE_ACTIVATION_DELAY_S
        if now < self._serving_at:
            return self._serving_at
        self._enter("serving", now, "configuration and shares are active")
        return None

    def _drain(self, now: float, since: float) -> float | None:
        """Enters "stopped" once callers use other hosts and work is done."""
        lifetime_s, longest_s = self._find_drain_limits()
        in_flight = drain.count_in_flight(
            len(self.get_table("routes")),
            self.get_table("owned").list_records(),
        )
        if drain.may_stop(now, since, lifetime_s, longest_s, in_flight):
            self._enter("stopped", now, f"drained, {in_flight} in flight")
            return None
        earliest = drain.find_earliest_stop(since, lifetime_s, longest_s)
        return earliest if now < earliest else now + _DRAIN_CHECK_INTERVAL_S

    def _find_drain_limits(self) -> tuple[float, float]:
        """Returns the placement lifetime and the longest deadline, seconds."""
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return 0.0, 0.0
        declaration = active.declaration
        return declaration.placement_lifetime_s, declaration.longest_deadline_s

    def _enter(self, phase: str, now: float, reason: str) -> fleet.Lifecycle:
        record = fleet.Lifecycle(phase=phase, since=now, reason=reason)
        self.get_writer("lifecycle").put("current", record)
        _LOG.info(
            "lifecycle phase changed to %s",
            phase,
            extra={"phase": phase, "reason": reason},
        )
        return record
