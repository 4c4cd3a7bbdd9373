"""Guards against placements on lost hosts and queries cut by a shutdown."""

import collections
import time

import pytest_bdd

from tests.scenarios import fleet_promises

pytest_plugins = [
    "tests.scenarios.fleet_steps",
    "tests.scenarios.fleet_seats",
]

pytest_bdd.scenarios("fleet_placement.feature")

parse = pytest_bdd.parsers.parse

# From the declaration of the small deployment.
LIFETIME_S = 2.0
LONGEST_DEADLINE_S = 2.0


@pytest_bdd.given(parse("targets that take {delay_ms:g} ms"))
def slow_down(running, delay_ms):
    for stand_in in running.fleet.target_processes.values():
        stand_in.control("faults", delay_ms=delay_ms)


@pytest_bdd.when(parse('host "{host}" is asked to end'))
def terminate(running, host):
    running.marks["asked"] = time.time()
    running.marks.setdefault(fleet_promises.ENDING, []).append(host)
    running.fleet.daemons[host].process.terminate()


@pytest_bdd.then(
    parse('the placed callers used host "{host}" until it left the answers')
)
def check_used(running, host):
    asked = running.marks["asked"]
    time.sleep(max(0.0, asked + LIFETIME_S + LONGEST_DEADLINE_S - time.time()))
    used = [at - asked for at, name, _ in running.load.rows if name == host]
    assert min(used) < 0
    # Callers keep an answer for its lifetime. A peer may give one with the
    # leaving host until it has received that host's update.
    assert 0 < max(used) < LIFETIME_S + 1.5


@pytest_bdd.then(parse('host "{host}" ends with status {status:d}'))
def check_status(running, host, status):
    process = running.fleet.daemons[host].process
    # The process exits once all queries in flight are done or past deadline.
    assert process.wait(LONGEST_DEADLINE_S + 4.0) == status


@pytest_bdd.then(parse('the targets of host "{host}" worked while it left'))
def check_owner(running, host):
    assert fleet_promises.list_arrivals(
        running,
        running.fleet.declaration.targets,
        running.marks["asked"],
        source=running.fleet.find_ip(host),
    )


@pytest_bdd.then(
    parse(
        "each host is first for at least {share:d} of 100 percent of"
        " {count:d} callers"
    )
)
def check_spread(running, share, count):
    hosts = sorted(running.fleet.daemons)
    first = collections.Counter()
    for number in range(count):
        asked = hosts[number % len(hosts)]
        rows = running.fleet.place(asked, caller=f"c{number}")["hosts"]
        first[rows[0]["host"]] += 1
    assert set(first) == set(hosts)
    assert min(first.values()) >= count * share / 100, first


@pytest_bdd.then(
    parse('a caller in data centre "{name}" is sent to host "{host}" first')
)
def check_nearest(running, name, host):
    for asked in running.fleet.daemons:
        rows = running.fleet.place(asked, data_centre=name)["hosts"]
        assert rows[0]["host"] == host


def list_naming(running, host):
    """Returns the other hosts whose placement answers name a host."""
    return [
        asked
        for asked in running.fleet.daemons
        if asked != host
        and host in {row["host"] for row in running.fleet.place(asked)["hosts"]}
    ]


@pytest_bdd.given(parse('every host names host "{host}"'))
def check_named(running, host):
    running.wait_until(
        lambda: len(list_naming(running, host)) == 2, f"{host} in answers"
    )


@pytest_bdd.then(
    parse('no other host names host "{host}" after {seconds:g} seconds')
)
def check_not_named(running, host, seconds):
    time.sleep(seconds)
    assert list_naming(running, host) == []


@pytest_bdd.then(
    parse('callers that start without host "{host}" get only whole answers')
)
def check_new_callers(running, host):
    callers = fleet_promises.Callers(
        world=running,
        lookup="availability",
        asked=set(running.fleet.daemons) - {host},
        parameters="new",
    )
    running.load = callers
    fleet_promises.wait_answers(running, callers, 50)
    callers.stop()
    assert callers.errors == []
    assert callers.list_others() == []
