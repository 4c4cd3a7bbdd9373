"""Controller that records the requests to a target, for tests to read."""

import collections
import typing

from standins import blackboard
from standins import controllers
from standins.target import attempts
from standins.target import extension_points


def describe_attempt(attempt: attempts.Attempt) -> dict[str, typing.Any]:
    """Returns the journal's fields of an attempt."""
    return {
        "id": attempt.attempt_id,
        "arrival": attempt.arrived_unix,
        "source": attempt.source,
        "kind": attempt.kind,
        "lookup": attempt.lookup,
        "service": attempt.service,
        "low": attempt.low,
        "high": attempt.high,
        "snapshot": [attempt.index_version, attempt.map_version],
        "urgency": attempt.urgency,
        "parameters": attempt.parameters,
    }


def describe_outcome(outcome: attempts.Outcome) -> dict[str, typing.Any]:
    """Returns the journal's entry of a finished attempt; times in ms."""
    attempt = outcome.attempt
    started_at = attempt.started_at
    waited_until = outcome.ended_at if started_at is None else started_at
    return {
        **describe_attempt(attempt),
        "outcome": outcome.error,
        "run": outcome.verdict,
        "started": started_at is not None,
        "duration_ms": (outcome.ended_at - attempt.arrived_at) * 1000.0,
        "waited_ms": (waited_until - attempt.arrived_at) * 1000.0,
        "epoch": outcome.epoch,
        "detail": attempt.rejection,
    }


def describe_violation(violation: attempts.Violation) -> dict[str, typing.Any]:
    """Returns the journal's entry of an exceeded limit of a cold target."""
    return {
        **describe_attempt(violation.attempt),
        "reason": violation.reason,
        "in_flight": violation.in_flight,
        "cold_for_s": violation.cold_for_s,
    }


def describe_journal(
    board: blackboard.Blackboard, now: float
) -> dict[str, typing.Any]:
    """Returns the journal with all counters and the unfinished attempts."""
    tallies = board.find_section("tallies")
    connections = board.find_section("connections")
    entries = board.find_section("journal").list_records()
    for section in ("waiting", "running"):
        for attempt in board.find_section(section).list_records():
            entry = describe_attempt(attempt)
            waited_ms = (now - attempt.arrived_at) * 1000.0
            entries.append(
                {**entry, "outcome": section, "duration_ms": waited_ms}
            )
    return {
        "attempts": entries,
        "dropped": tallies.get("dropped", 0),
        "peak_concurrency": tallies.get("peak_concurrency", 0),
        "open_connections": connections.get("open", 0),
        "peak_connections": connections.get("peak", 0),
        "refused_connections": connections.get("refused", 0),
        "cold_violations": tallies.get("cold_violations"),
        "writes": [
            {"parameters": parameters, "key": key, "count": count}
            for (parameters, key), count in tallies.get("writes").items()
        ],
        "epochs": tallies.get("epochs"),
        "cancelled": tallies.get(("outcome", "cancelled"), 0),
        "outcomes": {
            key[1]: count
            for key, count in tallies.copy_records().items()
            if isinstance(key, tuple)
        },
    }


@controllers.register(
    extension_points.CONTROLLERS,
    "journal",
    reads=["commands", "life", "starts", "outcomes", "violations"],
    writes=["journal", "tallies"],
)
class Journal(controllers.Controller):
    """Keeps finished attempts in ``journal`` and counters in ``tallies``.

    They are kept over a crash of the target, because tests read them later.
    """

    def start(self) -> None:
        """Initialises an empty journal."""
        self._reset()

    def step(self, now: float) -> None:
        """Records new starts, outcomes, violations and epochs."""
        for attempt in self.read_new_records("starts"):
            self._record_start(attempt)
        for outcome in self.read_new_records("outcomes"):
            self._record_outcome(outcome)
        for violation in self.read_new_records("violations"):
            self._violations.append(describe_violation(violation))
        self._record_epoch()
        for command in self.read_new_records("commands"):
            if command.name == "reset":
                self._reset()

    def _reset(self) -> None:
        self._violations: list[dict[str, typing.Any]] = []
        self._epochs: list[str] = []
        self._writes: collections.Counter = collections.Counter()
        self._serials: collections.deque[int] = collections.deque()
        self.get_writer("journal").clear()
        table = self.get_writer("tallies")
        table.clear()
        table.put("cold_violations", self._violations)
        table.put("epochs", self._epochs)
        table.put("writes", self._writes)
        self._record_epoch()

    def _record_epoch(self) -> None:
        lifecycle = self.board.find_section("life").get("now")
        if lifecycle is not None and lifecycle.epoch not in self._epochs:
            self._epochs.append(lifecycle.epoch)

    def _record_start(self, attempt: attempts.Attempt) -> None:
        tallies = self.board.find_section("tallies")
        if attempt.beside > tallies.get("peak_concurrency", 0):
            self.get_writer("tallies").put("peak_concurrency", attempt.beside)
        if attempt.kind == "write":
            self._writes[(attempt.parameters, attempt.low)] += 1

    def _record_outcome(self, outcome: attempts.Outcome) -> None:
        self._count(("outcome", outcome.error))
        serial = outcome.attempt.serial
        self.get_writer("journal").put(serial, describe_outcome(outcome))
        self._serials.append(serial)
        if len(self._serials) > self.settings.journal_limit:
            self.get_writer("journal").remove(self._serials.popleft())
            self._count("dropped")

    def _count(self, key: typing.Any) -> None:
        count = self.board.find_section("tallies").get(key, 0)
        self.get_writer("tallies").put(key, count + 1)
