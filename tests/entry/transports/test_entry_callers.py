import asyncio
import contextlib

import pytest

from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import lifecycle
from bramleyfork.entry.transports import callers
from bramleyfork.listeners import limits as caller_limits
from tests.entry import component_runner
from tests.entry import creators
from tests.entry import ports

HEAD = b"GET /find/x?q=1 HTTP/1.1\r\nHost: A.example:80\r\n"
VALID = HEAD + b"Request-Id: r1\r\nDeadline-Ms: 500\r\n\r\n"


@contextlib.asynccontextmanager
async def run_callers(**limits):
    (port,) = ports.find_ports(1)
    settings = creators.create_settings(caller_address=("127.0.0.1", port))
    context = creators.create_context(settings=settings)
    async with component_runner.run_component(
        callers.CallerTransport, context
    ) as harness:
        table = creators.create_table(
            creators.create_route(),
            limits=caller_limits.CallerLimits(**limits),
        )
        harness.put("route_table", "current", table)
        await asyncio.sleep(0.01)
        harness.port = port
        yield harness


async def connect(harness):
    return await asyncio.open_connection("127.0.0.1", harness.port)


async def read_response(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return (
        int(head.split(b" ")[1]),
        head,
        await reader.readexactly(length),
    )


async def read_end(reader):
    return await asyncio.wait_for(reader.read(), 3.0)


async def wait_for_request(harness):
    (request,) = await component_runner.wait_for(
        lambda: harness.read_new_records("requests")
    )
    return request


def respond(harness, request, **changes):
    fields = {"key": request.key, "status": 200, "body": b"ok"}
    harness.append("responses", exchanges.Response(**(fields | changes)))


def run(work):
    asyncio.run(work())


def test_a_request_is_read_whole_and_its_response_is_written():
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID)
            request = await wait_for_request(harness)
            assert request.request_id == b"r1"
            assert (request.method, request.url) == (b"GET", b"/find/x?q=1")
            assert (request.host, request.path) == ("a.example", "/find/x")
            assert request.wait_s == 0.5
            respond(harness, request, headers=((b"Stamp", b"s"),))
            status, head, body = await read_response(reader)
            assert (status, body) == (200, b"ok")
            assert b"Stamp: s" in head

    run(work)


def test_a_connection_is_kept_for_the_next_request():
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            for _ in range(3):
                writer.write(VALID)
                respond(harness, await wait_for_request(harness))
                assert (await read_response(reader))[0] == 200

    run(work)


def test_a_request_in_single_bytes_and_chunks_is_read():
    data = (
        b"POST /find/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    )

    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            for byte in data:
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            request = await wait_for_request(harness)
            assert request.body == b"abcde"
            respond(harness, request)
            assert (await read_response(reader))[0] == 200

    run(work)


def test_pipelined_requests_are_answered_in_order():
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID + VALID.replace(b"r1", b"r2"))
            first = await wait_for_request(harness)
            assert harness.read_new_records("requests") == []
            respond(harness, first, body=b"one")
            second = await wait_for_request(harness)
            assert second.request_id == b"r2"
            respond(harness, second, body=b"two")
            assert (await read_response(reader))[2] == b"one"
            assert (await read_response(reader))[2] == b"two"

    run(work)


UPGRADE_OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    "websocket": b"Connection: upgrade\r\nUpgrade: websocket\r\n",
    "several": b"Connection: keep-alive, Upgrade\r\nUpgrade: a/1, b\r\n",
    "with 100-continue": b"Expect: 100-continue\r\nConnection: Upgrade\r\n"
    b"Upgrade: h2c\r\n",
}
FRAMED_BODIES = {
    "length": b"Content-Length: 5\r\n\r\nabcde",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
    b"0\r\n\r\n",
}


@pytest.mark.parametrize("piece_bytes", [1, 7, 10_000])
@pytest.mark.parametrize("framing", FRAMED_BODIES)
@pytest.mark.parametrize("offer", UPGRADE_OFFERS)
def test_a_request_that_offers_an_upgrade_is_read_whole(
    offer, framing, piece_bytes
):
    # Guards against a request that reaches its target without its body, and
    # against a connection that is lost with the next request.
    data = (
        b"POST /find/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        + UPGRADE_OFFERS[offer]
        + FRAMED_BODIES[framing]
    ) + VALID.replace(b"r1", b"r2")

    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            for start in range(0, len(data), piece_bytes):
                writer.write(data[start : start + piece_bytes])
                await asyncio.sleep(0)
            request = await wait_for_request(harness)
            assert (request.method, request.body) == (b"POST", b"abcde")
            respond(harness, request)
            following = await wait_for_request(harness)
            assert following.request_id == b"r2"
            respond(harness, following)
            status, head, _ = await read_response(reader)
            if b"100 Continue" in head:
                status, _, _ = await read_response(reader)
            assert status == 200
            assert (await read_response(reader))[0] == 200

    run(work)


BAD = {
    "tunnel": (
        b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\nRequest-Id: r1\r\n\r\n",
        400,
    ),
    "no syntax": (b"nonsense\r\n\r\n", 400),
    "two lengths": (
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        400,
    ),
    "length and chunks": (
        HEAD
        + b"Request-Id: r1\r\nContent-Length: 3\r\n"
        + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "bad chunk": (
        HEAD + b"Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "no id": (HEAD + b"\r\n", 400),
    "two ids": (HEAD + b"Request-Id: a\r\nRequest-Id: b\r\n\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n", 400),
    "two hosts": (HEAD + b"Host: b\r\nRequest-Id: r1\r\n\r\n", 400),
    "bad deadline": (HEAD + b"Request-Id: r1\r\nDeadline-Ms: x\r\n\r\n", 400),
    "large head": (HEAD + b"A: " + b"a" * 3000 + b"\r\n\r\n", 431),
    "endless head": (HEAD + b"A: " + b"a" * 9000, 431),
    "large body": (
        HEAD + b"Request-Id: r1\r\nContent-Length: 300\r\n\r\n" + b"b" * 300,
        413,
    ),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_is_refused_and_nothing_is_passed_on(name):
    data, expected = BAD[name]

    async def work():
        async with run_callers(header_bytes=2000, body_bytes=200) as harness:
            reader, writer = await connect(harness)
            writer.write(data)
            assert (await read_response(reader))[0] == expected
            assert harness.read_new_records("requests") == []
            # Other connections are still served.
            reader, writer = await connect(harness)
            writer.write(VALID)
            respond(harness, await wait_for_request(harness))
            assert (await read_response(reader))[0] == 200

    run(work)


def test_a_head_that_takes_too_long_is_refused_as_not_run():
    async def work():
        async with run_callers(header_s=0.2) as harness:
            reader, writer = await connect(harness)
            writer.write(HEAD)
            assert (await read_response(reader))[0] == 408

    run(work)


def test_an_idle_connection_is_closed_only_after_the_limit():
    async def work():
        async with run_callers(idle_s=0.5) as harness:
            reader, writer = await connect(harness)
            writer.write(VALID)
            respond(harness, await wait_for_request(harness))
            await read_response(reader)
            began = asyncio.get_running_loop().time()
            assert await read_end(reader) == b""
            assert asyncio.get_running_loop().time() - began >= 0.5

    run(work)


def test_a_caller_that_disconnects_is_reported_at_once():
    async def work():
        async with run_callers() as harness:
            _, writer = await connect(harness)
            writer.write(VALID)
            request = await wait_for_request(harness)
            writer.close()
            gone = await component_runner.wait_for(
                lambda: harness.read_new_records("departures")
            )
            assert gone == [request.key]

    run(work)


def test_the_response_to_a_disconnected_caller_reaches_no_other():
    async def work():
        async with run_callers() as harness:
            _, writer = await connect(harness)
            writer.write(VALID)
            first = await wait_for_request(harness)
            writer.close()
            await component_runner.wait_for(
                lambda: harness.read_new_records("departures")
            )
            reader, other = await connect(harness)
            other.write(VALID.replace(b"r1", b"r2"))
            second = await wait_for_request(harness)
            respond(harness, first, body=b"stale")
            respond(harness, second, body=b"fresh")
            assert (await read_response(reader))[2] == b"fresh"

    run(work)


def test_a_leaving_host_ends_connections_with_their_last_response():
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID)
            request = await wait_for_request(harness)
            harness.put(
                "lifecycle", "current", lifecycle.Phase(phase="leaving")
            )
            await asyncio.sleep(0.02)
            respond(harness, request)
            _, head, _ = await read_response(reader)
            assert b"Connection: close" in head
            assert await read_end(reader) == b""

    run(work)


def test_a_closing_host_ends_idle_connections_and_takes_no_new_ones():
    async def work():
        async with run_callers() as harness:
            idle_reader, _ = await connect(harness)
            reader, busy = await connect(harness)
            busy.write(VALID)
            request = await wait_for_request(harness)
            harness.put(
                "lifecycle", "current", lifecycle.Phase(phase="closing")
            )
            assert await read_end(idle_reader) == b""
            with pytest.raises(ConnectionRefusedError):
                await connect(harness)
            respond(harness, request)
            assert (await read_response(reader))[0] == 200
            await component_runner.wait_for(
                lambda: harness.get("open_work").is_empty
            )

    run(work)


def test_a_leaving_host_counts_each_request_as_it_comes():
    # Guards against a count that is only updated when a response is written.
    async def work():
        async with run_callers() as harness:
            harness.put(
                "lifecycle", "current", lifecycle.Phase(phase="leaving")
            )
            await component_runner.wait_for(lambda: harness.get("open_work"))
            assert harness.get("open_work").is_empty
            _, writer = await connect(harness)
            writer.write(VALID)
            await wait_for_request(harness)
            found = harness.get("open_work")
            assert (found.phase, found.requests) == ("leaving", 1)

    run(work)


def test_expect_100_continue_is_answered_before_the_body():
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(
                HEAD
                + b"Request-Id: r1\r\nExpect: 100-continue\r\n"
                + b"Content-Length: 2\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            assert line.startswith(b"HTTP/1.1 100")
            writer.write(b"ab")
            assert (await wait_for_request(harness)).body == b"ab"

    run(work)


def test_a_large_body_in_one_piece_is_not_a_large_head():
    # Guards against status 431 for a body that arrives apart from its head.
    async def work():
        async with run_callers(
            header_bytes=2000, body_bytes=200_000
        ) as harness:
            reader, writer = await connect(harness)
            writer.write(
                HEAD + b"Request-Id: r1\r\nContent-Length: 150000\r\n\r\n"
            )
            await asyncio.sleep(0.05)
            writer.write(b"b" * 150_000)
            request = await wait_for_request(harness)
            assert len(request.body) == 150_000
            respond(harness, request)
            assert (await read_response(reader))[0] == 200

    run(work)


CHUNKED = HEAD + b"Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "repeated"),
    [
        (HEAD + b"X-Long: ", b"a" * 1024),
        (HEAD, b"X-Field: a\r\n" * 100),
        (CHUNKED + b"1;a=", b"a" * 1024),
        (CHUNKED + b"0\r\n", b"X-Field: a\r\n" * 100),
        (CHUNKED + b"0\r\nX-Long: ", b"a" * 1024),
        (CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    ],
    ids=["line", "head", "extension", "trailers", "trailer", "body"],
)
def test_a_request_without_end_is_refused_and_nothing_is_passed_on(
    begin, repeated
):
    # Guards against a caller that makes the host hold bytes without bound.
    async def work():
        async with run_callers(header_bytes=2048, body_bytes=8192) as harness:
            reader, writer = await connect(harness)
            writer.write(begin)
            sent = 0
            with contextlib.suppress(OSError):
                while sent < 1_000_000 and not reader.at_eof():
                    writer.write(repeated)
                    await writer.drain()
                    sent += len(repeated)
                    await asyncio.sleep(0)
            assert sent < 1_000_000
            assert harness.read_new_records("requests") == []

    run(work)


def test_a_deadline_of_too_many_digits_is_a_long_one():
    # Guards against an error that closes the connection without an answer.
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            head = HEAD + b"Request-Id: r1\r\nDeadline-Ms: "
            writer.write(head + b"9" * 5000 + b"\r\n\r\n")
            request = await wait_for_request(harness)
            assert request.wait_s > 1e9
            respond(harness, request)
            assert (await read_response(reader))[0] == 200

    run(work)


MALFORMED = b"GET /find/x HTTP/1.1\r\nHost: a.example\r\n\r\n"


def test_many_requests_without_an_id_are_answered_without_recursion():
    # Guards against a recursion limit that loses the answers of a step.
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID + MALFORMED * 3000)
            respond(harness, await wait_for_request(harness))
            assert (await read_response(reader))[0] == 200
            for _ in range(3000):
                assert (await read_response(reader))[0] == 400

    run(work)


def test_a_malformed_request_is_refused_after_the_response_before_it():
    # Guards against a connection that closes without the refusal.
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID + b"nonsense\r\n\r\n")
            respond(harness, await wait_for_request(harness))
            assert (await read_response(reader))[0] == 200
            assert (await read_response(reader))[0] == 400
            assert await read_end(reader) == b""

    run(work)


def test_a_refused_body_that_is_still_sent_does_not_hide_the_refusal():
    # Guards against a reset that reaches the caller before the refusal.
    async def work():
        async with run_callers(body_bytes=200) as harness:
            reader, writer = await connect(harness)
            writer.write(
                HEAD + b"Request-Id: r1\r\nContent-Length: 400000\r\n\r\n"
            )
            for _ in range(4):
                writer.write(b"b" * 100_000)
                await asyncio.sleep(0.01)
            assert (await read_response(reader))[0] == 413

    run(work)


def test_responses_that_are_not_read_hold_back_further_requests():
    # Guards against responses without bound in the memory of the process.
    async def work():
        async with run_callers() as harness:
            reader, writer = await connect(harness)
            writer.write(VALID * 50)
            body, count = b"b" * 4_000_000, 0
            while count < 50:
                found = harness.read_new_records("requests")
                if not found:
                    await asyncio.sleep(0.2)
                    found = harness.read_new_records("requests")
                if not found:
                    break
                for request in found:
                    count += 1
                    respond(harness, request, body=body)
                    await asyncio.sleep(0.01)
            assert count < 10
            budget = harness.component.context.connections.budget
            assert budget.held_bytes < 3 * len(body)
            # Once the caller reads, the others are served.
            for _ in range(count):
                assert len((await read_response(reader))[2]) == len(body)
            await wait_for_request(harness)

    run(work)


def test_a_stalled_body_is_refused_as_not_run_to_make_room():
    async def work():
        async with run_callers() as harness:
            budget = harness.component.context.connections.budget
            budget.memory_bytes = 2_000_000
            reader, writer = await connect(harness)
            head = HEAD + b"Request-Id: r1\r\nContent-Length: 1000000\r\n\r\n"
            writer.write(head + b"b" * 900_000)
            await asyncio.sleep(0.4)
            _, other = await connect(harness)
            other.write(head + b"b" * 1_000_000)
            status, answer_head, _ = await read_response(reader)
            assert status == 503
            assert b"Retry-After" in answer_head
            assert len((await wait_for_request(harness)).body) == 1_000_000

    run(work)


def test_a_body_in_chunks_of_a_byte_leaves_turns_for_others():
    # Guards against ordinary requests that wait for a megabyte of tiny chunks,
    # and against a legal request that is not served.
    async def work():
        async with run_callers() as harness:
            _, writer = await connect(harness)
            writer.write(CHUNKED + b"1\r\nb\r\n" * 100_000)
            _, other = await connect(harness)
            other.write(VALID.replace(b"r1", b"r2"))
            assert (await wait_for_request(harness)).request_id == b"r2"
            writer.write(b"0\r\n\r\n")
            assert len((await wait_for_request(harness)).body) == 100_000

    run(work)


def test_a_connection_that_ends_holds_nothing():
    # Guards against memory that stays counted, so that the budget fills up.
    async def work():
        async with run_callers() as harness:
            budget = harness.component.context.connections.budget
            for data in (b"", VALID, HEAD, CHUNKED + b"3\r\nabc", b"\0"):
                _, writer = await connect(harness)
                writer.write(data)
                await asyncio.sleep(0.02)
                assert budget.held_bytes > 0
                writer.transport.abort()
            await component_runner.wait_for(lambda: not budget.held_bytes)
            assert budget.connection_count == 0

    run(work)
