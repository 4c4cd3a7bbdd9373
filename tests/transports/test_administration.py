import logging
import math

import pytest
import urllib3

from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import instruments
from bramleyfork.core import logs
from bramleyfork.core import messages
from bramleyfork.core import replies
from bramleyfork.core import verdicts
from bramleyfork.transports import administration
from bramleyfork.transports import metrics
from tests import boards


class Component:
    """A controller with counters and a transport with metrics."""

    name = "routing"

    def __init__(self):
        self.counters = {"hedges": 3, "replies": {"ok": 5, "shed": 1}}
        self.metrics = metrics.QueryMetrics()


def create_answer(code, verdict, coverage):
    return replies.Answer(
        query_id="q",
        verdict=verdicts.Verdict(verdict),
        code=code,
        snapshot=None,
        coverage=coverage,
        missing=(),
        records=(),
    )


def fill_board(harness):
    recent = logs.RecentDecisions()
    recent.emit(logging.makeLogRecord({"msg": "caller placed", "hosts": ["a"]}))
    component = Component()
    component.metrics.observe(create_answer("ok", "RAN", 1), 0.055)
    component.metrics.observe(create_answer("no_lease", "NOT_RUN", 0.0), 0.001)
    harness.put(
        "instruments",
        "current",
        instruments.collect_instruments(recent, [component, object()]),
    )
    harness.put("declaration", "in_force", boards.create_active_declaration())
    rejected = declarations.RejectedConfiguration(
        revision=4, digest="d4", reason="hosts.toml: no", refused_at=1.0
    )
    harness.put("declaration", "refused", rejected)
    harness.put(
        "lease", "current", fleet.Lease(expires_at=math.inf, source="x")
    )
    status = fleet.TargetStatus(
        target="t",
        state="leaving",
        reason="listed",
        epoch=None,
        holdings=(),
        heard_at=-math.inf,
    )
    harness.put("targets", "t", status)


@pytest.fixture(scope="module")
def client():
    harness = boards.DaemonBoardHarness()
    transport = administration.AdministrationTransport(
        board=harness.board,
        settings=boards.create_settings(),
        clock=clocks.SystemClock(),
    )
    fill_board(harness)
    notice = messages.TargetNotice(to="*", target="t", state="cold", epoch="e")
    harness.append("targets_out", notice)
    transport.start()
    pool = urllib3.PoolManager(retries=False)

    def request(path, method="GET"):
        return pool.request(method, f"http://{transport.address}{path}")

    yield request
    transport.stop()


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "HEAD", "PATCH"])
@pytest.mark.parametrize("path", ["/v1/state", "/metrics"])
def test_only_reading_is_allowed(client, method, path):
    # Guards against a way to change state other than the published files.
    assert client(path, method).status == 405


def test_pages_show_the_blackboard(client):
    state = client("/v1/state").json()
    assert (state["revision"], state["lease_held"]) == (3, True)
    assert state["lease"]["expires_at"] is None
    assert state["counts"]["targets"] == 1
    configuration = client("/v1/configuration").json()
    assert configuration["in_force"]["digest"] == "d3"
    assert configuration["refused"]["reason"] == "hosts.toml: no"
    assert client("/v1/targets").json()["targets"][0]["state"] == "leaving"
    assert client("/v1/members").json()["members"] == []
    decisions = client("/v1/decisions").json()["decisions"]
    assert decisions[0]["hosts"] == ["a"]
    assert client("/v1/nothing").status == 404


@pytest.mark.parametrize(
    "line",
    [
        'bramleyfork_queries_total{code="ok",verdict="RAN"} 1',
        'bramleyfork_query_seconds_bucket{le="0.05"} 1.0',
        'bramleyfork_query_seconds_bucket{le="0.062"} 2.0',
        "bramleyfork_query_coverage_count 1.0",
        "bramleyfork_routing_hedges_total 3",
        'bramleyfork_routing_replies_total{code="shed"} 1',
        'bramleyfork_configuration_revision{state="refused"} 4',
        "bramleyfork_lease_held 1",
        'bramleyfork_targets{state="leaving"} 1',
        'bramleyfork_members{state="alive"} 0',
        'bramleyfork_control_batches_total{controller="targets"} 1',
        'bramleyfork_platform_reads_total{purpose="configuration"} 0',
    ],
)
def test_metrics_are_rendered(client, line):
    assert line in client("/metrics").data.decode().splitlines()
