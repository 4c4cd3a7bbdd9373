import hypothesis
from hypothesis import strategies as st

from bramleyfork.core import platform_calls
from bramleyfork.decisions import platform_polling

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


def create_schedule(**fields):
    return platform_polling.ManifestSchedule(
        watch=platform_polling.ReadSchedule(),
        poll=platform_polling.ReadSchedule(),
        **fields,
    )


@hypothesis.given(st.integers(1, 10_000), NAMES)
def test_backoff_grows_to_thirty_seconds_at_most(failures, host):
    backoff_s = platform_polling.compute_backoff(failures, host)
    assert 0.25 <= backoff_s <= 30.0
    if failures >= 7:
        assert backoff_s >= 15.0


@hypothesis.given(NAMES, st.integers(0, 100))
def test_fallback_never_comes_before_thirty_seconds(host, reads):
    assert 30.0 <= platform_polling.compute_fallback(host, reads) < 45.0


def test_backoffs_of_hosts_are_spread():
    # Guards against all hosts reading at once after an outage.
    backoffs = {
        round(platform_polling.compute_backoff(8, f"h{n}")) for n in range(200)
    }
    assert backoffs >= set(range(16, 30))


def test_one_watch_is_under_way_at_a_time():
    schedule, reads = platform_polling.plan_reads(
        create_schedule(etag="7"), 0.0, "h1", None
    )
    assert [r.path for r in reads] == [
        "/v1/watch/manifest?after=7&wait_ms=1000"
    ]
    schedule, reads = platform_polling.plan_reads(schedule, 1.0, "h1", None)
    assert reads == []
    schedule = platform_polling.apply_result(
        schedule, create_result(get_watch_path(), 304, sent_at=1.0), 1.0, "h1"
    )
    assert platform_polling.find_plan_time(schedule, "h1", None) == 1.25


def get_watch_path():
    return f"{platform_polling.WATCH_PATH}?after="


def test_lost_answer_counts_as_a_failure():
    # Guards against a watch that is never sent again after its result was lost.
    schedule, _ = platform_polling.plan_reads(
        create_schedule(), 0.0, "h1", None
    )
    wake = platform_polling.find_plan_time(schedule, "h1", None)
    assert wake == platform_polling.RESULT_TIMEOUT_S
    schedule, reads = platform_polling.plan_reads(schedule, wake, "h1", None)
    assert (schedule.watch.failures, reads) == (1, [])


@hypothesis.given(
    st.lists(st.sampled_from([0, 200, 304, 404, 503]), max_size=30),
    st.booleans(),
)
def test_next_read_is_always_in_the_future(statuses, watching):
    # Guards against a busy loop on a wake time in the past.
    schedule, now = create_schedule(), 0.0
    last_watcher_message_at = None if watching else 0.0
    for status in statuses:
        schedule, reads = platform_polling.plan_reads(
            schedule, now, "h1", last_watcher_message_at
        )
        assert (
            platform_polling.find_plan_time(
                schedule, "h1", last_watcher_message_at
            )
            > now
        )
        for read in reads:
            result = create_result(read.path, status, sent_at=now)
            schedule = platform_polling.apply_result(
                schedule, result, now, "h1"
            )
        assert (
            platform_polling.find_plan_time(
                schedule, "h1", last_watcher_message_at
            )
            > now
        )
        now = platform_polling.find_plan_time(
            schedule, "h1", last_watcher_message_at
        )


def test_repeated_failed_fetches_slow_down_until_one_succeeds():
    schedule = create_schedule()
    for _ in range(5):
        schedule = platform_polling.apply_failed_fetch(schedule, 0.0, "h1")
        result = create_result(platform_polling.MANIFEST_PATH, 200)
        schedule = platform_polling.apply_result(schedule, result, 0.0, "h1")
    assert schedule.poll.failures == 5
    assert platform_polling.apply_activation(schedule, 0.0).poll.failures == 0


def let_watches_fail(schedule, count):
    """Returns the schedule after failed watches and the last one's time."""
    now = 0.0
    for _ in range(count):
        now = max(now, schedule.watch.next_at)
        schedule, reads = platform_polling.plan_reads(schedule, now, "h1", None)
        result = create_result(reads[0].path, 503, sent_at=now)
        schedule = platform_polling.apply_result(schedule, result, now, "h1")
    return schedule, now


def test_a_watcher_reads_again_soon_after_any_outage():
    # Guards against watchers that wait for seconds after the platform is back.
    # A new revision must be in force on every host within 4 s.
    schedule, now = let_watches_fail(
        platform_polling.apply_activation(create_schedule(), 0.0), 9
    )
    assert schedule.watch.next_at <= now + 2.0


def test_a_declaration_from_a_peer_ends_a_long_backoff():
    # Guards against a watcher that starts in an outage, gets the declaration
    # from a peer and still does not read from the platform for up to 30 s.
    schedule, now = let_watches_fail(create_schedule(), 9)
    assert schedule.watch.next_at > now + 4.0
    schedule = platform_polling.apply_activation(schedule, now)
    assert schedule.watch.next_at <= now + 2.0
    schedule, failed = let_watches_fail(schedule, 1)
    assert schedule.watch.next_at <= failed + 2.0
