"""Guards against requests to data centres that are out of service.

They can come from hosts that are cut off, or frozen over the change.
"""

import signal
import time

import pytest_bdd

from tests.scenarios import fleet_promises

pytest_plugins = ["tests.scenarios.fleet_steps"]

pytest_bdd.scenarios("fleet_centres.feature")

parse = pytest_bdd.parsers.parse


def find_callers(running, host):
    return running.marks["askers", host]


@pytest_bdd.given(parse('callers that keep asking host "{host}"'))
def start_askers(running, host):
    running.marks["askers", host] = fleet_promises.Callers(
        world=running,
        lookup="availability",
        count=4,
        host=host,
        deadline_ms=900,
        parameters=f"stay with {host}",
    )
    running.load = running.load or fleet_promises.Group()
    running.load.members.append(running.marks["askers", host])
    fleet_promises.wait_answers(running, running.marks["askers", host])


@pytest_bdd.when(parse('frozen host "{host}" wakes'))
def wake(running, host):
    running.marks["woke"] = time.time()
    running.fleet.daemons[host].send_signal(signal.SIGCONT)


@pytest_bdd.when("operators bring all data centres back")
def bring_back(running):
    running.fleet.deployment.parts = dict(
        running.marks[fleet_promises.BASE_PARTS]
    )
    running.marks["changed"] = time.time()
    running.marks["revision"] = running.fleet.publish()


@pytest_bdd.then(parse('no placement names a host of data centre "{name}"'))
def check_placements(running, name):
    for host in running.fleet.daemons:
        rows = running.fleet.place(host)["hosts"]
        assert rows
        assert name not in {row["data_centre"] for row in rows}


@pytest_bdd.then(
    parse('data centre "{name}" gets work again within {seconds:g} seconds')
)
def check_work(running, name, seconds):
    targets = fleet_promises.list_centre_targets(running, name)
    since = running.marks["changed"]
    running.wait_until(
        lambda: fleet_promises.list_arrivals(running, targets, since),
        f"work for {name}",
        seconds,
    )


@pytest_bdd.then(
    parse(
        'host "{host}" has sent nothing to data centre "{name}" since it woke'
    )
)
def check_woken(running, host, name):
    arrivals = fleet_promises.list_arrivals(
        running,
        fleet_promises.list_centre_targets(running, name),
        running.marks["woke"],
        source=running.fleet.find_ip(host),
    )
    assert arrivals == []


@pytest_bdd.then("the waking host has refused or answered what waited for it")
def check_waited(running):
    callers = find_callers(running, "south-1")
    callers.stop()
    woke = running.marks["woke"]
    late = [
        answer
        for at, _, answer in callers.rows
        if at < woke < answer["answered_at"]
    ]
    assert late, "no query waited while the host slept"
    assert callers.list_answer_errors() == []


@pytest_bdd.then(
    parse('host "{host}" sends nothing {seconds:g} seconds after the cut')
)
def check_cut_off(running, host, seconds):
    since = running.marks["cut"] + seconds
    targets = list(running.fleet.declaration.targets)
    source = running.fleet.find_ip(host)
    before = fleet_promises.list_arrivals(
        running, targets, 0.0, running.marks["cut"], source
    )
    assert before, "the host sent nothing before the cut"
    time.sleep(max(0.0, since + fleet_promises.WATCHED_S - time.time()))
    assert (
        fleet_promises.list_arrivals(running, targets, since, source=source)
        == []
    )


@pytest_bdd.then(
    parse(
        'host "{host}" answers NOT_RUN with code "{code}" and names the others'
    )
)
def check_refusal(running, host, code):
    answer = running.ask(host, "availability")
    others = {
        other.caller_address
        for other in running.fleet.declaration.hosts.values()
        if other.name != host
    }
    assert (answer["verdict"], answer["code"]) == ("NOT_RUN", code)
    assert set(answer["hosts"]) == others


@pytest_bdd.then(parse('host "{host}" still gives whole answers'))
def check_whole(running, host):
    since = time.time()
    callers = find_callers(running, host)
    running.wait_until(
        lambda: callers.list_codes(since)["ok"] >= 10, "ten whole answers"
    )
    assert set(callers.list_codes(since)) == {"ok"}, callers.list_others()


@pytest_bdd.then(parse('host "{host}" has given whole answers all the time'))
def check_whole_always(running, host):
    callers = find_callers(running, host)
    assert set(callers.list_codes()) == {"ok"}, callers.list_others()
    assert callers.errors == []
    assert callers.list_answer_errors() == []


@pytest_bdd.then(parse('host "{host}" has the revision before'))
def check_old(running, host):
    version = fleet_promises.read_version(running, host)
    assert version[0] == running.marks["revision"] - 1


@pytest_bdd.then(parse('host "{host}" has the new revision'))
def check_new(running, host):
    version = fleet_promises.read_version(running, host)
    assert version[0] == running.marks["revision"]
