"""Controller that admits, queues, runs and finishes attempts."""

import random

from standins import controllers
from standins.target import attempts
from standins.target import extension_points
from standins.target import limits


@controllers.register(
    extension_points.CONTROLLERS,
    "slots",
    reads=["life", "arrivals", "cancels"],
    writes=["waiting", "running", "starts", "outcomes"],
)
class Slots(controllers.Controller):
    """Runs attempts in a limited number of slots, with a bounded queue."""

    def start(self) -> None:
        """Seeds the random number generator of the service times."""
        self._rng = random.Random(f"{self.settings.seed}/{self.settings.name}")

    def step(self, now: float) -> float | None:
        """Finishes attempts that are due and admits and starts others."""
        if not self.board.find_section("life").get("now").listening:
            self._crash_all(now)
            return None
        for attempt_id in self.read_new_records("cancels"):
            self._cancel(attempt_id, now)
        self._finish_due(now)
        self._start_waiting(now)
        for attempt in self.read_new_records("arrivals"):
            self._admit(attempt, now)
        return self._find_next_end()

    def _crash_all(self, now: float) -> None:
        self.read_new_records("cancels")
        running = self.board.find_section("running").list_records()
        waiting = self.board.find_section("waiting").list_records()
        for attempt in running:
            self._finish(attempt, 0, "crashed", attempts.MAY_HAVE_RUN, now)
        for attempt in waiting + self.read_new_records("arrivals"):
            self._finish(attempt, 0, "crashed", attempts.NOT_RUN, now)

    def _cancel(self, attempt_id: str, now: float) -> None:
        for section, verdict in (
            ("waiting", attempts.NOT_RUN),
            ("running", attempts.MAY_HAVE_RUN),
        ):
            for attempt in self.board.find_section(section).list_records():
                if attempt.attempt_id == attempt_id:
                    self._finish(attempt, 499, "cancelled", verdict, now)

    def _finish_due(self, now: float) -> None:
        for attempt in self.board.find_section("waiting").list_records():
            if attempt.deadline <= now:
                self._finish(attempt, 504, "expired", attempts.NOT_RUN, now)
        for attempt in self.board.find_section("running").list_records():
            if attempt.ends_at <= min(now, attempt.deadline):
                self._finish(attempt, 200, "ran", attempts.RAN, now)
            elif attempt.deadline <= now:
                self._finish(
                    attempt, 504, "expired", attempts.MAY_HAVE_RUN, now
                )

    def _admit(self, attempt: attempts.Attempt, now: float) -> None:
        unfinished = self.board.find_section("waiting").list_records()
        unfinished += self.board.find_section("running").list_records()
        if any(other.attempt_id == attempt.attempt_id for other in unfinished):
            attempt = attempt.replace(rejection="Attempt-Id is in use")
        refusal = limits.decide_admission(
            attempt=attempt,
            now=now,
            leaving=self.board.find_section("life").get("now").leaving,
            holdings=self.board.find_section("setup").get("holdings"),
            waiting=len(self.board.find_section("waiting")),
            running=len(self.board.find_section("running")),
            slots=self.settings.slots,
            queue=self.settings.queue,
        )
        if refusal is not None:
            self._finish(attempt, *refusal, attempts.NOT_RUN, now)
            return
        self.get_writer("waiting").put(attempt.serial, attempt)
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        holdings = self.board.find_section("setup").get("holdings")
        while len(self.board.find_section("running")) < self.settings.slots:
            attempt = limits.choose_next(
                self.board.find_section("waiting").list_records()
            )
            if attempt is None:
                return
            self.get_writer("waiting").remove(attempt.serial)
            if not limits.is_held(holdings, attempt):
                self._finish(
                    attempt, 409, "wrong_snapshot", attempts.NOT_RUN, now
                )
                continue
            started = attempt.replace(
                started_at=now,
                ends_at=now + self._draw_service_time_s(),
                beside=len(self.board.find_section("running")) + 1,
            )
            self.get_writer("running").put(attempt.serial, started)
            self.get_writer("starts").append(started)

    def _draw_service_time_s(self) -> float:
        settings = self.settings
        spread = self._rng.uniform(-settings.jitter, settings.jitter)
        service_time_ms = settings.service_ms * (1.0 + spread)
        if self.board.find_section("warmth").get("now").cold:
            service_time_ms *= settings.cold_service_factor
        faults = self.board.find_section("setup").get("faults")
        if self._rng.random() < faults["delay_probability"]:
            service_time_ms += faults["delay_ms"]
        return service_time_ms / 1000.0

    def _finish(
        self,
        attempt: attempts.Attempt,
        status: int,
        error: str,
        verdict: str,
        now: float,
    ) -> None:
        self.get_writer("waiting").remove(attempt.serial)
        self.get_writer("running").remove(attempt.serial)
        outcome = attempts.Outcome(
            attempt=attempt,
            status=status,
            error=error,
            verdict=verdict,
            ended_at=now,
            epoch=self.board.find_section("life").get("now").epoch,
        )
        self.get_writer("outcomes").append(outcome)

    def _find_next_end(self) -> float | None:
        end_times = [
            attempt.deadline
            for attempt in self.board.find_section("waiting").list_records()
        ]
        for attempt in self.board.find_section("running").list_records():
            end_times.append(min(attempt.ends_at, attempt.deadline))
        return min(end_times, default=None)
