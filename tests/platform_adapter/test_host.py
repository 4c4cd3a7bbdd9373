"""Tests an entry host and the platform's adapters against stand-ins.

The store and the replicas of four shards are stand-ins; the test is the caller.
"""

import asyncio
import contextlib
import json
import signal
from unittest import mock

from bramleyfork.core import module_loading
from bramleyfork.entry import controllers
from bramleyfork.entry import process
from bramleyfork.entry import transports
import platform_directory  # noqa: F401
import platform_headers
import platform_settings
import platform_store  # noqa: F401
from standins.entry import replicas as standins
from standins.entry import store as stores
from tests.entry import component_runner
from tests.entry import ports
from tests.platform_adapter import test_platform_items as items
from tests.platform_adapter import test_platform_settings as fields

module_loading.import_modules(controllers)
module_loading.import_modules(transports)

SHARDS = ("s1", "s2", "s3", "s4")


class HostEnvironment:
    """An entry host, a store and two replicas of each shard."""

    def __init__(self):
        self.store = stores.Store()
        self.replicas = {
            shard + side: standins.Replica(
                name=shard + side,
                records=shard.encode() * 8,
                service_time_s=0.005,
            )
            for shard in SHARDS
            for side in "ab"
        }
        self.host = None
        self.task = None

    async def open(self):
        await self.store.open()
        front, ready, directory, peers, carriers, metrics = ports.find_ports(6)
        address = "127.0.0.1:{}".format
        # The metrics port is fixed on the users' machines. A free port avoids
        # conflicts between test runs on one machine.
        with mock.patch.object(platform_settings, "METRICS_PORT", metrics):
            settings = platform_settings.build_settings(
                fields.FIELDS
                | {
                    "ip": "127.0.0.1",
                    "listen": {
                        "front": address(front),
                        "ready": address(ready),
                        "directory": address(directory),
                    },
                    "internal_ports": [peers, carriers],
                    "seeds": [],
                    "platform": {"address": address(self.store.address[1])},
                }
            )
        self.front, self.ready, self.directory = front, ready, directory
        for name, replica in self.replicas.items():
            await replica.open()
            self.publish_replica(name)
        self.declare()
        self.host = process.Process(
            settings=settings,
            header_names=platform_headers.HEADER_NAMES,
            incarnation=1,
        )
        self.task = asyncio.create_task(self.host.run())
        board = self.host.board
        await component_runner.wait_for(
            lambda: (
                self.check_running()
                and len(board.find_table("usable")) == len(SHARDS)
                and board.find_table("feed_state").get("current")
            )
        )

    def check_running(self):
        """Returns True while the host runs; raises the error that ended it."""
        return self.task.result() if self.task.done() else True

    def publish_replica(self, name, **changes):
        address = "{}:{}".format(*self.replicas[name].address)
        zone = "north" if name.endswith("a") else "south"
        entry = items.TARGET | {
            "service": name[:2],
            "address": address,
            "zone": zone,
        }
        self.store.put(f"servers/{name}", entry | changes)

    def declare(self, version=1, *, one_timeout_ms=900, **route):
        table = items.create_configuration(
            **({"gather": list(SHARDS), "allowed_regions": []} | route)
        )
        table["version"] = version
        table["services"] = [
            items.SERVICE | {"name": shard} for shard in SHARDS
        ]
        table["routes"].append(
            {
                "name": "one",
                "host": "a.example",
                "prefix": "/one/",
                "route_type": "unsafe",
                "timeout_ms": one_timeout_ms,
                "target_latency_ms": 300,
                "priority": 1,
                "service": "s1",
                "max_attempts": 2,
            }
        )
        self.store.put("op/config", table)

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for component in self.host._components:
            component.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()

    async def call(self, port, target, *, method="GET", body=b"", **headers):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = [f"{method} {target} HTTP/1.1", "Host: a.example"]
        lines.extend(f"{k.replace('_', '-')}: {v}" for k, v in headers.items())
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
        status = int(head.split(b" ")[1])
        found = {}
        for line in head.decode().split("\r\n")[1:]:
            name, _, value = line.partition(":")
            found[name.lower()] = value.strip()
        body = await reader.readexactly(int(found.get("content-length", 0)))
        writer.close()
        return status, found, body

    async def query(self, number, **headers):
        values = {"X_Request_Id": f"q{number}", "X_Deadline_Ms": 800}
        return await self.call(self.front, "/x/1", **(values | headers))


@contextlib.asynccontextmanager
async def run_environment():
    environment = HostEnvironment()
    await environment.open()
    try:
        yield environment
    finally:
        await environment.close()


def run(work):
    asyncio.run(work())


def test_a_gather_is_answered_from_all_shards():
    async def work():
        async with run_environment() as environment:
            status, headers, body = await environment.query(1)
            assert status == 200
            assert headers["x-missing-parts"] == "0"
            assert headers["x-request-id"] == "q1"
            assert body == b"".join(
                shard.encode() * 8 for shard in sorted(SHARDS, reverse=True)
            )
            stamps = headers["x-part-stamps"].split(", ")
            assert len(stamps) == len(set(stamps)) == len(SHARDS)

    run(work)


def test_the_host_is_ready_and_named_by_the_directory():
    async def work():
        async with run_environment() as environment:
            assert (await environment.call(environment.ready, "/readiness"))[
                0
            ] == 200
            status, _, body = await environment.call(
                environment.directory,
                "/resolve?name=a.example&region=left&zone=north",
            )
            answer = json.loads(body)
            assert status == 200
            assert answer["addrs"] == [f"127.0.0.1:{environment.front}"]
            assert answer["ttl_s"] > 0

    run(work)


def test_an_unsafe_request_runs_once_though_its_answer_is_lost():
    # Guards against a second attempt of a non-idempotent request after the
    # response to the first one was lost. The first one may have run, so that a
    # repeat could hold the same seat for two callers.
    async def work():
        async with run_environment() as environment:
            for side in "ab":
                environment.replicas["s1" + side].reply_fault = lambda *_: None
            status, _, _ = await environment.call(
                environment.front,
                "/one/1",
                method="POST",
                body=b"seat",
                X_Request_Id="u1",
                X_Deadline_Ms=800,
            )
            assert status == 502
            seen = [
                request
                for side in "ab"
                for request in environment.replicas[
                    "s1" + side
                ].started_requests
            ]
            assert len(seen) == 1
            assert seen[0].body == b"seat"

    run(work)


def test_a_draining_replica_gets_no_new_work():
    async def work():
        async with run_environment() as environment:
            environment.publish_replica("s1a", state="draining")
            await asyncio.sleep(0.5)
            before = len(environment.replicas["s1a"].started_requests)
            for number in range(5):
                assert (await environment.query(number))[0] == 200
            assert len(environment.replicas["s1a"].started_requests) == before

    run(work)


def test_an_evacuated_zone_gets_no_new_work():
    async def work():
        async with run_environment() as environment:
            environment.store.put("op/evacuate/north", {})
            await asyncio.sleep(0.5)
            before = sum(
                len(environment.replicas[s + "a"].started_requests)
                for s in SHARDS
            )
            for number in range(3):
                status, headers, _ = await environment.query(number)
                assert (status, headers["x-missing-parts"]) == (200, "0")
            after = sum(
                len(environment.replicas[s + "a"].started_requests)
                for s in SHARDS
            )
            assert after == before

    run(work)


def test_a_new_configuration_is_in_force_and_an_outage_changes_nothing():
    async def work():
        async with run_environment() as environment:
            environment.declare(2, prefix="/y/")
            await asyncio.sleep(0.5)
            assert (await environment.query(1))[0] == 404
            environment.store.outage = "busy"
            await asyncio.sleep(0.5)
            status, _, _ = await environment.call(
                environment.front, "/y/1", X_Request_Id="q2", X_Deadline_Ms=800
            )
            assert status == 200

    run(work)


def test_odd_entries_of_another_writer_do_not_stop_the_host():
    # Guards against a list of targets that is not followed any more.
    async def work():
        async with run_environment() as environment:
            nested = []
            for _ in range(300):
                nested = [nested]
            odd = {
                "service": nested,
                "slots": 10**300,
                "address": "1.2.3.4:99999",
            }
            for number, (name, value) in enumerate(odd.items()):
                entry = items.TARGET | {"service": "s1", name: value}
                environment.store.put(f"servers/odd{number}", entry)
            environment.publish_replica("s1a", state="draining")
            await component_runner.wait_for(
                lambda: (
                    [
                        t.target
                        for t in environment.host.board.find_table(
                            "usable"
                        ).get("s1")
                    ]
                    == ["s1b"]
                )
            )
            assert (await environment.query(1))[0] == 200

    run(work)


def test_a_stalled_replica_does_not_make_the_answer_partial():
    async def work():
        async with run_environment() as environment:
            environment.replicas["s2a"].service_time_s = 5.0
            status, headers, _ = await environment.query(1)
            assert (status, headers["x-missing-parts"]) == (200, "0")

    run(work)


def test_a_host_told_to_end_finishes_its_work():
    # Guards against requests that fail because the host stops serving before
    # callers have stopped using it.
    async def work():
        async with run_environment() as environment:
            for replica in environment.replicas.values():
                replica.service_time_s = 0.2
            under_way = asyncio.create_task(environment.query(1))
            await component_runner.wait_for(
                lambda: environment.replicas["s1a"].started_requests
            )
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            assert (await environment.call(environment.ready, "/readiness"))[
                0
            ] == 503
            status, headers, _ = await under_way
            assert status == 200
            assert headers["connection"] == "close"
            assert (await environment.query(2))[0] == 200

    run(work)


def test_requests_that_come_late_in_the_grace_are_answered():
    # Guards against requests that are cut off when the process ends.
    async def work():
        async with run_environment() as environment:
            environment.declare(version=2, one_timeout_ms=8000)
            await asyncio.sleep(0.2)
            for replica in environment.replicas.values():
                replica.service_time_s = 3.0
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(4.0)
            tasks = [
                asyncio.create_task(
                    environment.call(
                        environment.front,
                        "/one/1",
                        method="POST",
                        X_Request_Id=f"p{number}",
                        X_Deadline_Ms="5000",
                    )
                )
                for number in range(4)
            ]
            found = await asyncio.gather(*tasks)
            await asyncio.wait_for(environment.task, 3.0)
            statuses = [status for status, _, _ in found]
            assert set(statuses) <= {502, 503, 504}, statuses

    run(work)


def add_headers(*headers, status=None):
    """Returns a fault that adds headers to replies."""

    def alter(request, reply):
        del request
        reply.headers = (*reply.headers, *headers)
        reply.status = status or reply.status
        return reply

    return alter


def test_a_replica_that_says_it_leaves_gets_no_new_work():
    # Guards against a target that leaves before the store says so.
    async def work():
        async with run_environment() as environment:
            leaving = environment.replicas["s1a"]
            leaving.reply_fault = add_headers(("Server-Leaving", "1"))
            for number in range(20):
                await environment.query(number)
            runs = len(leaving.started_requests)
            assert runs in (1, 2)
            for number in range(20):
                _, headers, _ = await environment.query(100 + number)
                assert headers["x-missing-parts"] == "0"
            assert len(leaving.started_requests) == runs

    run(work)


def test_replicas_that_ask_for_a_pause_get_nothing_until_its_end():
    # Guards against requests in a pause for lack of other targets.
    async def work():
        async with run_environment() as environment:
            loop = asyncio.get_running_loop()
            paused = [environment.replicas["s1" + side] for side in "ab"]
            for replica in paused:
                replica.reply_fault = add_headers(
                    ("X-Not-Executed", "1"), ("Retry-After", "1.5"), status=503
                )

            def count_runs():
                return sum(len(replica.started_requests) for replica in paused)

            start_at = loop.time()
            while loop.time() < start_at + 0.5:
                await environment.query(0)
            before = count_runs()
            assert before >= 2
            while loop.time() < start_at + 1.4:
                await environment.query(1)
            assert count_runs() == before
            for replica in paused:
                replica.reply_fault = None
            await asyncio.sleep(0.6)
            _, headers, _ = await environment.query(2)
            assert headers["x-missing-parts"] == "0"

    run(work)


def test_a_store_that_comes_back_from_a_copy_takes_nothing_back():
    # Guards against a configuration, an evacuation or a drain that ends as the
    # store goes back, and against writes that are ignored after it.
    async def work():
        async with run_environment() as environment:
            store = environment.store
            copy = store.copy()
            environment.declare(2, prefix="/y/")
            store.put("op/evacuate/north", {})
            environment.publish_replica("s1b", state="draining")
            environment.publish_replica("s1a", zone="south")
            await asyncio.sleep(0.6)
            assert (await environment.query(1))[0] == 404
            before = store.copy()
            store.restore(copy)
            await asyncio.sleep(0.8)
            board = environment.host.board
            assert board.find_table("route_table").get("current").version == 2
            assert board.find_table("evacuations").get("north")
            listed = board.find_table("listed_targets")
            assert listed.get("s1b").is_draining
            store.write_again(before, copy)
            await asyncio.sleep(0.8)
            state = board.find_table("feed_state").get("current")
            assert state.position == (1, store.revision)
            assert listed.get("s1a").data_centre == "south"
            environment.declare(3, prefix="/x/")
            store.remove("op/evacuate/north")
            await asyncio.sleep(0.8)
            assert board.find_table("route_table").get("current").version == 3
            assert board.find_table("evacuations").get("north") is None

    run(work)


def test_a_restored_store_is_read_a_few_times_and_its_next_write_counts():
    # Guards against 410 and old listings that alternate without a pause: one
    # host made 2,221 calls in the two seconds of this test.
    async def work():
        async with run_environment() as environment:
            store = environment.store
            copy = store.copy()
            for slots in range(1, 21):
                environment.publish_replica("s1a", slots=slots)
            environment.declare(2, prefix="/y/")
            await asyncio.sleep(0.8)
            before = len(store.calls)
            store.restore(copy)
            await asyncio.sleep(1.0)
            environment.declare(3, prefix="/x/")
            await asyncio.sleep(1.0)
            table = environment.host.board.find_table("route_table")
            assert table.get("current").version == 3
            assert len(store.calls) - before < 20

    run(work)
