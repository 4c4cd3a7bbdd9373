"""Guards against wrong answers, double runs and overload in splits."""

import collections
import time

import pytest_bdd

from tests.scenarios import fleet_promises

pytest_plugins = [
    "tests.scenarios.fleet_steps",
    "tests.scenarios.fleet_seats",
]

pytest_bdd.scenarios("fleet_split.feature")

parse = pytest_bdd.parsers.parse


def add_hosts(deployment):
    for number, centre in enumerate(("north", "east", "south"), start=1):
        deployment.add_host(f"{centre}-2", like=f"{centre}-1", ip=f"{number}.2")


@pytest_bdd.given(
    "a fleet of six hosts, two in each data centre", target_fixture="running"
)
def start_six(shared_world):
    running = shared_world(add_hosts, service_ms=4.0, record_stride=1024)
    fleet_promises.restore(running)
    yield running
    fleet_promises.stop_load(running)


@pytest_bdd.when(
    parse("hosts {some} are cut from hosts {others} in direction {direction}")
)
def split(running, some, others, direction):
    for host in some.split(", "):
        fleet_promises.cut(
            running, host, *others.split(", "), direction=direction
        )
    running.marks["cut"] = time.time()


@pytest_bdd.then(
    parse(
        "the placed answers were whole from {seconds:g} seconds after the cut"
        " on"
    )
)
def check_whole(running, seconds):
    since = running.marks["cut"] + seconds
    assert running.load.list_codes(since)["ok"] >= 20
    assert [row for row in running.load.list_others() if row[0] >= since] == []


@pytest_bdd.then("no target saw more in flight than declared")
def check_in_flight(running):
    declaration = running.fleet.declaration
    excess = []
    for name, journal in running.fleet.read_journals().items():
        service = declaration.services[declaration.targets[name].service]
        # A target sheds requests above its slots and its queue.
        if journal["outcomes"].get("shed", 0):
            excess.append((name, journal["outcomes"], service.queue))
    assert excess == []


@pytest_bdd.then(
    parse(
        "hosts {names} are each first for {share:d} of 100 percent of callers"
    )
)
def check_spread(running, names, share):
    hosts = sorted(running.fleet.daemons)
    count = 200
    first = collections.Counter()
    for number in range(count):
        asked = hosts[number % len(hosts)]
        rows = running.fleet.place(
            asked, data_centre="north", caller=f"c{number}"
        )["hosts"]
        first[rows[0]["host"]] += 1
    assert set(first) == set(names.split(", "))
    assert min(first.values()) >= count * share / 100, first
