import asyncio
import contextlib

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry.transports import carriers
from tests.entry import component_runner
from tests.entry import creators
from tests.entry import ports


@contextlib.asynccontextmanager
async def run_host():
    address = ("127.0.0.1", ports.find_ports(1)[0])
    settings = creators.create_settings(carrier_address=address)
    context = creators.create_context(settings=settings)
    async with component_runner.run_component(
        carriers.CarrierTransport, context
    ) as harness:
        harness.address = address
        yield harness


def send_through(harness, carrier, *attempts, key=7):
    now = asyncio.get_running_loop().time()
    harness.append(
        "via_sends",
        *(
            carrier_records.CarrierRequest(
                attempt=attempt,
                request=creators.create_request(key, body=b"b"),
                target=creators.create_target(f"t{attempt}"),
                deadline_at=now + 0.5,
                carrier_address=carrier.address,
                record_limit=3,
                flush_s=0.02,
            )
            for attempt in attempts
        ),
    )


async def wait_for_records(harness, section):
    return await component_runner.wait_for(
        lambda: harness.read_new_records(section)
    )


def respond(harness, received, *parts, failures=(), body=b"r" * 16):
    result = carrier_records.Result(
        number=received.record.number,
        parts=parts,
        body=body,
        failures=failures,
    )
    harness.append(
        "carried_departures",
        carrier_records.OutgoingResult(stream=received.stream, result=result),
    )


def run(work):
    asyncio.run(work())


def test_the_attempts_of_a_request_go_in_one_call():
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1, 2, 3)
            (received,) = await wait_for_records(other, "carried_arrivals")
            call = received.record
            assert call.attempts == ((1, "t1"), (2, "t2"), (3, "t3"))
            assert call.request == creators.create_request(7, body=b"b")
            assert 0.3 < call.wait_s <= 0.5
            respond(other, received, (1, b"a"), (3, b"c"))
            (merged,) = await wait_for_records(own, "via_replies")
            assert (merged.key, merged.carrier_address) == (7, other.address)
            assert merged.parts == ((1, b"a"), (3, b"c"))
            assert merged.body == b"r" * 16
            respond(other, received, failures=((2, "lost", "MAY_HAVE_RUN"),))
            (failure,) = await wait_for_records(own, "via_failures")
            assert (failure.attempt, failure.fault) == (2, "lost")

    run(work)


def test_calls_share_a_stream():
    async def work():
        async with run_host() as own, run_host() as other:
            for key in range(3):
                send_through(own, other, 10 * key + 1, 10 * key + 2, key=key)
                await wait_for_records(other, "carried_arrivals")
            assert len(other.component._accepted_streams) == 1

    run(work)


def test_an_abort_reaches_the_other_host():
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1, 2)
            (received,) = await wait_for_records(other, "carried_arrivals")
            own.append("aborts", 1)
            (abort,) = await wait_for_records(other, "carried_arrivals")
            assert abort.record == carrier_records.Abort(
                number=received.record.number, attempts=(1,)
            )

    run(work)


def test_a_failure_of_an_aborted_attempt_is_received():
    # Guards against the end of a target that is forgotten with its attempt.
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1)
            (received,) = await wait_for_records(other, "carried_arrivals")
            own.append("aborts", 1)
            await wait_for_records(other, "carried_arrivals")
            respond(other, received, failures=((1, "ended", "MAY_HAVE_RUN"),))
            (failure,) = await wait_for_records(own, "via_failures")
            assert (failure.attempt, failure.fault) == (1, "ended")

    run(work)


def test_attempts_through_an_unreachable_host_have_not_run():
    async def work():
        async with run_host() as own, run_host() as other:
            other.component.close()
            send_through(own, other, 1, 2)
            failures = await wait_for_records(own, "via_failures")
            assert {f.fault for f in failures} == {"carrier"}
            assert {f.verdict for f in failures} == {verdicts.Verdict.NOT_RUN}

    run(work)


def test_attempts_sent_on_a_lost_stream_may_have_run():
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1, 2)
            await wait_for_records(other, "carried_arrivals")
            other.component.close()
            failures = await wait_for_records(own, "via_failures")
            assert {f.verdict for f in failures} == {
                verdicts.Verdict.MAY_HAVE_RUN
            }

    run(work)


def test_the_end_of_a_stream_is_reported():
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1)
            (received,) = await wait_for_records(other, "carried_arrivals")
            own.component.close()
            (end,) = await wait_for_records(other, "carried_arrivals")
            assert (end.stream, end.record) == (received.stream, None)

    run(work)


def test_attempts_cancelled_while_the_stream_opens_are_not_sent():
    # Guards against work of targets for callers that have disconnected.
    async def work():
        async with run_host() as own, run_host() as other:
            send_through(own, other, 1, 2)
            own.append("aborts", 1)
            (received,) = await wait_for_records(other, "carried_arrivals")
            assert received.record.attempts == ((2, "t2"),)

    run(work)
