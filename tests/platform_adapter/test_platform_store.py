import asyncio
import contextlib

import pytest

from bramleyfork.entry import feeds
import platform_settings
import platform_store
from standins.entry import store as stores
from tests.entry import component_runner
from tests.entry import creators
from tests.platform_adapter import test_platform_items as items
from tests.platform_adapter import test_platform_settings as fields


@contextlib.asynccontextmanager
async def run_store():
    store = stores.Store()
    await store.open()
    settings = platform_settings.build_settings(
        fields.FIELDS
        | {"platform": {"address": "{}:{}".format(*store.address)}}
    )
    context = creators.create_context(settings=settings)
    async with component_runner.run_component(
        platform_store.StoreClient, context
    ) as harness:
        harness.number = 0
        yield harness, store
    await store.close()


async def read(harness, **changes):
    harness.number += 1
    values = {"kind": feeds.LIST, "limit_s": 0.5} | changes
    harness.append(
        "feed_reads", feeds.FeedRead(number=harness.number, **values)
    )
    (result,) = await component_runner.wait_for(
        lambda: harness.read_new_records("feed_results")
    )
    assert result.number == harness.number
    return result


async def watch(harness, after, wait_s=0.3):
    return await read(
        harness,
        kind=feeds.WATCH,
        after_revision=after,
        wait_s=wait_s,
        limit_s=wait_s + 0.5,
    )


def run(work):
    asyncio.run(work())


def test_a_listing_is_read_page_by_page():
    async def work():
        async with run_store() as (harness, store):
            for number in range(70):
                store.put(f"servers/t{number:02}", items.TARGET)
            first = await read(harness)
            assert first.status == feeds.OK
            assert first.revision == 70
            assert first.next_key == "servers/t49"
            second = await read(harness, after_key=first.next_key)
            assert second.next_key is None
            names = {c.name for c in first.changes + second.changes}
            assert len(names) == 70

    run(work)


def test_a_watch_reports_a_removal():
    async def work():
        async with run_store() as (harness, store):
            store.put("servers/t1", items.TARGET)
            asyncio.get_running_loop().call_later(
                0.05, store.remove, "servers/t1"
            )
            result = await watch(harness, 1)
            (change,) = result.changes
            assert change.is_removed
            assert result.revision == 2

    run(work)


def test_a_watch_without_changes_ends_after_its_wait():
    async def work():
        async with run_store() as (harness, store):
            store.put("servers/t1", items.TARGET)
            result = await watch(harness, 1, wait_s=0.05)
            assert (result.status, result.changes) == (feeds.OK, ())

    run(work)


def test_a_watch_after_a_discarded_revision_fails_as_gone():
    async def work():
        async with run_store() as (harness, store):
            store.put("servers/t1", items.TARGET)
            store.put("servers/t2", items.TARGET)
            store.forget_history()
            assert (await watch(harness, 1)).status == feeds.GONE

    run(work)


@pytest.mark.parametrize(
    ("outage", "expected"),
    [
        ("busy", feeds.REFUSED),
        ("many", feeds.REFUSED),
        ("reset", feeds.LOST),
        ("silent", feeds.LOST),
    ],
)
def test_reads_fail_during_an_outage_and_succeed_after_it(outage, expected):
    async def work():
        async with run_store() as (harness, store):
            store.outage = outage
            assert (await read(harness)).status == expected
            store.outage = ""
            assert (await read(harness)).status == feeds.OK

    run(work)


def test_a_read_from_an_unreachable_store_fails_as_lost():
    async def work():
        async with run_store() as (harness, store):
            await store.close()
            assert (await read(harness)).status == feeds.LOST

    run(work)


def test_calls_share_a_connection():
    async def work():
        async with run_store() as (harness, store):
            for _ in range(4):
                await read(harness)
            assert store._server.connections == 1

    run(work)


def test_the_era_of_the_store_is_read():
    async def work():
        async with run_store() as (harness, store):
            store.put("servers/t1", items.TARGET)
            assert (await read(harness)).era == 0
            copy = store.copy()
            store.put("servers/t2", items.TARGET)
            store.restore(copy)
            gone = await watch(harness, 2)
            assert gone.status == feeds.GONE
            result = await read(harness)
            assert (result.era, result.revision) == (1, 1)
            assert [change.era for change in result.changes] == [1]

    run(work)


@pytest.mark.parametrize("era", ["x", "-1", "1.5", "", "9" * 5000])
def test_an_era_that_is_no_whole_number_is_a_failed_read(era):
    # Guards against an era of 0 in place of an error, which looks like an old
    # answer, and against an exception.
    async def work():
        async with run_store() as (harness, store):
            store.era = era
            result = await read(harness)
            assert result.status == feeds.LOST
            assert "era" in result.detail

    run(work)
