"""Tests the controllers of a target with a clock that the test advances."""

import itertools

import pytest

from standins.target import attempts
from standins.target import commands
from standins.target import limits
from standins.target import program  # noqa: F401 (registers controllers)
from standins.target import server
from standins.target import settings

SERIALS = itertools.count(1)


class TargetHarness:
    """A target without sockets, with a clock in seconds."""

    def __init__(self, **fields):
        self.now = 100.0
        defaults = {"service_ms": 10.0, "jitter": 0.0, "slots": 1, "queue": 2}
        document = {"name": "t", "service": "s", **defaults, **fields}
        (target_settings,) = settings.read_targets({"targets": [document]})
        self.http = server.build_target(target_settings, lambda: self.now)
        self.outcomes = self.http.board.find_section("outcomes").open_cursor()
        self.http.runner.run_until_idle()

    def arrive(self, attempt_id, *, after_s=0.0, deadline_s=1.0, **fields):
        self.advance(after_s)
        values = {
            "kind": "read",
            "urgency": "ordinary",
            "parameters": "p",
            "index_version": 1,
            **fields,
        }
        attempt = attempts.Attempt(
            serial=next(SERIALS),
            attempt_id=attempt_id,
            lookup="l",
            service="s",
            low=0,
            high=10,
            map_version=1,
            source="127.0.0.1",
            arrived_at=self.now,
            arrived_unix=0.0,
            deadline=self.now + deadline_s,
            **values,
        )
        self.http.get_writer("arrivals").append(attempt)
        self.http.runner.run_until_idle()

    def advance(self, seconds):
        """Advances the clock and runs each step that is due on the way."""
        end = self.now + seconds
        while (
            due := self.http.runner.run_until_idle()
        ) is not None and due <= end:
            self.now = max(self.now, due)
        self.now = end
        self.http.runner.run_until_idle()

    def submit_command(self, name, **body):
        command = attempts.Command(name=name, body=body)
        self.http.get_writer("commands").append(command)
        self.http.runner.run_until_idle()

    def cancel(self, attempt_id):
        self.http.get_writer("cancels").append(attempt_id)
        self.http.runner.run_until_idle()

    def list_outcomes(self):
        return [
            (outcome.attempt.attempt_id, outcome.error, outcome.verdict)
            for outcome in self.outcomes
        ]

    def read_tally(self, key):
        return self.http.board.find_section("tallies").get(key)

    def read_state(self):
        return self.http.build_state_headers(self.now)["Target-State"]


def test_urgent_goes_first_and_the_queue_is_bounded():
    # Guards against more concurrent runs than slots, and an unbounded queue.
    harness = TargetHarness()
    for attempt_id, urgency in (
        ("a", "ordinary"),
        ("b", "ordinary"),
        ("c", "urgent"),
        ("d", "urgent"),
    ):
        harness.arrive(attempt_id, urgency=urgency)
    harness.advance(1.0)
    assert harness.list_outcomes() == [
        ("d", "shed", "not-run"),
        ("a", "ran", "ran"),
        ("c", "ran", "ran"),
        ("b", "ran", "ran"),
    ]
    assert harness.read_tally("peak_concurrency") == 1


def test_cancellation_and_deadline_before_and_during_the_run():
    # Guards against the verdict "not-run" on a request that had begun to run.
    harness = TargetHarness()
    for running, end in (("a", "cancel"), ("c", "expire")):
        harness.arrive(running, deadline_s=0.005)
        harness.arrive(running + "2", deadline_s=0.004)
        if end == "cancel":
            harness.cancel(running + "2")
            harness.cancel(running)
        harness.advance(0.05)
    assert harness.list_outcomes() == [
        ("a2", "cancelled", "not-run"),
        ("a", "cancelled", "may-have-run"),
        ("c2", "expired", "not-run"),
        ("c", "expired", "may-have-run"),
    ]


@pytest.mark.parametrize(
    ("fields", "error"),
    [
        ({"index_version": 2}, "wrong_snapshot"),
        ({"deadline_s": 0.0}, "expired"),
        ({"rejection": "bad"}, "rejected"),
    ],
)
def test_refusals_say_not_run(fields, error):
    harness = TargetHarness()
    harness.arrive("a", **fields)
    assert harness.list_outcomes() == [("a", error, "not-run")]


def test_leaving_target_refuses_new_work_and_ends_the_old():
    # Guards against a drain that loses admitted requests.
    harness = TargetHarness()
    harness.arrive("a")
    harness.submit_command("leave")
    harness.arrive("b")
    harness.advance(0.1)
    assert harness.list_outcomes() == [
        ("b", "leaving", "not-run"),
        ("a", "ran", "ran"),
    ]
    assert harness.read_state() == "leaving"


@pytest.mark.parametrize(
    ("gaps_s", "reasons"),
    [
        ([0.0, 0.0], []),
        ([0.0, 0.0, 0.0], ["in_flight"]),
        ([0.0, 0.02, 0.02], ["rate"]),
        ([0.0, 0.1, 0.1, 0.1], []),
    ],
)
def test_cold_limits_are_recorded(gaps_s, reasons):
    # Guards against a stand-in that does not record the overload of a cold
    # target.
    harness = TargetHarness(
        start_cold=True, cold_in_flight=2, cold_rate=10.0, slots=2
    )
    for number, gap_s in enumerate(gaps_s):
        harness.arrive(str(number), after_s=gap_s)
    found = [
        violation["reason"]
        for violation in harness.read_tally("cold_violations")
    ]
    assert found == reasons


def test_cold_violation_crashes_and_the_restart_is_cold():
    harness = TargetHarness(
        cold_in_flight=1, fall_over=True, restart_after_s=0.5
    )
    harness.submit_command("cold", silent=True)
    harness.arrive("a")
    harness.arrive("b")
    assert harness.list_outcomes() == [
        ("a", "crashed", "may-have-run"),
        ("b", "crashed", "not-run"),
    ]
    harness.advance(0.5)
    assert len(harness.read_tally("epochs")) == 2
    assert harness.read_state() == "cold"


def test_silent_cold_shows_after_one_run_and_ends_after_the_period():
    # Guards against a silent cold target that still reports "warm" in the reply
    # to its first request.
    harness = TargetHarness(cold_period_s=1.0)
    harness.submit_command("cold", silent=True)
    assert harness.read_state() == "warm"
    harness.arrive("a")
    harness.advance(0.01)
    assert harness.read_state() == "cold"
    harness.advance(0.99)
    assert harness.read_state() == "cold"
    harness.advance(0.02)
    assert harness.read_state() == "warm"


def test_crash_on_takes_down_the_target_at_the_start_of_the_run():
    harness = TargetHarness()
    harness.submit_command(
        "faults", **commands.check_faults({"crash_on": "poison"})
    )
    harness.arrive("a", parameters="x")
    harness.arrive("b", parameters="poison", kind="write")
    assert harness.list_outcomes() == []
    harness.advance(0.011)
    assert harness.list_outcomes()[1] == ("b", "crashed", "may-have-run")
    assert harness.read_tally("writes") == {("poison", 0): 1}


def test_each_started_write_is_counted_and_no_refused_one():
    # Guards against a count that misses a write whose reply was lost.
    harness = TargetHarness(queue=0)
    harness.arrive("a", kind="write")
    harness.arrive("b", kind="write")
    harness.cancel("a")
    harness.arrive("c", kind="write")
    assert harness.read_tally("writes") == {("p", 0): 2}


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"slots": 0}, "slots is 0"),
        ({"cold_rate": "fast"}, "cold_rate is 'fast'"),
        ({"holdings": [[1, 1, 5, 5]]}, "low < high"),
        ({"speed": 1}, "has no field"),
    ],
)
def test_invalid_settings_name_the_field(fields, message):
    with pytest.raises(settings.SettingsError, match=message):
        TargetHarness(**fields)


@pytest.mark.parametrize(
    ("source", "latency_s"),
    [("127.0.1.7", 0.003), ("127.0.2.7", 0.008), ("10.0.0.1", 0.0)],
)
def test_latency_of_the_longest_prefix_counts(source, latency_s):
    table = {"127.0.": 8.0, "127.0.1.": 3.0}
    assert limits.find_latency_s(table, source) == pytest.approx(latency_s)
