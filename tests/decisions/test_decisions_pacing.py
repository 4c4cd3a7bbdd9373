import hypothesis
from hypothesis import strategies as st

from bramleyfork.core import platform_calls
from bramleyfork.decisions import pacing

NAMES = st.text("abc-123", min_size=1, max_size=8)


def create_result(path, status, sent_at=0.0, etag=""):
    return platform_calls.PlatformResult(
        purpose="configuration",
        path=path,
        sent_at=sent_at,
        received_at=sent_at,
        status=status,
        etag=etag,
    )


def create_plan(**fields):
    return pacing.ReadPlan(watch=pacing.Pace(), poll=pacing.Pace(), **fields)


@hypothesis.given(st.integers(1, 10_000), NAMES)
def test_backoff_grows_to_thirty_seconds_at_most(failures, host):
    pause = pacing.compute_pause(failures, host)
    assert 0.25 <= pause <= 30.0
    if failures >= 7:
        assert pause >= 15.0


@hypothesis.given(NAMES, st.integers(0, 100))
def test_fallback_never_comes_before_thirty_seconds(host, reads):
    assert 30.0 <= pacing.compute_fallback(host, reads) < 45.0


def test_backoffs_of_hosts_are_spread():
    # Guards against all hosts reading at once after an outage.
    pauses = {round(pacing.compute_pause(8, f"h{n}")) for n in range(200)}
    assert pauses >= set(range(16, 30))


def test_one_watch_is_under_way_at_a_time():
    plan, reads = pacing.plan_reads(create_plan(etag="7"), 0.0, "h1", None)
    assert [r.path for r in reads] == [
        "/v1/watch/manifest?after=7&wait_ms=1000"
    ]
    plan, reads = pacing.plan_reads(plan, 1.0, "h1", None)
    assert reads == []
    plan = pacing.note_result(
        plan, create_result(reads_path(), 304, sent_at=1.0), 1.0, "h1"
    )
    assert pacing.find_plan_time(plan, "h1", None) == 1.25


def reads_path():
    return f"{pacing.WATCH_PATH}?after="


def test_lost_answer_counts_as_a_failure():
    # Guards against a watch that is never sent again after its result was lost.
    plan, _ = pacing.plan_reads(create_plan(), 0.0, "h1", None)
    wake = pacing.find_plan_time(plan, "h1", None)
    assert wake == pacing.PATIENCE_S
    plan, reads = pacing.plan_reads(plan, wake, "h1", None)
    assert (plan.watch.failures, reads) == (1, [])


@hypothesis.given(
    st.lists(st.sampled_from([0, 200, 304, 404, 503]), max_size=30),
    st.booleans(),
)
def test_next_read_is_always_in_the_future(statuses, watching):
    # Guards against a busy loop on a wake time in the past.
    plan, now = create_plan(), 0.0
    quiet = None if watching else 0.0
    for status in statuses:
        plan, reads = pacing.plan_reads(plan, now, "h1", quiet)
        assert pacing.find_plan_time(plan, "h1", quiet) > now
        for read in reads:
            result = create_result(read.path, status, sent_at=now)
            plan = pacing.note_result(plan, result, now, "h1")
        assert pacing.find_plan_time(plan, "h1", quiet) > now
        now = pacing.find_plan_time(plan, "h1", quiet)


def test_repeated_failed_fetches_slow_down_until_one_succeeds():
    plan = create_plan()
    for _ in range(5):
        plan = pacing.note_failed_fetch(plan, 0.0, "h1")
        result = create_result(pacing.MANIFEST_PATH, 200)
        plan = pacing.note_result(plan, result, 0.0, "h1")
    assert plan.poll.failures == 5
    assert pacing.note_in_force(plan, 0.0).poll.failures == 0


def let_watches_fail(plan, count):
    """Returns the plan after failed watches and the time of the last one."""
    now = 0.0
    for _ in range(count):
        now = max(now, plan.watch.next_at)
        plan, reads = pacing.plan_reads(plan, now, "h1", None)
        result = create_result(reads[0].path, 503, sent_at=now)
        plan = pacing.note_result(plan, result, now, "h1")
    return plan, now


def test_a_watcher_reads_again_soon_after_any_outage():
    # Guards against watchers that wait for seconds after the platform is back.
    # A new revision must be in force on every host within 4 s.
    plan, now = let_watches_fail(pacing.note_in_force(create_plan(), 0.0), 9)
    assert plan.watch.next_at <= now + 2.0


def test_a_declaration_from_a_peer_ends_a_long_backoff():
    # Guards against a watcher that starts in an outage, gets the declaration
    # from a peer and still does not read from the platform for up to 30 s.
    plan, now = let_watches_fail(create_plan(), 9)
    assert plan.watch.next_at > now + 4.0
    plan = pacing.note_in_force(plan, now)
    assert plan.watch.next_at <= now + 2.0
    plan, failed = let_watches_fail(plan, 1)
    assert plan.watch.next_at <= failed + 2.0
