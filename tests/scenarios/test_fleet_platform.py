"""Guards against too many calls to the platform in outage and recovery."""

import math
import time

import pytest_bdd

from bramleyfork.decisions import platform_polling
from tests.scenarios import fleet_promises

pytest_plugins = ["tests.scenarios.fleet_steps"]

pytest_bdd.scenarios("fleet_platform.feature")

parse = pytest_bdd.parsers.parse

WATCHERS_PER_CENTRE = 2


def add_hosts(deployment):
    deployment.add_host("north-2", like="north-1", ip="1.2")
    deployment.add_host("north-3", like="north-1", ip="1.3")


def read_calls(running):
    """Returns the number of calls to the platform by host."""
    calls = running.fleet.platform.read("calls")["by_source"]
    return {
        name: calls.get(running.fleet.find_ip(name), 0)
        for name in running.fleet.daemons
    }


@pytest_bdd.given(
    "a fleet of five hosts, three of them in the north",
    target_fixture="running",
)
def start_five(shared_world):
    started = time.time()
    running = shared_world(add_hosts, service_ms=4.0, record_stride=1024)
    running.marks["calls"] = read_calls(running)
    running.marks["span"] = time.time() - started
    yield running
    if running.load is not None:
        running.load.stop()


@pytest_bdd.then("the start of the whole fleet kept within its bound of calls")
def check_start(running):
    # Each host reads manifest, parts and list once. Then it watches and reads
    # the list at most once a second.
    parts = len(running.fleet.deployment.parts) + 1
    limit = parts + 2 + 2 * (running.marks["span"] + 1)
    assert max(running.marks["calls"].values()) <= limit
    assert min(running.marks["calls"].values()) >= parts
    # Far below the platform's limit of 2,000 calls a second for all hosts.
    by_second = running.fleet.platform.read("calls")["by_second"]
    assert max(by_second.values()) <= len(running.fleet.daemons) * (parts + 6)


@pytest_bdd.when(parse("calls are counted for {seconds:g} seconds of {phase}"))
def count_calls(running, seconds, phase):
    running.fleet.platform.control("reset")
    time.sleep(seconds)
    running.marks["calls"] = read_calls(running)
    running.marks["span"] = seconds


def find_idle(running):
    """Returns the host that does not hold the watch."""
    calls = running.marks["calls"]
    return min(
        (name for name in calls if name.startswith("north")), key=calls.get
    )


@pytest_bdd.then(
    parse("each watching host made at most {rate:g} calls a second")
)
def check_rate(running, rate):
    # At rest, watch and list make one call a second each. The rate of 2.5
    # allows for one more call at each end of the 4 s that are counted.
    calls = dict(running.marks["calls"])
    del calls[find_idle(running)]
    assert len(calls) == 2 + WATCHERS_PER_CENTRE
    assert max(calls.values()) <= rate * running.marks["span"], calls
    assert min(calls.values()) > 0


@pytest_bdd.then(
    parse("the host without the watch made at most {limit:d} call")
)
def check_idle(running, limit):
    assert min(running.marks["calls"].values()) <= limit


@pytest_bdd.then(
    "the host without the watch kept within the bound of its pauses"
)
def check_pauses(running):
    # Pauses start at no less than half of 0.5 s and double. Watch and list
    # each have one call in flight at first.
    shortest_s = platform_polling.INITIAL_BACKOFF_S / 2
    calls = math.floor(math.log2(running.marks["span"] / shortest_s + 1)) + 1
    assert running.marks["calls"][find_idle(running)] <= 2 * calls


@pytest_bdd.when("the platform serves what was before, for long")
def serve_stale(running):
    running.marks["revision"] = running.fleet.publish()
    assert (
        fleet_promises.wait_in_force(running, running.marks["revision"])
        <= fleet_promises.PROMISE_S
    )
    running.fleet.platform.control("stale", manifest_age=1)
    # Later counts are to cover the stale platform, not the change to it.
    running.wait_until(
        lambda: all(
            find_view(running, host) == running.marks["revision"] - 1
            for host in ("east-1", "south-1")
        ),
        "stale manifest at the hosts that watch",
    )


def find_view(running, host):
    shown = running.fleet.administer(host, "/v1/configuration")
    return shown["platform"]["revision"]
