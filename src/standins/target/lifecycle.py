"""Controllers of what a target is: set-up, warmth and incarnation."""

import uuid

from standins import controllers
from standins.target import attempts
from standins.target import commands
from standins.target import kinds
from standins.target import limits


@controllers.register(
    kinds.CONTROLLERS, "setup", reads=["commands"], writes=["setup"]
)
class Setup(controllers.Controller):
    """Keeps holdings, faults and blocked sources; they outlive a crash."""

    def start(self) -> None:
        """Writes the set-up of the settings."""
        table = self.writer("setup")
        table.put("holdings", self.settings.holdings)
        table.put("faults", dict(commands.NO_FAULTS))
        table.put("blocked_sources", frozenset())

    def step(self, now: float) -> None:
        """Applies control calls."""
        for command in self.take("commands"):
            if command.name == "faults":
                self.writer("setup").put("faults", command.body)
            elif command.name == "holdings":
                self.writer("setup").put("holdings", command.body["holdings"])
            elif command.name == "blocked_sources":
                self.writer("setup").put(
                    "blocked_sources", command.body["sources"]
                )


@controllers.register(
    kinds.CONTROLLERS,
    "warmth",
    reads=["commands", "life", "outcomes", "arrivals"],
    writes=["warmth", "violations"],
)
class Warming(controllers.Controller):
    """Keeps how warm the target is and finds breaches of the cold limits."""

    def start(self) -> None:
        """Writes the first state."""
        self._number = 0
        state = limits.turn_cold(0.0, self.settings.cold_in_flight)
        self.writer("warmth").put("now", state.replace(cold=False))

    def step(self, now: float) -> float | None:
        """Turns cold or warm and counts arrivals."""
        self._follow_life(now)
        for command in self.take("commands"):
            if command.name == "cold":
                self._turn_cold(now, command.body["silent"])
        for outcome in self.take("outcomes"):
            self._note_run(outcome)
        warmth = self.board.find("warmth").get("now")
        if warmth.cold and (warmth.warm_at or now + 1.0) <= now:
            self._put(warmth.replace(cold=False, silent=False))
        self._count_arrivals(now)
        warmth = self.board.find("warmth").get("now")
        return warmth.warm_at if warmth.cold else None

    def _put(self, state: attempts.Warmth) -> None:
        self.writer("warmth").put("now", state)

    def _turn_cold(self, now: float, silent: bool) -> None:
        limit = self.settings.cold_in_flight
        self._put(limits.turn_cold(now, limit, silent))

    def _follow_life(self, now: float) -> None:
        life = self.board.find("life").get("now")
        if life is None or life.number == self._number:
            return
        first = self._number == 0
        self._number = life.number
        if not first or self.settings.start_cold:
            self._turn_cold(now, silent=False)

    def _note_run(self, outcome: attempts.Outcome) -> None:
        warmth = self.board.find("warmth").get("now")
        if not warmth.cold or outcome.run != attempts.RAN:
            return
        if outcome.attempt.started_at < warmth.since:
            return
        warm_at = warmth.warm_at
        if warm_at is None:
            warm_at = outcome.ended_at + self.settings.cold_period_s
        if warmth.silent or warmth.warm_at is None:
            self._put(warmth.replace(silent=False, warm_at=warm_at))

    def _count_arrivals(self, now: float) -> None:
        in_flight = len(self.board.find("waiting"))
        in_flight += len(self.board.find("running"))
        for attempt in self.take("arrivals"):
            warmth = self.board.find("warmth").get("now")
            if attempt.rejection or not warmth.cold:
                continue
            in_flight += 1
            warmth, reason = limits.bear(
                warmth,
                now,
                in_flight,
                self.settings.cold_in_flight,
                self.settings.cold_rate,
            )
            self._put(warmth)
            if reason:
                violation = attempts.Violation(
                    attempt=attempt,
                    reason=reason,
                    in_flight=in_flight,
                    cold_for_s=now - warmth.since,
                )
                self.writer("violations").append(violation)


@controllers.register(
    kinds.CONTROLLERS,
    "lifecycle",
    reads=["commands", "violations", "starts"],
    writes=["life"],
)
class Lifecycle(controllers.Controller):
    """Crashes, restarts and drains the target."""

    def start(self) -> None:
        """Writes the first incarnation."""
        self._begin(1)

    def step(self, now: float) -> float | None:
        """Applies control calls, crashes and the due restart."""
        for command in self.take("commands"):
            self._apply(command, now)
        faults = self.board.find("setup").get("faults")
        for attempt in self.take("starts"):
            if faults["crash_on"] and faults["crash_on"] in attempt.parameters:
                self._crash(now, self.settings.restart_after_s)
        if self.take("violations") and self.settings.fall_over:
            self._crash(now, self.settings.restart_after_s)
        life = self.board.find("life").get("now")
        if life.restart_at is not None and life.restart_at <= now:
            self._begin(life.number + 1)
            return None
        return life.restart_at

    def _apply(self, command: attempts.Command, now: float) -> None:
        life = self.board.find("life").get("now")
        if command.name in ("leave", "return"):
            leaving = command.name == "leave"
            self.writer("life").put("now", life.replace(leaving=leaving))
        elif command.name == "crash":
            default = self.settings.restart_after_s
            self._crash(now, command.body.get("restart_after_s", default))

    def _begin(self, number: int) -> None:
        life = attempts.Life(
            epoch=uuid.uuid4().hex,
            number=number,
            leaving=False,
            listening=True,
            restart_at=None,
        )
        self.writer("life").put("now", life)

    def _crash(self, now: float, restart_after_s: float | None) -> None:
        life = self.board.find("life").get("now")
        if not life.listening:
            return
        restart_at = None
        if restart_after_s is not None:
            restart_at = now + restart_after_s
        self.writer("life").put(
            "now", life.replace(listening=False, restart_at=restart_at)
        )
