import asyncio
import contextlib

import pytest

from bramleyfork.entry import feeds
import platform_settings
import platform_store
from standins.entry import store as stores
from tests.entry import creators
from tests.entry import live
from tests.platform_adapter import test_platform_items as items
from tests.platform_adapter import test_platform_settings as fields


@contextlib.asynccontextmanager
async def run_store():
    store = stores.Store()
    await store.open()
    settings = platform_settings.read_settings(
        fields.FIELDS
        | {"platform": {"address": "{}:{}".format(*store.address)}}
    )
    context = creators.create_context(settings=settings)
    async with live.run_part(platform_store.Store, context) as fed:
        fed.number = 0
        yield fed, store
    await store.close()


async def read(fed, **changes):
    fed.number += 1
    values = {"kind": feeds.LIST, "limit_s": 0.5} | changes
    fed.append("feed_reads", feeds.FeedRead(number=fed.number, **values))
    (result,) = await live.wait_for(lambda: fed.take("feed_results"))
    assert result.number == fed.number
    return result


async def watch(fed, after, wait_s=0.3):
    return await read(
        fed,
        kind=feeds.WATCH,
        after_revision=after,
        wait_s=wait_s,
        limit_s=wait_s + 0.5,
    )


def run(work):
    asyncio.run(work())


def test_a_listing_is_read_page_by_page():
    async def work():
        async with run_store() as (fed, store):
            for number in range(70):
                store.put(f"servers/t{number:02}", items.TARGET)
            first = await read(fed)
            assert first.status == feeds.OK
            assert first.revision == 70
            assert first.next_key == "servers/t49"
            second = await read(fed, after_key=first.next_key)
            assert second.next_key is None
            names = {c.name for c in first.changes + second.changes}
            assert len(names) == 70

    run(work)


def test_a_watch_reports_a_removal():
    async def work():
        async with run_store() as (fed, store):
            store.put("servers/t1", items.TARGET)
            asyncio.get_running_loop().call_later(
                0.05, store.remove, "servers/t1"
            )
            result = await watch(fed, 1)
            (change,) = result.changes
            assert change.is_removed
            assert result.revision == 2

    run(work)


def test_a_watch_without_changes_ends_after_its_wait():
    async def work():
        async with run_store() as (fed, store):
            store.put("servers/t1", items.TARGET)
            result = await watch(fed, 1, wait_s=0.05)
            assert (result.status, result.changes) == (feeds.OK, ())

    run(work)


def test_a_watch_after_a_discarded_revision_fails_as_gone():
    async def work():
        async with run_store() as (fed, store):
            store.put("servers/t1", items.TARGET)
            store.put("servers/t2", items.TARGET)
            store.forget_history()
            assert (await watch(fed, 1)).status == feeds.GONE

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
        async with run_store() as (fed, store):
            store.outage = outage
            assert (await read(fed)).status == expected
            store.outage = ""
            assert (await read(fed)).status == feeds.OK

    run(work)


def test_a_read_from_an_unreachable_store_fails_as_lost():
    async def work():
        async with run_store() as (fed, store):
            await store.close()
            assert (await read(fed)).status == feeds.LOST

    run(work)


def test_calls_share_a_connection():
    async def work():
        async with run_store() as (fed, store):
            for _ in range(4):
                await read(fed)
            assert store._server.connections == 1

    run(work)
