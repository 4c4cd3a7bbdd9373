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


def test_a_watch_hears_of_changes_and_removals():
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


def test_a_quiet_watch_ends_without_changes():
    async def work():
        async with run_store() as (harness, store):
            store.put("servers/t1", items.TARGET)
            result = await watch(harness, 1, wait_s=0.05)
            assert (result.status, result.changes) == (feeds.OK, ())

    run(work)


def test_history_that_is_gone_is_told():
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
def test_an_outage_is_told_and_its_end_is_noticed(outage, expected):
    async def work():
        async with run_store() as (harness, store):
            store.outage = outage
            assert (await read(harness)).status == expected
            store.outage = ""
            assert (await read(harness)).status == feeds.OK

    run(work)


def test_a_store_that_is_not_there_is_told():
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
