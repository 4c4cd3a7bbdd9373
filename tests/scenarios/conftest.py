"""Fixtures and steps that all scenarios share.

Scenarios run a fleet of real processes on their own loopback addresses. The
stand-ins record what reached them, so guarantees about targets and platform
are checked against their journals, not against the hosts' own reports.
"""

import collections
import os
import signal
import threading
import time

import pytest
import pytest_bdd

from bench import checks
from bench import fleet as fleet_module

# Timeout for states that are due within seconds, also on a slow machine.
PATIENCE_S = 10.0


class World:
    """Fleet and state that the steps of one scenario share.

    Attributes:
      fleet: Running fleet.
      answers: Answers to the queries of single callers.
      load: Current load, or None.
      marks: Values that steps keep for later steps, by name.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = []
        self.load = None
        self.marks = {}

    @property
    def answer(self):
        """Latest answer to a single caller."""
        return self.answers[-1]

    def ask(self, host, lookup, **fields):
        answer = self.fleet.query(host, lookup, **fields)
        self.answers.append(answer)
        return answer

    def list_replicas(self, service):
        """Returns the names of a service's targets."""
        targets = self.fleet.declaration.targets.values()
        return [t.name for t in targets if t.service == service]

    def control(self, targets, call, **body):
        """Sends a control call to the stand-in of each target."""
        for name in targets:
            self.fleet.find_stand_in(name).control(call, target=name, **body)

    def count_writes(self):
        """Returns how often each write ran in total, by its parameters."""
        counts = collections.Counter()
        for journal in self.fleet.read_journals().values():
            for write in journal["writes"]:
                counts[write["parameters"]] += write["count"]
        return counts

    def find_answer_errors(self, answer, lookup, key=None):
        declared = self.fleet.declaration.lookups[lookup]
        return checks.find_answer_errors(answer, declared, key)

    def wait_until(self, condition, what, timeout_s=PATIENCE_S):
        """Polls a condition; returns its first true result.

        Raises:
          AssertionError: The timeout has passed; the text names ``what``.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(0.05)
        raise AssertionError(f"wait for {what} timed out after {timeout_s} s")


class Load:
    """Callers that send queries until stopped, at most LIMIT.

    Args:
      world: State of the scenario.
      lookup: Name of the lookup.
      callers: Number of threads.
      pause_s: Pause between two queries of one thread, seconds.
      **fields: Further fields of the query.

    Attributes:
      rows: (Unix time of the answer, answer).
      errors: (Unix time, host, error).
    """

    LIMIT = 5000

    def __init__(self, *, world, lookup, callers=3, pause_s=0.05, **fields):
        self.world = world
        self.lookup = lookup
        self.fields = fields
        self.pause_s = pause_s
        self.rows = []
        self.errors = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(PATIENCE_S)
        return self.rows

    def list_answer_errors(self):
        return [
            error
            for _, answer in self.rows
            for error in self.world.find_answer_errors(answer, self.lookup)
        ]

    def _run(self, number):
        hosts = sorted(self.world.fleet.daemons)
        host = hosts[number % len(hosts)]
        while not self._stopped.wait(self.pause_s):
            if len(self.rows) >= self.LIMIT:
                return
            try:
                answer = self.world.fleet.query(
                    host, self.lookup, **self.fields
                )
            except Exception as error:
                self.errors.append((time.time(), host, repr(error)))
            else:
                self.rows.append((time.time(), answer))


def choose_net():
    """Returns the second number of the loopback addresses.

    It depends on the process id, so that runs can go on side by side.
    """
    return int(os.environ.get("BRAMLEYFORK_NET", 100 + os.getpid() % 150))


@pytest.fixture
def world():
    """Returns a function that starts a small fleet."""
    created = []

    def start(**target_fields):
        deployment = fleet_module.Deployment(name="small", net=choose_net())
        fleet = fleet_module.Fleet(deployment=deployment, **target_fields)
        created.append(fleet)
        fleet.start()
        return World(fleet)

    yield start
    for fleet in created:
        fleet.stop()


@pytest.fixture(scope="module")
def shared_world():
    """Returns a function that starts one fleet for all scenarios of a module.

    The function takes an edit of the deployment and settings of the target
    stand-ins; later calls return the same world.
    """
    created = []

    def start(change=None, **target_fields):
        if not created:
            deployment = fleet_module.Deployment(name="small", net=choose_net())
            if change is not None:
                change(deployment)
            fleet = fleet_module.Fleet(deployment=deployment, **target_fields)
            created.append(World(fleet))
            fleet.start()
        return created[0]

    yield start
    for shared in created:
        shared.fleet.stop()


@pytest_bdd.given("a running fleet", target_fixture="running")
def start_fleet(world):
    return world(service_ms=4.0, record_stride=1024)


@pytest_bdd.given(
    pytest_bdd.parsers.parse("a running fleet with {service_ms:d} ms service"),
    target_fixture="running",
)
def start_fleet_with_service(world, service_ms):
    return world(service_ms=float(service_ms), record_stride=1024)


@pytest_bdd.given(
    pytest_bdd.parsers.parse('callers that ask "{lookup}" all the while')
)
@pytest_bdd.when(
    pytest_bdd.parsers.parse('callers ask "{lookup}" all the while')
)
def start_load(running, lookup):
    running.load = Load(world=running, lookup=lookup, parameters="load")


@pytest_bdd.when(pytest_bdd.parsers.parse("{seconds:g} seconds of load pass"))
def pass_load(running, seconds):
    # There is no state to wait for; the step gives queries time to run.
    before = len(running.load.rows)
    time.sleep(seconds)
    assert len(running.load.rows) > before


@pytest_bdd.when("the callers stop")
def stop_load(running):
    running.load.stop()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('a caller asks host "{host}" for "{lookup}"')
)
def ask_host(running, host, lookup):
    running.ask(host, lookup)


@pytest_bdd.when(pytest_bdd.parsers.parse('target "{target}" suffers "{call}"'))
def control_target(running, target, call):
    running.fleet.find_stand_in(target).control(call, target=target)


@pytest_bdd.when(pytest_bdd.parsers.parse('host "{host}" is killed'))
def kill_host(running, host):
    running.fleet.daemons[host].kill()


@pytest_bdd.when(pytest_bdd.parsers.parse('host "{host}" is frozen'))
def freeze_host(running, host):
    running.fleet.daemons[host].send_signal(signal.SIGSTOP)


@pytest_bdd.when(pytest_bdd.parsers.parse('host "{host}" wakes'))
def wake_host(running, host):
    running.fleet.daemons[host].send_signal(signal.SIGCONT)


@pytest_bdd.when(pytest_bdd.parsers.parse('host "{host}" starts again'))
def restart_host(running, host):
    running.fleet.start_daemon(host)
    running.fleet.wait_ready(host)


@pytest_bdd.then(pytest_bdd.parsers.parse('the answer is "{code}"'))
def check_code(running, code):
    assert running.answer["code"] == code, running.answer


@pytest_bdd.then(pytest_bdd.parsers.parse("the coverage is {share:g}"))
def check_coverage(running, share):
    assert running.answer["coverage"] == pytest.approx(share)


@pytest_bdd.then("no answer was wrong")
def check_answers(running):
    assert running.load.rows
    assert running.load.list_answer_errors() == []


@pytest_bdd.then("every answer is complete")
def check_complete(running):
    codes = {answer["code"] for _, answer in running.load.rows}
    assert codes == {"ok"}
    assert running.load.errors == []
