"""Guards against load on cold targets above their declared cold limits."""

import signal
import time

import pytest_bdd

from tests.scenarios import conftest

pytest_bdd.scenarios("answer_cold.feature")

STANDSTILL_S = 0.15
BETWEEN_S = 0.04


def list_violations(running):
    fields = ("id", "source", "reason", "in_flight", "cold_for_s")
    return {
        name: [[row[f] for f in fields] for row in journal["cold_violations"]]
        for name, journal in running.fleet.read_journals().items()
        if journal["cold_violations"]
    }


@pytest_bdd.given(
    "a running fleet of targets that fall over when overloaded cold",
    target_fixture="running",
)
def start_fragile_fleet(world):
    return world(service_ms=10.0, record_stride=1024, fall_over=True)


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        '{count:d} callers that ask "{lookup}" all the while'
    )
)
def start_callers(running, count, lookup):
    running.load = conftest.Load(
        world=running,
        lookup=lookup,
        callers=count,
        pause_s=0.02,
        parameters="load",
    )


@pytest_bdd.when(
    "each target crashes and restarts in turn while hosts stand still"
)
def crash_each(running):
    # A paused host sends requests late that it decided on before the crash.
    daemons = list(running.fleet.daemons.values())
    names = list(running.fleet.declaration.targets)
    for name in names:
        running.control([name], "crash", restart_after_s=0.3)
        for daemon in daemons:
            daemon.send_signal(signal.SIGSTOP)
            time.sleep(STANDSTILL_S)
            daemon.send_signal(signal.SIGCONT)
            time.sleep(BETWEEN_S)


@pytest_bdd.when("all targets crash at once")
def crash_all(running):
    names = running.fleet.declaration.targets
    running.control(names, "crash", restart_after_s=0.5)


@pytest_bdd.when(
    "all hosts are killed, all targets turn cold and all hosts start"
)
def restart_hosts(running):
    names = list(running.fleet.daemons)
    for name in names:
        running.fleet.daemons[name].kill()
    running.control(running.fleet.declaration.targets, "cold")
    for name in names:
        running.fleet.start_daemon(name)
    for name in names:
        running.fleet.wait_ready(name)


@pytest_bdd.when("all targets turn cold without a sign")
def turn_cold(running):
    names = running.fleet.declaration.targets
    running.control(names, "cold", silent=True)


@pytest_bdd.then("no target got more than it bears cold")
def check_violations(running):
    assert list_violations(running) == {}, list_violations(running)


@pytest_bdd.then(
    "no target got more than its in-flight budget above its cold limits"
)
def check_silent_violations(running):
    # Requests in flight when a target turns cold can't be withdrawn. The shares
    # of all hosts together allow slots plus queue of them.
    services = running.fleet.declaration.services
    targets = running.fleet.declaration.targets
    for name, violations in list_violations(running).items():
        service = services[targets[name].service]
        bound = service.slots + service.queue
        assert len(violations) <= bound, (name, violations)


@pytest_bdd.then("each target restarted once")
def check_epochs(running):
    epochs = {
        name: len(journal["epochs"])
        for name, journal in running.fleet.read_journals().items()
    }
    assert set(epochs.values()) == {2}, (epochs, list_violations(running))


@pytest_bdd.then("the callers get whole answers again")
def check_recovery(running):
    after = len(running.load.rows)
    running.wait_until(
        lambda: any(a["code"] == "ok" for _, a in running.load.rows[after:]),
        "a whole answer",
    )
    running.load.stop()
