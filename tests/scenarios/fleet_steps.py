"""Steps that the features of the fleet share."""

import time

import pytest_bdd

from tests.scenarios import fleet_promises

parse = pytest_bdd.parsers.parse


@pytest_bdd.given("the fleet of this feature", target_fixture="running")
def restore_fleet(shared_world):
    world = shared_world(service_ms=4.0, record_stride=1024)
    fleet_promises.restore(world)
    yield world
    fleet_promises.stop_load(world)


@pytest_bdd.given("callers that follow their placement")
def start_callers(running):
    running.load = fleet_promises.Callers(
        world=running, lookup="availability", parameters="placed"
    )
    fleet_promises.wait_answers(running, running.load)


@pytest_bdd.given("versions in force that are watched")
def start_sampler(running):
    running.sampler = fleet_promises.Sampler(running)


@pytest_bdd.when(parse("{seconds:g} seconds pass"))
def pass_time(seconds):
    # Later steps check the journals of this time for what must not happen.
    time.sleep(seconds)


@pytest_bdd.when(parse("the platform suffers {mode} for everyone"))
def break_platform(running, mode):
    running.fleet.platform.control("outage", mode=mode)


@pytest_bdd.when(parse('the platform suffers {mode} for host "{host}"'))
def break_platform_for_host(running, mode, host):
    running.fleet.platform.control(
        "outage", mode=mode, sources=[running.fleet.find_ip(host)]
    )


@pytest_bdd.when("the platform works again")
def heal_platform(running):
    running.fleet.platform.control("outage", mode="none")


@pytest_bdd.when(
    parse('operators set data centre "{name}" out'),
)
def take_centre_out(running, name):
    running.fleet.deployment.edit(
        "fleet", f'name = "{name}"\n', f'name = "{name}"\nout = true\n'
    )
    running.marks["changed"] = time.time()
    running.marks["revision"] = running.fleet.publish()


@pytest_bdd.when(parse('host "{host}" is cut from all others'))
def cut_host(running, host):
    others = [name for name in running.fleet.daemons if name != host]
    fleet_promises.cut(running, host, *others)
    running.marks["cut"] = time.time()


@pytest_bdd.when("all cuts end")
def end_cuts(running):
    for host in running.fleet.daemons:
        running.fleet.partition_host(host)


@pytest_bdd.then(
    parse("the revision is in force on all hosts within {seconds:g} seconds")
)
def check_in_force(running, seconds):
    took = fleet_promises.wait_in_force(running, running.marks["revision"])
    assert took <= seconds


@pytest_bdd.then(parse("all hosts agree again within {seconds:g} seconds"))
def check_agreement(running, seconds):
    assert fleet_promises.wait_settled(running, seconds + 5.0) <= seconds
    assert len(set(fleet_promises.read_versions(running).values())) == 1


@pytest_bdd.then("no version in force was lower than one before")
def check_reversions(running):
    running.sampler.stop()
    assert running.sampler.list_reversions() == []


@pytest_bdd.then("no target saw more connections than declared")
def check_connections(running):
    assert fleet_promises.list_excess_connections(running) == []


@pytest_bdd.then("the placed callers got true answers and nothing else")
def check_placed(running):
    running.load.stop()
    assert running.load.rows
    assert running.load.list_answer_errors() == []
    assert running.load.errors == []
    assert running.load.list_others() == []


@pytest_bdd.then("no answer of a placed caller was wrong")
def check_placed_faults(running):
    running.load.stop()
    assert running.load.rows
    assert running.load.list_answer_errors() == []


@pytest_bdd.then(
    parse(
        'data centre "{name}" gets no work {seconds:g} seconds after the change'
    )
)
def check_no_work(running, name, seconds):
    since = running.marks["changed"] + seconds
    targets = fleet_promises.list_centre_targets(running, name)
    before = fleet_promises.list_arrivals(
        running, targets, 0.0, running.marks["changed"] + 0.1
    )
    assert before, "no work arrived before the change"
    time.sleep(max(0.0, since + fleet_promises.WATCHED_S - time.time()))
    assert fleet_promises.list_arrivals(running, targets, since) == []
