import pytest

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry.controllers import carriers as controller
from bramleyfork.entry.decisions import fingerprints
from bramleyfork.entry.decisions import observations as observation_kinds
from tests.entry import boards
from tests.entry import creators
from tests.entry.decisions import (
    test_entry_observations as observation_creators,
)

STREAM = 4


def start(count=3):
    harness = boards.ComponentHarness(controller.Carriers)
    names = [f"s{n}" for n in range(1, count + 1)]
    route = creators.create_gather(count)
    harness.put("route_table", "current", creators.create_table(route))
    for name in names:
        target = creators.create_target(f"t-{name}", name)
        harness.put("listed_targets", target.target, target)
        harness.put("usable", name, (target,))
    harness.step()
    return harness


def call(harness, number=1, count=3, **changes):
    fields = {
        "number": number,
        "request": creators.create_request(7),
        "record_limit": 2,
        "flush_s": 0.03,
        "wait_s": 0.5,
        "attempts": tuple((100 + n, f"t-s{n}") for n in range(1, count + 1)),
    }
    deliver(harness, carrier_records.Call(**(fields | changes)))
    return harness.read_new_records("carried_sends")


def deliver(harness, record):
    harness.append(
        "carried_arrivals",
        carrier_records.ReceivedRecord(stream=STREAM, record=record),
    )
    harness.step()


def answer(harness, send, **changes):
    harness.append("replies", creators.create_reply(send.attempt, **changes))
    harness.step()


def read_results(harness):
    return [
        outgoing.result
        for outgoing in harness.read_new_records("carried_departures")
    ]


def test_attempts_are_made_with_the_time_that_is_left():
    harness = start()
    sends = call(harness)
    assert [send.target.target for send in sends] == ["t-s1", "t-s2", "t-s3"]
    assert all(send.deadline_at == harness.now + 0.5 for send in sends)
    assert len({send.attempt for send in sends}) == 3
    # Attempts for this host's own callers have positive numbers.
    assert all(send.attempt < 0 for send in sends)


def test_replies_that_come_together_are_joined():
    harness = start()
    for index, send in enumerate(call(harness)):
        answer(
            harness, send, body=bytes([97 + index]) * 16, stamp=b"%d" % index
        )
    (result,) = read_results(harness)
    assert result.body == b"c" * 16 + b"b" * 16
    assert result.parts == ((101, b"0"), (102, b"1"), (103, b"2"))
    assert result.failures == ()


def test_a_slow_reply_does_not_hold_up_the_others():
    harness = start()
    sends = call(harness)
    for send in sends[:2]:
        answer(harness, send)
    assert read_results(harness) == []
    harness.step(0.031)
    (result,) = read_results(harness)
    assert [number for number, _ in result.parts] == [101, 102]
    answer(harness, sends[2])
    (late,) = read_results(harness)
    assert [number for number, _ in late.parts] == [103]


def test_a_failure_is_returned_at_once():
    harness = start()
    sends = call(harness)
    harness.append("replies", creators.create_fault(sends[0].attempt, "lost"))
    harness.step()
    (result,) = read_results(harness)
    assert result.failures == ((101, "lost", "MAY_HAVE_RUN"),)


def test_a_target_that_this_host_would_not_use_is_refused_as_not_run():
    # Guards against attempts in an evacuated data centre: the calling host may
    # not have seen the evacuation yet, but the carrier has.
    harness = start()
    harness.put("usable", "s1", ())
    sends = call(harness)
    assert len(sends) == 2
    (result,) = read_results(harness)
    assert result.failures == ((101, "not_usable", "NOT_RUN"),)


def test_an_abort_ends_the_attempts_and_their_replies():
    harness = start()
    sends = call(harness)
    answer(harness, sends[0])
    deliver(harness, carrier_records.Abort(number=1, attempts=(101, 102)))
    assert harness.read_new_records("carried_aborts") == [sends[1].attempt]
    answer(harness, sends[2])
    (result,) = read_results(harness)
    assert [number for number, _ in result.parts] == [103]


def test_the_end_of_a_target_is_returned_for_an_aborted_attempt():
    # Guards against a carried request that is never blamed for the ends of
    # targets that its calling host doesn't wait for.
    harness = start()
    sends = call(harness)
    deliver(harness, carrier_records.Abort(number=1, attempts=(101, 102, 103)))
    harness.append(
        "replies",
        creators.create_fault(sends[0].attempt, "ended"),
        creators.create_fault(sends[1].attempt, "lost"),
    )
    harness.step()
    (result,) = read_results(harness)
    assert result.failures == ((101, "ended", "MAY_HAVE_RUN"),)


def test_a_closed_stream_aborts_its_attempts():
    harness = start()
    sends = call(harness)
    deliver(harness, None)
    assert sorted(harness.read_new_records("carried_aborts")) == sorted(
        send.attempt for send in sends
    )
    assert read_results(harness) == []


def test_calls_of_two_streams_with_one_number_stay_apart():
    harness = start()
    first = call(harness)
    other = carrier_records.Call(
        number=1,
        request=creators.create_request(8),
        record_limit=2,
        flush_s=0.03,
        wait_s=0.5,
        attempts=((901, "t-s1"),),
    )
    harness.append(
        "carried_arrivals",
        carrier_records.ReceivedRecord(stream=9, record=other),
    )
    harness.step()
    (send,) = harness.read_new_records("carried_sends")
    answer(harness, send)
    (outgoing,) = harness.read_new_records("carried_departures")
    assert outgoing.stream == 9
    assert len(first) == 3


@pytest.mark.parametrize("verdict", list(verdicts.Verdict))
def test_a_failure_is_rebuilt_with_its_verdict(verdict):
    reply = carrier_records.build_failure(5, "status_500", verdict.value)
    assert reply.verdict is verdict


def put_crash(harness, request):
    fingerprint = fingerprints.compute_fingerprint(request)
    harness.put(
        "request_observations",
        (observation_kinds.CRASH, fingerprint),
        (
            observation_creators.create_observation(
                subject=fingerprint,
                observed_at=harness.now,
                ends_at=harness.now + 60.0,
            ),
        ),
    )


def test_a_suspect_is_not_sent_to_several_targets_at_once():
    # Guards against a carrier that ends a target for each shard of a request.
    harness = start()
    request = creators.create_request(7)
    put_crash(harness, request)
    assert call(harness, request=request) == []
    (result,) = read_results(harness)
    assert {failure[1:] for failure in result.failures} == {
        ("quarantined", "NOT_RUN")
    }
    other = creators.create_request(8, url=b"/find/other")
    assert len(call(harness, number=2, request=other)) == 3
