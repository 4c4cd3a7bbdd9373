import pytest

from bramleyfork.decisions import shares
from bramleyfork.decisions import warmup

SHARE = shares.Share(
    connections=10, in_flight=4, cold_in_flight=1, cold_rate=10.0
)


def reply(warmup_state, now, *, epoch="e1", state="warm", jumped=False):
    warmup.record_reply(
        warmup_state,
        now=now,
        epoch=epoch,
        reported_state=state,
        cold_period_s=2.0,
        jumped=jumped,
    )


def create_warm():
    warmup_state = warmup.WarmupState()
    reply(warmup_state, 0.0)
    reply(warmup_state, 2.0)
    assert warmup_state.state == warmup.WARM
    return warmup_state


def test_reported_state_alone_does_not_make_a_target_warm():
    # Guards against a cold target that reports itself as warm.
    warmup_state = warmup.WarmupState()
    reply(warmup_state, 0.0, state="warm")
    assert warmup_state.state == warmup.COLD


def test_period_of_successes_makes_it_warm():
    assert create_warm().state == warmup.WARM


@pytest.mark.parametrize(
    "change", [{"epoch": "e2"}, {"state": "cold"}, {"jumped": True}]
)
def test_signs_of_a_cold_start_make_a_target_cold(change):
    warmup_state = create_warm()
    reply(warmup_state, 2.1, **change)
    assert warmup_state.state == warmup.COLD


def test_failure_starts_the_period_again():
    warmup_state = warmup.WarmupState()
    reply(warmup_state, 0.0)
    warmup.mark_cold(warmup_state, "connection refused")
    reply(warmup_state, 1.9)
    reply(warmup_state, 2.1)
    assert warmup_state.state == warmup.COLD


def test_cold_sends_are_paced_by_the_share():
    warmup_state = warmup.WarmupState()
    sent = 0
    now = 0.0
    while now < 1.0:
        due = warmup.find_send_time(
            warmup_state, share=SHARE, in_flight=0, now=now
        )
        if due <= now:
            warmup.record_send(warmup_state, share=SHARE, now=now)
            sent += 1
        now += 0.01
    assert sent == 10


def test_cold_requests_are_spaced_from_the_end_of_a_request():
    # Guards against two requests that reach a cold target together because the
    # first one was delayed.
    warmup_state = warmup.WarmupState()
    warmup.record_send(warmup_state, share=SHARE, now=0.0)
    warmup.record_result(warmup_state, share=SHARE, now=0.09)
    due = warmup.find_send_time(warmup_state, share=SHARE, in_flight=0, now=0.1)
    assert due == pytest.approx(0.19)


def test_cold_target_gets_no_more_than_its_cold_in_flight():
    warmup_state = warmup.WarmupState()
    assert (
        warmup.find_send_time(warmup_state, share=SHARE, in_flight=1, now=0.0)
        is None
    )


def test_stale_warm_target_gets_one_request_first():
    # Guards against a full load on a target that turned cold unnoticed.
    warmup_state = create_warm()
    later = 2.0 + warmup.STALE_AFTER_S
    send = {"share": SHARE, "now": later}
    assert warmup.find_send_time(warmup_state, in_flight=0, **send) == later
    assert warmup.find_send_time(warmup_state, in_flight=1, **send) is None
