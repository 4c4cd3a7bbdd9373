"""Controllers of a target's configuration, warm-up state and incarnation."""

import uuid

from standins import controllers
from standins.target import attempts
from standins.target import commands
from standins.target import extension_points
from standins.target import limits


@controllers.register(
    extension_points.CONTROLLERS, "setup", reads=["commands"], writes=["setup"]
)
class Setup(controllers.Controller):
    """Keeps holdings, faults and blocked sources, also over a crash."""

    def start(self) -> None:
        """Writes the holdings of the settings, without faults or blocks."""
        table = self.get_writer("setup")
        table.put("holdings", self.settings.holdings)
        table.put("faults", dict(commands.NO_FAULTS))
        table.put("blocked_sources", frozenset())

    def step(self, now: float) -> None:
        """Applies control calls."""
        for command in self.read_new_records("commands"):
            if command.name == "faults":
                self.get_writer("setup").put("faults", command.body)
            elif command.name == "holdings":
                self.get_writer("setup").put(
                    "holdings", command.body["holdings"]
                )
            elif command.name == "blocked_sources":
                self.get_writer("setup").put(
                    "blocked_sources", command.body["sources"]
                )


@controllers.register(
    extension_points.CONTROLLERS,
    "warmth",
    reads=["commands", "life", "outcomes", "arrivals"],
    writes=["warmth", "violations"],
)
class WarmupController(controllers.Controller):
    """Keeps the warm-up state and detects requests above the cold limits.

    A cold target becomes warm ``cold_period_s`` after its first run ended.
    """

    def start(self) -> None:
        """Writes a warm state; the first incarnation may make it cold."""
        self._incarnation = 0
        state = limits.create_cold_state(0.0, self.settings.cold_in_flight)
        self.get_writer("warmth").put("now", state.replace(cold=False))

    def step(self, now: float) -> float | None:
        """Updates the warm-up state and checks arrivals against the limits."""
        self._handle_restart(now)
        for command in self.read_new_records("commands"):
            if command.name == "cold":
                self._set_cold(now, command.body["silent"])
        for outcome in self.read_new_records("outcomes"):
            self._record_run(outcome)
        warmup = self.board.find_section("warmth").get("now")
        if warmup.cold and (warmup.warm_at or now + 1.0) <= now:
            self._put_state(warmup.replace(cold=False, silent=False))
        self._count_arrivals(now)
        warmup = self.board.find_section("warmth").get("now")
        return warmup.warm_at if warmup.cold else None

    def _put_state(self, state: attempts.WarmupState) -> None:
        self.get_writer("warmth").put("now", state)

    def _set_cold(self, now: float, silent: bool) -> None:
        limit = self.settings.cold_in_flight
        self._put_state(limits.create_cold_state(now, limit, silent))

    def _handle_restart(self, now: float) -> None:
        lifecycle = self.board.find_section("life").get("now")
        if lifecycle is None or lifecycle.number == self._incarnation:
            return
        is_first_start = self._incarnation == 0
        self._incarnation = lifecycle.number
        if not is_first_start or self.settings.start_cold:
            self._set_cold(now, silent=False)

    def _record_run(self, outcome: attempts.Outcome) -> None:
        warmup = self.board.find_section("warmth").get("now")
        if not warmup.cold or outcome.verdict != attempts.RAN:
            return
        if outcome.attempt.started_at < warmup.since:
            return
        warm_at = warmup.warm_at
        if warm_at is None:
            warm_at = outcome.ended_at + self.settings.cold_period_s
        if warmup.silent or warmup.warm_at is None:
            self._put_state(warmup.replace(silent=False, warm_at=warm_at))

    def _count_arrivals(self, now: float) -> None:
        in_flight = len(self.board.find_section("waiting"))
        in_flight += len(self.board.find_section("running"))
        for attempt in self.read_new_records("arrivals"):
            warmup = self.board.find_section("warmth").get("now")
            if attempt.rejection or not warmup.cold:
                continue
            in_flight += 1
            warmup, reason = limits.count_cold_arrival(
                warmup,
                now,
                in_flight,
                self.settings.cold_in_flight,
                self.settings.cold_rate,
            )
            self._put_state(warmup)
            if reason:
                violation = attempts.Violation(
                    attempt=attempt,
                    reason=reason,
                    in_flight=in_flight,
                    cold_for_s=now - warmup.since,
                )
                self.get_writer("violations").append(violation)


@controllers.register(
    extension_points.CONTROLLERS,
    "lifecycle",
    reads=["commands", "violations", "starts"],
    writes=["life"],
)
class Lifecycle(controllers.Controller):
    """Crashes, restarts and drains the target."""

    def start(self) -> None:
        """Writes the first incarnation."""
        self._start_incarnation(1)

    def step(self, now: float) -> float | None:
        """Applies control calls, crashes and a restart that is due."""
        for command in self.read_new_records("commands"):
            self._apply(command, now)
        faults = self.board.find_section("setup").get("faults")
        for attempt in self.read_new_records("starts"):
            if faults["crash_on"] and faults["crash_on"] in attempt.parameters:
                self._crash(now, self.settings.restart_after_s)
        if self.read_new_records("violations") and self.settings.fall_over:
            self._crash(now, self.settings.restart_after_s)
        lifecycle = self.board.find_section("life").get("now")
        if lifecycle.restart_at is not None and lifecycle.restart_at <= now:
            self._start_incarnation(lifecycle.number + 1)
            return None
        return lifecycle.restart_at

    def _apply(self, command: attempts.Command, now: float) -> None:
        lifecycle = self.board.find_section("life").get("now")
        if command.name in ("leave", "return"):
            leaving = command.name == "leave"
            self.get_writer("life").put(
                "now", lifecycle.replace(leaving=leaving)
            )
        elif command.name == "crash":
            default = self.settings.restart_after_s
            self._crash(now, command.body.get("restart_after_s", default))

    def _start_incarnation(self, number: int) -> None:
        lifecycle = attempts.LifecycleState(
            epoch=uuid.uuid4().hex,
            number=number,
            leaving=False,
            listening=True,
            restart_at=None,
        )
        self.get_writer("life").put("now", lifecycle)

    def _crash(self, now: float, restart_after_s: float | None) -> None:
        lifecycle = self.board.find_section("life").get("now")
        if not lifecycle.listening:
            return
        restart_at = None
        if restart_after_s is not None:
            restart_at = now + restart_after_s
        self.get_writer("life").put(
            "now", lifecycle.replace(listening=False, restart_at=restart_at)
        )
