import asyncio
import contextlib

from bramleyfork.core import verdicts
from bramleyfork.entry import carriage
from bramleyfork.entry.transports import carriers
from tests.entry import creators
from tests.entry import live
from tests.entry import ports


@contextlib.asynccontextmanager
async def run_host():
    address = ("127.0.0.1", ports.find_ports(1)[0])
    settings = creators.create_settings(carrier_address=address)
    context = creators.create_context(settings=settings)
    async with live.run_part(carriers.Carriers, context) as fed:
        fed.address = address
        yield fed


def hand_over(fed, via, *attempts, key=7):
    now = asyncio.get_running_loop().time()
    fed.append(
        "via_sends",
        *(
            carriage.CarriedSend(
                attempt=attempt,
                request=creators.create_request(key, body=b"b"),
                target=creators.create_target(f"t{attempt}"),
                deadline_at=now + 0.5,
                via=via.address,
                record_limit=3,
                flush_s=0.02,
            )
            for attempt in attempts
        ),
    )


async def take(fed, section):
    return await live.wait_for(lambda: fed.take(section))


def respond(fed, arrival, *parts, failures=(), body=b"r" * 16):
    result = carriage.Result(
        number=arrival.record.number,
        parts=parts,
        body=body,
        failures=failures,
    )
    fed.append(
        "carried_departures",
        carriage.Departure(link=arrival.link, result=result),
    )


def run(work):
    asyncio.run(work())


def test_the_attempts_of_a_request_go_in_one_call():
    async def work():
        async with run_host() as own, run_host() as other:
            hand_over(own, other, 1, 2, 3)
            (arrival,) = await take(other, "carried_arrivals")
            call = arrival.record
            assert call.attempts == ((1, "t1"), (2, "t2"), (3, "t3"))
            assert call.request == creators.create_request(7, body=b"b")
            assert 0.3 < call.wait_s <= 0.5
            respond(other, arrival, (1, b"a"), (3, b"c"))
            (merged,) = await take(own, "via_replies")
            assert (merged.key, merged.via) == (7, other.address)
            assert merged.parts == ((1, b"a"), (3, b"c"))
            assert merged.body == b"r" * 16
            respond(other, arrival, failures=((2, "lost", "MAY_HAVE_RUN"),))
            (failure,) = await take(own, "via_failures")
            assert (failure.attempt, failure.fault) == (2, "lost")

    run(work)


def test_calls_share_a_stream():
    async def work():
        async with run_host() as own, run_host() as other:
            for key in range(3):
                hand_over(own, other, 10 * key + 1, 10 * key + 2, key=key)
                await take(other, "carried_arrivals")
            assert len(other.part._accepted) == 1

    run(work)


def test_an_abort_reaches_the_other_host():
    async def work():
        async with run_host() as own, run_host() as other:
            hand_over(own, other, 1, 2)
            (arrival,) = await take(other, "carried_arrivals")
            own.append("aborts", 1)
            (abort,) = await take(other, "carried_arrivals")
            assert abort.record == carriage.Abort(
                number=arrival.record.number, attempts=(1,)
            )

    run(work)


def test_attempts_through_an_unreachable_host_have_not_run():
    async def work():
        async with run_host() as own, run_host() as other:
            other.part.close()
            hand_over(own, other, 1, 2)
            failures = await take(own, "via_failures")
            assert {f.fault for f in failures} == {"carrier"}
            assert {f.verdict for f in failures} == {verdicts.Verdict.NOT_RUN}

    run(work)


def test_attempts_sent_on_a_lost_stream_may_have_run():
    async def work():
        async with run_host() as own, run_host() as other:
            hand_over(own, other, 1, 2)
            await take(other, "carried_arrivals")
            other.part.close()
            failures = await take(own, "via_failures")
            assert {f.verdict for f in failures} == {
                verdicts.Verdict.MAY_HAVE_RUN
            }

    run(work)


def test_the_end_of_a_stream_is_reported():
    async def work():
        async with run_host() as own, run_host() as other:
            hand_over(own, other, 1)
            (arrival,) = await take(other, "carried_arrivals")
            own.part.close()
            (end,) = await take(other, "carried_arrivals")
            assert (end.link, end.record) == (arrival.link, None)

    run(work)


def test_attempts_cancelled_while_the_stream_opens_are_not_sent():
    # Guards against work of targets for callers that have disconnected.
    async def work():
        async with run_host() as own, run_host() as other:
            hand_over(own, other, 1, 2)
            own.append("aborts", 1)
            (arrival,) = await take(other, "carried_arrivals")
            assert arrival.record.attempts == ((2, "t2"),)

    run(work)
