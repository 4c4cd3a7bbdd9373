import pytest

from bramleyfork.controllers import routing
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import tickets
from tests import creators

NOW = 1000.0
NEWER = requests.Snapshot(index_version=42, map_version=7)
REPORT = requests.TargetReport(
    epoch="e1",
    state="warm",
    load=0.0,
    holdings=(creators.create_holding(),),
)


class ControllerHarness:
    """A routing controller whose input sections the test writes."""

    def __init__(self, declaration=None, **settings):
        self.board = creators.create_board()
        self.settings = creators.create_settings(**settings)
        self.routing = routing.RoutingController(
            board=self.board, settings=self.settings
        )
        self.queries = self.board.grant_writer("queries", "caller_transport")
        self.replies = self.board.grant_writer("subreplies", "ownership")
        self.targets = self.board.grant_writer("targets", "targets")
        self.quarantine = self.board.grant_writer("quarantine", "quarantine")
        self.sent = self.board.find_log("subrequests").open_cursor()
        self.answers = self.board.find_log("answers").open_cursor()
        self.declaration = declaration or creators.create_declaration()
        self.board.grant_writer("declaration", "configuration").put(
            "in_force", creators.create_active_declaration(self.declaration)
        )
        self.board.grant_writer("lease", "membership").put(
            "current", fleet.Lease(expires_at=9999.0, source="peer")
        )
        for name in self.declaration.targets:
            self.hold(name, creators.create_holding())

    def hold(self, target, *holdings):
        self.targets.put(
            target,
            fleet.TargetStatus(
                target=target,
                state="usable",
                reason="declared",
                epoch="e1",
                holdings=holdings,
                heard_at=NOW,
            ),
        )

    def ask(self, now=NOW, **changes):
        self.queries.append(creators.create_query(**changes))
        self.routing.step(now)
        return self.read_sent()

    def read_sent(self):
        new_records = self.sent.read_new_records()
        return [r for r in new_records if isinstance(r, requests.SubRequest)]

    def reply(self, request, now=NOW + 0.01, **changes):
        reply = replies.SubReply(
            attempt_id=request.attempt_id,
            query_id=request.query_id,
            router=request.router,
            owner=request.owner,
            target=request.target,
            verdict=verdicts.Verdict.RAN,
            code="ok",
            key_range=request.key_range,
            snapshot=request.snapshot,
            records=((1, "one"),),
            report=REPORT,
        )
        reply = reply.replace(**changes)
        self.replies.append(reply)
        self.routing.step(now)
        return reply

    def fail(self, request, code, verdict=verdicts.Verdict.NOT_RUN, **changes):
        self.reply(
            request,
            code=code,
            verdict=verdict,
            key_range=None,
            snapshot=None,
            records=(),
            **changes,
        )

    def read_answer(self):
        (answer,) = self.answers.read_new_records()
        return answer


def create_two_services():
    return creators.create_declaration(
        services=[
            creators.create_service("booking-01"),
            creators.create_service("booking-02"),
        ],
        targets=[
            creators.create_target("b1-a", "booking-01"),
            creators.create_target("b1-b", "booking-01"),
            creators.create_target("b2-a", "booking-02"),
            creators.create_target("b2-b", "booking-02"),
        ],
        lookups=[creators.create_lookup(services=("booking-01", "booking-02"))],
    )


def issue_ticket(harness, now=NOW, number=1):
    return tickets.issue_ticket(
        harness.settings.ticket_key, "host-1", 1, number, int(now * 1000) + 5000
    )


def test_whole_answer_has_full_coverage():
    harness = ControllerHarness()
    (request,) = harness.ask()
    harness.reply(request)
    answer = harness.read_answer()
    assert (answer.code, answer.coverage) == ("ok", 1.0)
    assert answer.records == (("booking-01", 1, "one"),)


def test_late_reply_does_not_reach_another_query():
    # Guards against a reply that is matched with another caller's query.
    harness = ControllerHarness()
    (first,) = harness.ask()
    harness.routing.step(NOW + 0.995)
    assert harness.read_answer().code == "no_answer"
    harness.ask(now=NOW + 1, query_id="q2", deadline=NOW + 2)
    harness.reply(first)
    assert harness.answers.read_new_records() == []


@pytest.mark.parametrize(
    "change",
    [
        {"snapshot": NEWER},
        {"key_range": creators.create_range(0, 10)},
        {"records": ((1, "a"), (1, "b"))},
    ],
    ids=["snapshot", "range", "repeated key"],
)
def test_invalid_reply_is_not_merged(change):
    harness = ControllerHarness()
    (request,) = harness.ask()
    harness.reply(request, **change)
    (retry,) = harness.read_sent()
    assert retry.target != request.target
    assert harness.answers.read_new_records() == []


def test_record_outside_its_segment_is_not_merged():
    # Guards against a record that is merged for two segments.
    harness = ControllerHarness()
    for target in harness.declaration.targets:
        harness.hold(
            target,
            creators.create_holding(low=0, high=100),
        )
    (request,) = harness.ask()
    harness.reply(request, records=((100, "x"),))
    assert harness.answers.read_new_records() == []


def test_unread_segment_is_reported_missing():
    # Guards against an unread shard that is presented as an empty result.
    harness = ControllerHarness(create_two_services())
    (canary,) = harness.ask()
    harness.reply(canary)
    (other,) = harness.read_sent()
    harness.routing.step(NOW + 0.995)
    answer = harness.read_answer()
    assert answer.code == "partial"
    assert answer.coverage == pytest.approx(0.5)
    assert answer.missing == ((other.service, ranges.FULL_RANGE),)


def test_unknown_request_reaches_one_target_first():
    # Guards against a request that crashes targets and reaches all at once.
    harness = ControllerHarness(create_two_services())
    assert len(harness.ask()) == 1


def test_completed_request_goes_to_all_targets_at_once():
    harness = ControllerHarness(create_two_services())
    (canary,) = harness.ask()
    harness.reply(canary)
    (other,) = harness.read_sent()
    harness.reply(other)
    assert harness.read_answer().code == "ok"
    assert len(harness.ask(query_id="q2")) == 2


def test_deferred_segments_are_not_sent_after_targets_died():
    # Guards against a request that crashes targets of every service.
    harness = ControllerHarness(create_two_services())
    (canary,) = harness.ask()
    harness.fail(canary, "died", verdicts.Verdict.MAY_HAVE_RUN)
    (retry,) = harness.read_sent()
    assert retry.exclusive
    assert retry.service == canary.service
    harness.fail(retry, "died", verdicts.Verdict.MAY_HAVE_RUN)
    assert harness.read_sent() == []
    assert harness.read_answer().verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_quarantined_request_is_refused_before_a_send():
    harness = ControllerHarness()
    (request,) = harness.ask()
    harness.quarantine.put(
        request.fingerprint,
        fleet.QuarantineEntry(
            fingerprint=request.fingerprint,
            level="refused",
            until=NOW + 60,
            targets=("booking-01-a",),
        ),
    )
    assert harness.ask(query_id="q2") == []
    answer = harness.read_answer()
    assert answer.code == "quarantined"
    assert answer.verdict is verdicts.Verdict.NOT_RUN


def test_wrong_snapshot_everywhere_restarts_on_a_newer_one():
    harness = ControllerHarness()
    (first,) = harness.ask()
    newer = REPORT.replace(holdings=(creators.create_holding(NEWER),))
    harness.fail(first, "wrong_snapshot", report=newer)
    (second,) = harness.read_sent()
    assert second.snapshot == creators.SNAPSHOT
    harness.fail(second, "wrong_snapshot", report=newer)
    (restarted,) = harness.read_sent()
    assert restarted.snapshot == NEWER
    harness.reply(restarted, report=newer)
    assert harness.read_answer().snapshot == NEWER


def test_segment_refused_by_an_owner_is_retried_elsewhere():
    harness = ControllerHarness(creators.create_declaration(hosts=3))
    (first,) = harness.ask()
    harness.fail(first, "no_share")
    (second,) = harness.read_sent()
    assert (second.target, second.owner) != (first.target, first.owner)


def test_slow_segment_is_hedged_from_the_budget():
    harness = ControllerHarness()
    for number in range(30):
        (request,) = harness.ask(query_id=f"q{number}")
        harness.reply(request)
        harness.read_answer()
    (slow,) = harness.ask(query_id="slow")
    harness.routing.step(NOW + 0.5)
    (hedge,) = harness.read_sent()
    assert hedge.target != slow.target
    harness.reply(hedge, now=NOW + 0.51)
    cancels = [
        r
        for r in harness.sent.read_new_records()
        if isinstance(r, requests.Cancel)
    ]
    assert [c.attempt_id for c in cancels] == [slow.attempt_id]
    assert harness.read_answer().code == "ok"


def start_remote(*states, targets=None):
    """Returns a harness with router and targets in different data centres.

    Args:
      *states: Member states of the two owners of the targets.
      targets: The declared targets; by default two of one service.
    """
    declaration = creators.create_declaration(hosts=3, targets=targets)
    hosts = dict(declaration.hosts)
    hosts["host-1"] = creators.create_host(1, data_centre="zaragoza")
    centre = declarations.DataCentre(name="zaragoza", region="south")
    harness = ControllerHarness(
        declaration.replace(
            hosts=hosts,
            data_centres={**declaration.data_centres, centre.name: centre},
        )
    )
    members = harness.board.grant_writer("members", "membership")
    owners = ("host-2", "host-3")
    for owner, state in zip(owners, states, strict=True):
        members.put(
            owner,
            fleet.Member(host=owner, incarnation=1, state=state, changed_at=1),
        )
    for number in range(30):
        (request,) = harness.ask(query_id=f"q{number}")
        harness.reply(request)
        harness.read_answer()
    return harness


def test_unresponsive_owner_is_preferred_to_a_suspect_owner():
    # Guards against partial answers after a network partition: an owner that
    # was slow once ranked worse than one that membership suspects.
    harness = start_remote("alive", "suspect")
    (slow,) = harness.ask(query_id="slow", now=NOW + 0.1)
    assert slow.owner == "host-2"
    harness.routing.step(NOW + 0.5)
    harness.read_sent()
    sent = harness.ask(query_id="next", now=NOW + 0.51)
    owners = {r.owner for r in sent if r.query_id == "next"}
    assert owners == {"host-2"}


def test_owner_that_replies_is_not_avoided_any_more():
    # Guards against avoiding an owner for a second after one late reply.
    harness = start_remote("alive", "alive")
    view = harness.routing._view
    members = harness.board.find_table("members")

    def find_penalty(now):
        return view.find_owner("booking-01-a", members, set(), now)[0]

    (request,) = harness.ask(query_id="one", now=NOW + 0.1)
    for owner in ("host-2", "host-3"):
        assert view.avoid_if_unresponsive(owner, NOW + 0.2, NOW + 0.3)
    assert find_penalty(NOW + 0.3) > 0
    for owner in ("host-2", "host-3"):
        reply = harness.reply(request, now=NOW + 0.4, owner=owner)
        view.record_reply(reply, 0.1, NOW + 0.4)
    assert find_penalty(NOW + 0.4) == 0


def test_hedges_use_the_other_owner_when_an_owner_is_unresponsive():
    # Guards against a segment that waits for a failed owner until its deadline
    # while the other owner of the same target is alive.
    harness = start_remote("alive", "alive")
    (first,) = harness.ask(query_id="slow", now=NOW + 0.1)
    sent = [first]
    for number in range(2, 5):
        harness.routing.step(NOW + 0.2 * number)
        sent += harness.read_sent()
    pairs = {(request.target, request.owner) for request in sent}
    assert len(pairs) == len(sent) == 3
    harness.reply(sent[-1], now=NOW + 0.81)
    assert harness.read_answer().code == "ok"


def test_single_replica_is_hedged_through_the_other_owner():
    # Guards against a partial answer while a target is leaving: the remaining
    # replica got a single attempt, through a host that was frozen.
    harness = start_remote(
        "alive", "alive", targets=[creators.create_target("booking-01-a")]
    )
    (first,) = harness.ask(query_id="slow", now=NOW + 0.1)
    harness.routing.step(NOW + 0.5)
    (second,) = harness.read_sent()
    assert second.target == first.target
    assert second.owner != first.owner
    harness.reply(second, now=NOW + 0.51)
    assert harness.read_answer().code == "ok"


def test_single_replica_is_not_hedged_while_its_owner_replies():
    # Guards against extra load on a replica that is slow but reachable.
    harness = start_remote(
        "alive", "alive", targets=[creators.create_target("booking-01-a")]
    )
    (first,) = harness.ask(query_id="slow", now=NOW + 0.1)
    (other,) = harness.ask(query_id="other", now=NOW + 0.1)
    harness.reply(other, now=NOW + 0.101)
    assert other.owner == first.owner
    harness.routing.step(NOW + 0.5)
    assert harness.read_sent() == []


def test_hold_request_runs_once_per_ticket():
    harness = ControllerHarness()
    hold = {"lookup": "seat-hold", "key": 7, "ticket": issue_ticket(harness)}
    (request,) = harness.ask(**hold)
    assert harness.ask(query_id="again", **hold) == []
    refusal = harness.read_answer()
    assert refusal.code == "ticket_used"
    assert refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN
    harness.reply(request, records=((7, "held"),))
    assert harness.read_answer().code == "ok"


def test_hold_request_is_not_repeated_after_an_unknown_outcome():
    # Guards against a seat that is held twice, for two different callers.
    harness = ControllerHarness()
    hold = {"lookup": "seat-hold", "key": 7, "ticket": issue_ticket(harness)}
    (request,) = harness.ask(**hold)
    harness.fail(request, "died", verdicts.Verdict.MAY_HAVE_RUN)
    assert harness.read_sent() == []
    assert harness.read_answer().verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_hold_request_is_repeated_after_not_run():
    harness = ControllerHarness()
    hold = {"lookup": "seat-hold", "key": 7, "ticket": issue_ticket(harness)}
    (request,) = harness.ask(**hold)
    harness.fail(request, "connect_failed")
    (retry,) = harness.read_sent()
    assert retry.target != request.target


def test_unanswered_hold_request_may_have_run():
    harness = ControllerHarness()
    hold = {"lookup": "seat-hold", "key": 7, "ticket": issue_ticket(harness)}
    harness.ask(**hold)
    harness.routing.step(NOW + 0.995)
    assert harness.read_answer().verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"lookup": "avail"}, "unknown_lookup"),
        ({"key": 3}, "bad_key"),
        ({"lookup": "seat-hold", "key": 70000, "ticket": "x"}, "bad_key"),
        ({"lookup": "seat-hold", "key": 7}, "ticket_required"),
        ({"lookup": "seat-hold", "key": 7, "ticket": "x"}, "bad_ticket"),
        ({"deadline": NOW}, "deadline_past"),
    ],
)
def test_invalid_query_is_refused_as_not_run(change, code):
    harness = ControllerHarness()
    assert harness.ask(**change) == []
    answer = harness.read_answer()
    assert (answer.code, answer.verdict) == (code, verdicts.Verdict.NOT_RUN)


def ask_at(harness, now, query_id):
    return harness.ask(now=now, query_id=query_id, deadline=now + 1.0)


def create_slow_target():
    """Returns a harness and a target that was slower than its hedge."""
    harness = ControllerHarness()
    for n in range(30):
        (first,) = ask_at(harness, NOW + n, f"q{n}")
        harness.reply(first, now=NOW + n + 0.01)
    (slow,) = ask_at(harness, NOW + 40, "slow")
    harness.routing.step(NOW + 40.1)
    (hedge,) = harness.read_sent()
    harness.reply(hedge, now=NOW + 40.11)
    return harness, slow.target


def test_target_that_loses_to_a_hedge_is_avoided():
    # Guards against a straggler that keeps its old average latency: its
    # attempts are cancelled, so their latencies are never recorded.
    harness, slow = create_slow_target()
    for n in range(5):
        now = NOW + 40.2 + n / 10
        (sent,) = ask_at(harness, now, f"after{n}")
        assert sent.target != slow
        harness.reply(sent, now=now + 0.01)


def test_avoided_target_gets_trial_requests():
    # Guards against a recovered target that stays unused.
    harness, slow = create_slow_target()
    first, trial = ask_at(harness, NOW + 42, "later")
    assert first.target != slow
    assert trial.target == slow
    harness.reply(trial, now=NOW + 42.01)
    assert len(ask_at(harness, NOW + 42.1, "last")) == 1
