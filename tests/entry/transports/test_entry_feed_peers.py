import asyncio
import contextlib
import struct

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.entry import feeds
from bramleyfork.entry.transports import _record_codec
from bramleyfork.entry.transports import feed_peers
from tests.entry import component_runner
from tests.entry import creators
from tests.entry import ports
from tests.entry.controllers import test_entry_feed as feed_tests


@contextlib.asynccontextmanager
async def run_peer():
    address = ("127.0.0.1", ports.find_ports(1)[0])
    settings = creators.create_settings(peer_address=address)
    context = creators.create_context(settings=settings)
    async with component_runner.run_component(
        feed_peers.FeedPeerTransport, context
    ) as harness:
        harness.address = address
        harness.number = 0
        yield harness


@contextlib.asynccontextmanager
async def run_pair():
    async with run_peer() as source, run_peer() as reader:
        set_feed(source, 5)
        yield source, reader


def set_feed(harness, revision, *found, **state):
    for change in found:
        harness.put("feed_entries", change.key, change)
    fields = {
        "revision": revision,
        "synced_at": asyncio.get_running_loop().time(),
        "is_lost": False,
    }
    harness.put("feed_state", "current", feeds.FeedState(**(fields | state)))


async def read(harness, source, **fields):
    harness.number += 1
    values = {"kind": feeds.LIST, "limit_s": 1.0, "source": source.address}
    harness.append(
        "feed_reads", feeds.FeedRead(number=harness.number, **(values | fields))
    )
    (result,) = await component_runner.wait_for(
        lambda: harness.read_new_records("peer_feed_results")
    )
    assert result.number == harness.number
    return result


async def watch(harness, source, after, wait_s=0.5):
    return await read(
        harness, source, kind=feeds.WATCH, after_revision=after, wait_s=wait_s
    )


def run(work):
    asyncio.run(work())


def test_a_listing_holds_everything_but_removals():
    async def work():
        async with run_pair() as (source, reader):
            table = feed_tests.change_routes(3, 4)
            target = feed_tests.change_target("a", 5)
            gone = feed_tests.change_target("b", 6, is_removed=True)
            set_feed(source, 6, table, target, gone)
            result = await read(reader, source)
            assert (result.status, result.revision) == (feeds.OK, 6)
            assert result.changes == (table, target)

    run(work)


def test_a_watch_returns_a_change_at_once():
    async def work():
        async with run_pair() as (source, reader):
            gone = feed_tests.change_target("b", 6, is_removed=True)
            asyncio.get_running_loop().call_later(
                0.05, set_feed, source, 6, gone
            )
            began = asyncio.get_running_loop().time()
            result = await watch(reader, source, 5, wait_s=0.9)
            assert result.changes == (gone,)
            assert asyncio.get_running_loop().time() - began < 0.5

    run(work)


def test_a_watch_without_a_change_returns_the_age_of_the_feed():
    async def work():
        async with run_pair() as (source, reader):
            now = asyncio.get_running_loop().time()
            set_feed(source, 5, synced_at=now - 1.0)
            result = await watch(reader, source, 5, wait_s=0.1)
            assert (result.status, result.changes) == (feeds.OK, ())
            assert 1.0 < result.age_s < 1.6

    run(work)


@pytest.mark.parametrize(
    "state",
    [{"is_lost": True}, {"synced_at": -99.0}, {"hops": feeds.UNREACHABLE_HOPS}],
)
def test_a_host_with_a_stale_feed_refuses_reads(state):
    # Guards against hosts that read the feed from one another and take their
    # outdated copies for the state of the store.
    async def work():
        async with run_pair() as (source, reader):
            set_feed(source, 5, **state)
            assert (await read(reader, source)).status == feeds.REFUSED

    run(work)


def test_a_watch_is_refused_when_the_source_loses_its_own_source():
    async def work():
        async with run_pair() as (source, reader):
            task = asyncio.create_task(watch(reader, source, 5, wait_s=0.9))
            await asyncio.sleep(0.05)
            begun = asyncio.get_running_loop().time()
            set_feed(source, 5, hops=feeds.UNREACHABLE_HOPS)
            assert (await task).status == feeds.REFUSED
            assert asyncio.get_running_loop().time() - begun < 0.5

    run(work)


def test_a_watch_on_a_closed_stream_is_lost_at_once():
    # Guards against hosts that get no updates for the length of a watch after
    # their connections were reset (waagner-bramley-grown, trouble-1).
    async def work():
        async with run_pair() as (source, reader):
            task = asyncio.create_task(watch(reader, source, 5, wait_s=0.9))
            await asyncio.sleep(0.05)
            begun = asyncio.get_running_loop().time()
            for stream in list(source.component._accepted_streams):
                stream.close()
            assert (await task).status == feeds.LOST
            assert asyncio.get_running_loop().time() - begun < 0.5
            assert (await read(reader, source)).status == feeds.OK

    run(work)


def test_a_result_contains_the_hops_to_the_store():
    async def work():
        async with run_pair() as (source, reader):
            set_feed(source, 5, hops=2, hop_limit=3)
            assert (await read(reader, source)).hops == 2

    run(work)


def test_a_watch_after_a_compacted_revision_is_gone():
    async def work():
        async with run_pair() as (source, reader):
            set_feed(source, 9, compact_revision=7)
            assert (await watch(reader, source, 6)).status == feeds.GONE

    run(work)


def test_a_result_contains_the_time_until_a_target_is_warm():
    async def work():
        async with run_pair() as (source, reader):
            now = asyncio.get_running_loop().time()
            set_feed(
                source, 6, feed_tests.change_target("a", 6, warm_at=now + 2.0)
            )
            (change,) = (await read(reader, source)).changes
            assert change.content.warm_at == pytest.approx(now + 2.0, abs=0.2)

    run(work)


def test_a_result_contains_the_remaining_removal_grace():
    async def work():
        async with run_pair() as (source, reader):
            now = asyncio.get_running_loop().time()
            set_feed(source, 6, removal_grace_until=now + 2.0)
            assert 1.5 < (await read(reader, source)).lapse_s <= 2.0

    run(work)


def test_a_read_of_a_closed_source_is_lost_and_another_one_answers():
    async def work():
        async with run_pair() as (source, reader), run_peer() as other:
            set_feed(other, 8)
            assert (await read(reader, source)).revision == 5
            source.component.close()
            await asyncio.sleep(0.05)
            result = await read(reader, source, limit_s=0.3)
            assert result.status == feeds.LOST
            assert (await read(reader, other)).revision == 8

    run(work)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!I", 2**31),
        # A read is small, so a host can't be made to hold megabytes of it.
        struct.pack("!I", 1024 * 1024),
        struct.pack("!I", 3) + b"\xc1\xc1\xc1",
        struct.pack("!I", 1) + b"\x07",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_a_stream_with_invalid_data_is_closed(data):
    async def work():
        async with run_pair() as (source, reader):
            stream, writer = await asyncio.open_connection(*source.address)
            writer.write(data)
            assert await asyncio.wait_for(stream.read(), 2.0) == b""
            assert (await read(reader, source)).status == feeds.OK

    run(work)


def test_an_encoded_record_is_decoded_unchanged():
    change = feed_tests.change_routes(3, 4)
    assert _record_codec.decode(_record_codec.encode(change)) == change


@hypothesis.given(data=strategies.binary(max_size=80))
def test_any_bytes_decode_or_are_refused(data):
    with contextlib.suppress(_record_codec.RecordDecodeError):
        _record_codec.decode(data)


@pytest.mark.parametrize(
    "fields",
    [["Unknown"], ["Change", 1], [], ["Share", 1, 2, 3]],
)
def test_unknown_records_are_refused(fields):
    data = _record_codec.msgpack.packb(
        _record_codec.msgpack.ExtType(1, _record_codec.msgpack.packb(fields))
    )
    with pytest.raises(_record_codec.RecordDecodeError):
        _record_codec.decode(data)


def test_a_reader_of_an_older_era_is_told_to_list_again():
    async def work():
        async with run_pair() as (source, reader):
            set_feed(source, 3, era=2)
            result = await watch(reader, source, 5)
            assert result.status == feeds.GONE
            listing = await read(reader, source)
            assert (listing.status, listing.era) == (feeds.OK, 2)

    run(work)


def test_a_source_of_an_older_era_refuses_a_reader():
    # Guards against revisions of two eras that are taken for one order.
    async def work():
        async with run_pair() as (source, reader):
            set_feed(source, 9, era=1)
            result = await read(
                reader,
                source,
                kind=feeds.WATCH,
                after_revision=3,
                after_era=2,
                wait_s=0.3,
            )
            assert result.status == feeds.REFUSED

    run(work)


def test_a_watch_in_an_era_returns_no_removals_of_earlier_ones():
    async def work():
        async with run_pair() as (source, reader):
            old = feed_tests.change_target("a", 9, is_removed=True)
            new = feed_tests.change_target("b", 4).replace(era=1)
            set_feed(source, 4, old, new, era=1)
            result = await read(
                reader,
                source,
                kind=feeds.WATCH,
                after_revision=3,
                after_era=1,
                wait_s=0.3,
            )
            assert result.changes == (new,)

    run(work)
