import pytest

from bramleyfork.controllers import ownership
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import shares
from tests import creators

NOW = 1000.0
SHARE_ACTIVE_AT = NOW + shares.SHARE_ACTIVATION_DELAY_S


class ControllerHarness:
    """An ownership controller whose input sections the test writes."""

    def __init__(self, **service):
        self.board = creators.create_board()
        self.controller = ownership.OwnershipController(
            board=self.board, settings=creators.create_settings()
        )
        self.requests = self.board.grant_writer(
            "peer_subrequests", "peer_transport"
        )
        self.results = self.board.grant_writer(
            "attempt_results", "target_transport"
        )
        self.targets = self.board.grant_writer("targets", "targets")
        self.lease = self.board.grant_writer("lease", "membership")
        self.declared = self.board.grant_writer("declaration", "configuration")
        self.attempts = self.board.find_log("attempts").open_cursor()
        self.replies = self.board.find_log("subreplies").open_cursor()
        self.suspicions = self.board.find_log("suspicions").open_cursor()
        self.lease.put("current", fleet.Lease(expires_at=1e9, source="peer"))
        self.declare(
            creators.create_declaration(
                services=[creators.create_service(**service)]
            )
        )
        self.controller.step(NOW)

    def declare(self, declaration):
        self.declared.put(
            "in_force", creators.create_active_declaration(declaration)
        )

    def ask(self, *attempt_ids, now=SHARE_ACTIVE_AT, **changes):
        changes.setdefault("deadline", now + 1)
        for attempt_id in attempt_ids:
            self.requests.append(
                creators.create_sub_request(attempt_id, **changes)
            )
        self.controller.step(now)
        return [a.attempt_id for a in self.attempts.read_new_records()]

    def finish(
        self,
        attempt_id,
        now=SHARE_ACTIVE_AT,
        code="ok",
        state="warm",
        **changes,
    ):
        ran = code == "ok"
        result = replies.AttemptResult(
            attempt_id=attempt_id,
            target="booking-01-a",
            verdict=verdicts.Verdict.RAN
            if ran
            else verdicts.Verdict.MAY_HAVE_RUN,
            code=code,
            elapsed_s=0.01,
            report=requests.TargetReport(
                epoch="e1", state=state, load=0.0, holdings=()
            )
            if ran
            else None,
        )
        self.results.append(result.replace(**changes))
        self.controller.step(now)
        return [a.attempt_id for a in self.attempts.read_new_records()]

    def warm_up(self):
        self.ask("w1", deadline=SHARE_ACTIVE_AT + 9)
        self.finish("w1", SHARE_ACTIVE_AT)
        self.ask("w2", now=SHARE_ACTIVE_AT + 3, deadline=SHARE_ACTIVE_AT + 9)
        self.finish("w2", SHARE_ACTIVE_AT + 3)
        self.replies.read_new_records()
        return SHARE_ACTIVE_AT + 3

    def read_codes(self):
        return [reply.code for reply in self.replies.read_new_records()]


def test_starting_process_activates_its_share_after_the_delay():
    # Guards against exceeding a share together with requests that the previous
    # process on this host left running.
    harness = ControllerHarness()
    assert harness.ask("a1", now=SHARE_ACTIVE_AT - 0.1) == []
    assert harness.read_codes() == ["no_share"]
    assert harness.ask("a2", now=SHARE_ACTIVE_AT) == ["a2"]


def test_publication_keeps_the_activation_time_of_a_pending_share():
    # Guards against hosts that stay without shares because configurations are
    # published more often than the activation delay.
    harness = ControllerHarness()
    harness.declare(
        creators.create_declaration(services=[creators.create_service()])
    )
    harness.controller.step(SHARE_ACTIVE_AT - 0.1)
    assert harness.ask("a1") == ["a1"]


def test_cold_target_gets_only_its_cold_in_flight_limit():
    harness = ControllerHarness(cold_rate=1000.0, cold_in_flight=2)
    assert harness.ask("a1", "a2", "a3") == ["a1"]
    harness.controller.step(SHARE_ACTIVE_AT + 0.1)
    assert [a.attempt_id for a in harness.attempts.read_new_records()] == ["a2"]
    harness.controller.step(SHARE_ACTIVE_AT + 0.2)
    assert harness.attempts.read_new_records() == []


def test_warm_target_gets_its_whole_share_and_not_more():
    harness = ControllerHarness()
    now = harness.warm_up()
    assert len(harness.ask(*"abcdefgh", now=now)) == 6


def test_expired_lease_stops_sends():
    # Guards against sends by a host that was partitioned or suspended.
    harness = ControllerHarness()
    harness.lease.put(
        "current", fleet.Lease(expires_at=SHARE_ACTIVE_AT, source="peer")
    )
    assert harness.ask("a1") == []
    assert harness.read_codes() == ["no_lease"]


@pytest.mark.parametrize(
    ("state", "code"), [("leaving", "leaving"), ("out", "target_out")]
)
def test_target_that_left_gets_no_new_work(state, code):
    harness = ControllerHarness(cold_rate=0.1)
    assert harness.ask("a1", "a2") == ["a1"]
    harness.targets.put(
        "booking-01-a",
        fleet.TargetStatus(
            target="booking-01-a",
            state=state,
            reason="test",
            epoch=None,
            holdings=(),
            heard_at=NOW,
        ),
    )
    assert harness.ask("a3") == []
    assert harness.read_codes() == [code, code]


def test_waiting_sub_request_is_refused_at_its_deadline():
    harness = ControllerHarness(cold_rate=0.1)
    harness.ask("a1", "a2")
    harness.controller.step(SHARE_ACTIVE_AT + 1.1)
    assert harness.read_codes() == ["expired"]
    assert harness.attempts.read_new_records() == []


def test_target_death_lists_every_fingerprint_in_flight():
    harness = ControllerHarness()
    now = harness.warm_up()
    harness.ask("a1", now=now, fingerprint="f1")
    harness.ask("a2", now=now, fingerprint="f2")
    harness.finish("a1", now, code="died")
    (death,) = harness.suspicions.read_new_records()
    assert death.fingerprints == ("f1", "f2")


def test_suspect_request_runs_exclusively():
    # Guards against blaming requests that were only in flight at the same time
    # as the one that crashed the target.
    harness = ControllerHarness()
    now = harness.warm_up()
    assert harness.ask("a1", now=now) == ["a1"]
    assert harness.ask("s", now=now, exclusive=True, deadline=now + 0.5) == []
    assert harness.finish("a1", now) == ["s"]
    assert harness.ask("a2", now=now) == []
    assert harness.finish("s", now) == ["a2"]
    cleared = harness.suspicions.read_new_records()[-1]
    assert isinstance(cleared, fleet.SuspectCleared)


def test_cancelled_waiting_sub_request_is_never_sent():
    harness = ControllerHarness(cold_rate=0.1)
    harness.ask("a1", "a2")
    harness.requests.append(requests.Cancel(attempt_id="a2", owner="host-1"))
    harness.controller.step(SHARE_ACTIVE_AT)
    harness.finish("a1", SHARE_ACTIVE_AT + 0.5)
    harness.controller.step(SHARE_ACTIVE_AT + 20)
    assert harness.attempts.read_new_records() == []


def test_cancel_of_a_running_attempt_reaches_the_target():
    harness = ControllerHarness()
    harness.ask("a1")
    harness.requests.append(requests.Cancel(attempt_id="a1", owner="host-1"))
    harness.controller.step(SHARE_ACTIVE_AT)
    (attempt,) = harness.attempts.read_new_records()
    assert attempt.is_cancellation


def test_lost_share_is_given_up_at_once():
    # Guards against two hosts that use the same share after a change of hosts.
    harness = ControllerHarness()
    harness.warm_up()
    hosts = {h.name: h for h in [creators.create_host(2)]}
    harness.declare(creators.create_declaration(hosts=1).replace(hosts=hosts))
    assert harness.ask("a1", now=SHARE_ACTIVE_AT + 4) == []
    assert harness.read_codes() == ["no_share"]


def test_refusal_by_a_full_queue_has_a_retry_delay():
    harness = ControllerHarness(slots=1, queue=0, cold_rate=0.1, connections=3)
    harness.ask(*[f"a{n}" for n in range(12)])
    refused = [
        r for r in harness.replies.read_new_records() if r.code == "queue_full"
    ]
    assert refused
    assert all(r.retry_after_ms > 0 for r in refused)


def test_waiting_request_that_cannot_finish_is_refused_before_the_send():
    # Guards against requests that, under overload, use a slot of the target
    # and still finish after their deadline.
    harness = ControllerHarness(slots=1, queue=0)
    harness.warm_up()
    for n in range(64):
        harness.ask(f"s{n}", now=SHARE_ACTIVE_AT + 4)
        harness.finish(f"s{n}", SHARE_ACTIVE_AT + 4, elapsed_s=0.1)
    harness.replies.read_new_records()
    harness.ask("a1", now=SHARE_ACTIVE_AT + 5, deadline=SHARE_ACTIVE_AT + 6)
    assert (
        harness.ask(
            "a2", now=SHARE_ACTIVE_AT + 5, deadline=SHARE_ACTIVE_AT + 5.2
        )
        == []
    )
    assert harness.finish("a1", SHARE_ACTIVE_AT + 5.15, elapsed_s=0.1) == []
    codes = {r.attempt_id: r.code for r in harness.replies.read_new_records()}
    assert codes == {"a1": "ok", "a2": "expired"}


def test_slow_target_is_tried_again_after_idle_time():
    # Guards against refusing all requests for a target that was slow. Refusals
    # record no new latencies, so its estimate would never improve.
    harness = ControllerHarness()
    harness.warm_up()
    for n in range(64):
        harness.ask(f"s{n}", now=SHARE_ACTIVE_AT + 4)
        harness.finish(f"s{n}", SHARE_ACTIVE_AT + 4, elapsed_s=0.8)
    assert (
        harness.ask(
            "a1", now=SHARE_ACTIVE_AT + 4.1, deadline=SHARE_ACTIVE_AT + 4.6
        )
        == []
    )
    assert harness.ask(
        "a2", now=SHARE_ACTIVE_AT + 9, deadline=SHARE_ACTIVE_AT + 9.5
    ) == ["a2"]
