import asyncio
import json

from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry.transports import metrics
from tests.entry import component_runner
from tests.entry import creators
from tests.entry import ports
from tests.entry.transports import test_entry_callers as callers


async def fetch(port, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    status, _, body = await callers.read_response(reader)
    writer.close()
    return status, body.decode()


def ask(path):
    async def work():
        port = ports.find_ports(1)[0]
        settings = creators.create_settings(metrics_address=("127.0.0.1", port))
        context = creators.create_context(settings=settings)
        context.metrics.count("requests_finished", "complete")
        context.metrics.observe("request_duration_seconds", 0.03)
        async with component_runner.run_component(
            metrics.MetricsServer, context
        ) as harness:
            harness.put("usable", "s1", (creators.create_target("t1"),))
            harness.put("usable", "s2", ())
            table = creators.create_table(creators.create_route(), version=7)
            assert isinstance(table, declarations.RouteTable)
            harness.put("route_table", "current", table)
            harness.put(
                "feed_state",
                "current",
                feeds.FeedState(revision=9, synced_at=0.0, is_lost=False),
            )
            return await fetch(port, path)

    return asyncio.run(work())


def test_counters_gauges_and_histograms_are_served():
    status, text = ask("/metrics")
    assert status == 200
    for line in (
        'bramleyfork_requests_finished_total{outcome="complete"} 1',
        "bramleyfork_configuration_version 7",
        "bramleyfork_services_without_target 1",
        'bramleyfork_request_duration_seconds_bucket{le="0.025"} 0',
        'bramleyfork_request_duration_seconds_bucket{le="+Inf"} 1',
        "bramleyfork_request_duration_seconds_count 1",
    ):
        assert line in text


def test_the_state_is_served_as_plain_values():
    status, text = ask("/state")
    state = json.loads(text)
    assert status == 200
    assert state["services"] == {"s1": ["t1"], "s2": []}
    assert state["feed_revision"] == 9


def test_other_paths_are_unknown():
    assert ask("/other")[0] == 404
