import pytest

from bramleyfork.core import verdicts
from bramleyfork.entry import carriage
from bramleyfork.entry.controllers import carriers as controller
from tests.entry import boards
from tests.entry import creators

LINK = 4


def start(count=3):
    fed = boards.FedBoard(controller.Carriers)
    names = [f"s{n}" for n in range(1, count + 1)]
    route = creators.create_gather(count)
    fed.put("route_table", "current", creators.create_table(route))
    for name in names:
        target = creators.create_target(f"t-{name}", name)
        fed.put("listed_targets", target.target, target)
        fed.put("usable", name, (target,))
    fed.step()
    return fed


def call(fed, number=1, count=3, **changes):
    fields = {
        "number": number,
        "request": creators.create_request(7),
        "record_limit": 2,
        "flush_s": 0.03,
        "wait_s": 0.5,
        "attempts": tuple((100 + n, f"t-s{n}") for n in range(1, count + 1)),
    }
    tell(fed, carriage.Call(**(fields | changes)))
    return fed.take("carried_sends")


def tell(fed, record):
    fed.append("carried_arrivals", carriage.Arrival(link=LINK, record=record))
    fed.step()


def answer(fed, send, **changes):
    fed.append("replies", creators.create_reply(send.attempt, **changes))
    fed.step()


def take_results(fed):
    return [departure.result for departure in fed.take("carried_departures")]


def test_attempts_are_made_with_the_time_that_is_left():
    fed = start()
    sends = call(fed)
    assert [send.target.target for send in sends] == ["t-s1", "t-s2", "t-s3"]
    assert all(send.deadline_at == fed.now + 0.5 for send in sends)
    assert len({send.attempt for send in sends}) == 3
    # Own callers' attempts have positive numbers.
    assert all(send.attempt < 0 for send in sends)


def test_replies_that_come_together_are_joined():
    fed = start()
    for index, send in enumerate(call(fed)):
        answer(fed, send, body=bytes([97 + index]) * 16, stamp=b"%d" % index)
    (result,) = take_results(fed)
    assert result.body == b"c" * 16 + b"b" * 16
    assert result.parts == ((101, b"0"), (102, b"1"), (103, b"2"))
    assert result.failures == ()


def test_a_slow_reply_does_not_hold_up_the_others():
    fed = start()
    sends = call(fed)
    for send in sends[:2]:
        answer(fed, send)
    assert take_results(fed) == []
    fed.step(0.031)
    (result,) = take_results(fed)
    assert [number for number, _ in result.parts] == [101, 102]
    answer(fed, sends[2])
    (late,) = take_results(fed)
    assert [number for number, _ in late.parts] == [103]


def test_a_failure_is_returned_at_once():
    fed = start()
    sends = call(fed)
    fed.append("replies", creators.create_fault(sends[0].attempt, "lost"))
    fed.step()
    (result,) = take_results(fed)
    assert result.failures == ((101, "lost", "MAY_HAVE_RUN"),)


def test_a_target_that_this_host_would_not_use_is_refused_as_not_run():
    # Guards against attempts in an evacuated data centre: the calling host may
    # not have seen the evacuation yet, but the carrier has.
    fed = start()
    fed.put("usable", "s1", ())
    sends = call(fed)
    assert len(sends) == 2
    (result,) = take_results(fed)
    assert result.failures == ((101, "not_usable", "NOT_RUN"),)


def test_an_abort_ends_the_attempts_and_their_replies():
    fed = start()
    sends = call(fed)
    answer(fed, sends[0])
    tell(fed, carriage.Abort(number=1, attempts=(101, 102)))
    assert fed.take("carried_aborts") == [sends[1].attempt]
    answer(fed, sends[2])
    (result,) = take_results(fed)
    assert [number for number, _ in result.parts] == [103]


def test_a_closed_stream_aborts_its_attempts():
    fed = start()
    sends = call(fed)
    tell(fed, None)
    assert sorted(fed.take("carried_aborts")) == sorted(
        send.attempt for send in sends
    )
    assert take_results(fed) == []


def test_calls_of_two_streams_with_one_number_stay_apart():
    fed = start()
    first = call(fed)
    other = carriage.Call(
        number=1,
        request=creators.create_request(8),
        record_limit=2,
        flush_s=0.03,
        wait_s=0.5,
        attempts=((901, "t-s1"),),
    )
    fed.append("carried_arrivals", carriage.Arrival(link=9, record=other))
    fed.step()
    (send,) = fed.take("carried_sends")
    answer(fed, send)
    (departure,) = fed.take("carried_departures")
    assert departure.link == 9
    assert len(first) == 3


@pytest.mark.parametrize("verdict", list(verdicts.Verdict))
def test_a_failure_is_rebuilt_with_its_verdict(verdict):
    reply = carriage.build_failure(5, "status_500", verdict.value)
    assert reply.verdict is verdict
