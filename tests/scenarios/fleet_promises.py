"""Observes, loads and restores the fleet in scenarios.

Requests are counted in the journals of the target stand-ins.
"""

import collections
import math
import signal
import threading
import time

import urllib3

# Longest time until a configuration, or a target's report that it is leaving,
# is in effect on all hosts.
PROMISE_S = 4.0
# Time after that during which no request may arrive.
WATCHED_S = 2.0

# Keys of World.marks.
BASE_PARTS = "base parts"
SEATS = "callers that hold seats"
ENDING = "hosts asked to end"


def restore(world):
    """Restores the initial state, so that a scenario doesn't affect the next.

    Ends faults and cuts, restarts hosts, publishes the first configuration and
    resets the journals.
    """
    fleet = world.fleet
    fleet.platform.control("outage", mode="none")
    fleet.platform.control("stale", manifest_age=0)
    parts = world.marks.setdefault(BASE_PARTS, dict(fleet.deployment.parts))
    fleet.deployment.parts = dict(parts)
    for name in world.marks.pop(ENDING, ()):
        fleet.daemons[name].process.wait(10.0)
    for name, daemon in list(fleet.daemons.items()):
        fleet.partition_host(name)
        if daemon.process.poll() is None:
            daemon.send_signal(signal.SIGCONT)
        else:
            fleet.start_daemon(name)
    for name in fleet.daemons:
        fleet.wait_ready(name)
    for stand_in in fleet.target_processes.values():
        stand_in.control("faults")
        stand_in.control("return")
    fleet.publish_listing()
    highest = max(read_version(world, name)[0] for name in fleet.daemons)
    world.marks["revision"] = fleet.publish(highest + 1)
    wait_in_force(world, world.marks["revision"])
    wait_settled(world)
    for stand_in in fleet.target_processes.values():
        stand_in.control("reset")


def cut(world, host, *others, direction="both"):
    """Cuts a host off from others and waits until it has read the cut file."""
    daemon = world.fleet.daemons[host]

    def count_reads():
        messages = [entry["message"] for entry in daemon.read_log()]
        return messages.count("cut file read")

    before = count_reads()
    world.fleet.partition_host(host, *others, direction=direction)
    world.wait_until(lambda: count_reads() > before, f"cut at {host}")


def wait_settled(world, timeout_s=20.0):
    """Waits until every host sees all others alive and with a lease.

    Returns:
      The time it took, in seconds.
    """
    hosts = set(world.fleet.daemons)

    def settled():
        for name in hosts:
            rows = world.fleet.administer(name, "/v1/members")["members"]
            fine = {
                row["host"]
                for row in rows
                if row["state"] == "alive" and row["leased"]
            }
            if fine | {name} != hosts:
                return False
        return True

    started = time.time()
    world.wait_until(settled, "all hosts to be alive and leased", timeout_s)
    return time.time() - started


def read_version(world, host):
    """Returns the revision and digest in force on a host, or (0, "")."""
    shown = world.fleet.administer(host, "/v1/configuration")["in_force"]
    return (shown["revision"], shown["digest"]) if shown else (0, "")


def read_versions(world):
    """Returns the versions in force on the running hosts."""
    return {
        name: read_version(world, name)
        for name, daemon in world.fleet.daemons.items()
        if daemon.process.poll() is None
    }


def wait_in_force(world, revision, hosts=None, timeout_s=10.0):
    """Waits until a revision is in force on hosts.

    Returns:
      The time it took, in seconds.
    """
    names = list(hosts or world.fleet.daemons)
    started = time.time()
    world.wait_until(
        lambda: all(read_version(world, n)[0] == revision for n in names),
        f"revision {revision} on {names}",
        timeout_s,
    )
    return time.time() - started


def list_centre_targets(world, data_centre):
    """Returns the names of a data centre's targets."""
    declared = world.fleet.declaration.targets.values()
    return [t.name for t in declared if t.data_centre == data_centre]


def list_arrivals(world, targets, since, until=None, source=None):
    """Returns the requests that reached targets in a time span.

    Args:
      world: State of the scenario.
      targets: Names of the targets.
      since: Start of the time span, Unix time.
      until: End of the time span; None for no end.
      source: IP address of the sender; None for all.

    Returns:
      (target, seconds after ``since``, source) of each request.
    """
    journals = world.fleet.read_journals()
    return [
        (name, attempt["arrival"] - since, attempt["source"])
        for name in targets
        for attempt in journals[name]["attempts"]
        if attempt["arrival"] > since
        and (until is None or attempt["arrival"] < until)
        and (source is None or attempt["source"] == source)
    ]


def list_excess_connections(world):
    """Returns the targets that had more connections than declared."""
    declaration = world.fleet.declaration
    found = []
    for name, journal in world.fleet.read_journals().items():
        service = declaration.services[declaration.targets[name].service]
        peak = journal["peak_connections"]
        if peak > service.connections or journal["refused_connections"]:
            found.append((name, peak, journal["refused_connections"]))
    return found


class Sampler:
    """Polls the versions in force on all hosts in threads.

    Attributes:
      seen: Versions by host, in the order seen; equal ones in a row are kept
        once.
    """

    LIMIT = 2000

    def __init__(self, world):
        self.world = world
        self.seen = collections.defaultdict(list)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in world.fleet.daemons
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(10.0)

    def list_reversions(self):
        """Returns host and both versions where a lower one followed."""
        return [
            (host, before, after)
            for host, versions in self.seen.items()
            for before, after in zip(versions, versions[1:], strict=False)
            if after < before
        ]

    def _run(self, host):
        for _ in range(self.LIMIT):
            if self._stopped.wait(0.05):
                return
            try:
                version = read_version(self.world, host)
            except (urllib3.exceptions.HTTPError, OSError):
                continue
            # A starting process has no version in force yet.
            if version[0] and self.seen[host][-1:] != [version]:
                self.seen[host].append(version)


class Publisher:
    """Publishes the current parts until stopped, at most LIMIT times."""

    LIMIT = 60

    def __init__(self, world, pause_s):
        self.world = world
        self.pause_s = pause_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join(10.0)

    def _run(self):
        for _ in range(self.LIMIT):
            self.world.fleet.publish()
            if self._stopped.wait(self.pause_s):
                return


class Callers:
    """Callers that follow placement answers; at most LIMIT queries.

    A caller asks a host for a placement, uses the first host of the answer for
    the lifetime of the answer and then asks again. If a query fails, it uses
    the next host of the answer. With ``host`` it uses that host alone.

    Attributes:
      rows: (Unix time of the query, host, answer).
      errors: (Unix time of the query, host, error).
    """

    LIMIT = 4000

    def __init__(
        self,
        *,
        world,
        lookup,
        count=6,
        pause_s=0.03,
        host=None,
        asked=None,
        **fields,
    ):
        self.world = world
        self.host = host
        self.lookup = lookup
        self.fields = fields
        self.pause_s = pause_s
        self.rows = []
        self.errors = []
        self.asked = sorted(asked or world.fleet.daemons)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(10.0)

    def list_answer_errors(self):
        return [
            error
            for _, _, answer in self.rows
            for error in self.world.find_answer_errors(answer, self.lookup)
        ]

    def list_others(self):
        """Returns time, host and answer of all answers that are not "ok"."""
        return [
            (at, host, {**answer, "records": []})
            for at, host, answer in self.rows
            if answer["code"] != "ok"
        ]

    def list_codes(self, since=0.0):
        return collections.Counter(
            answer["code"] for at, _, answer in self.rows if at >= since
        )

    def _run(self, number):
        placed, until, turn = [], 0.0, number
        while not self._stopped.wait(self.pause_s):
            if len(self.rows) >= self.LIMIT:
                return
            if time.monotonic() >= until or not placed:
                turn += 1
                placed, until = self._place(number, turn)
                continue
            at, host = time.time(), placed[0]
            try:
                answer = self.world.fleet.query(
                    host, self.lookup, **self.fields
                )
            except Exception as error:
                self.errors.append((at, host, repr(error)))
                placed = placed[1:]
            else:
                answer["answered_at"] = time.time()
                self.rows.append((at, host, answer))

    def _place(self, number, turn):
        if self.host is not None:
            return [self.host], math.inf
        asked = self.asked[turn % len(self.asked)]
        # The lifetime is counted from the request, as the answer may be late.
        started = time.monotonic()
        try:
            answer = self.world.fleet.place(asked, caller=f"caller-{number}")
        except Exception:
            return [], 0.0
        if answer["status"] != 200:
            return [], 0.0
        names = [row["host"] for row in answer["hosts"]]
        return names, started + answer["lifetime_ms"] / 1000


def wait_answers(world, callers, count=20):
    """Waits until callers have had ``count`` complete answers."""
    world.wait_until(
        lambda: callers.list_codes()["ok"] >= count, f"{count} whole answers"
    )


def stop_load(world):
    """Stops the callers of a scenario, so that the next one starts idle."""
    for callers in (world.load, world.marks.pop(SEATS, None)):
        if callers is not None:
            callers.stop()
    world.load = None


class Group:
    """Several loads that are stopped together."""

    def __init__(self):
        self.members = []

    def stop(self):
        for callers in self.members:
            callers.stop()
