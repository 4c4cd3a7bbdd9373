"""A simulated fleet of entry hosts whose targets may end, on a manual clock."""

import heapq
import itertools
import random

from bramleyfork.core import blackboard
from bramleyfork.core import verdicts
from bramleyfork.entry import exchanges as records
from bramleyfork.entry import fleet
from bramleyfork.entry import sections
from bramleyfork.entry import settings
from bramleyfork.entry.controllers import exchanges
from bramleyfork.entry.controllers import observations
from bramleyfork.entry.decisions import answers
from bramleyfork.entry.decisions import observations as kinds
from bramleyfork.entry.transports import peers
from tests.entry import creators

STEP_S = 0.01
# Time after which a host has heard from the others again, at a start or after a
# cut, if no datagram is lost.
CONTACT_S = 4.0
_TARGET_DOWN_S = 1.0
_REPLY_S = 0.02
_CRASH_S = 0.003
_READ_SECTIONS = (
    "sends",
    "aborts",
    "responses",
    "observation_sends",
    "target_faults",
)
_COMPONENTS = (exchanges.Exchanges, observations.Observations)


class Target:
    """A target that may be down.

    Attributes:
      target: The target as listed.
      up_at: Time from which it is up.
      running: Number of the run, by (host, attempt), of requests in flight.
      limit_per_s: Limit that it names in its answers; None for none.
    """

    def __init__(self, *, target):
        self.target = target
        self.up_at = 0.0
        self.running = {}
        self.limit_per_s = None


class Host:
    """One entry host: the controllers that send requests and learn from them.

    Attributes:
      is_frozen: Whether it does nothing.
      disturbed_at: Time of its last start or end of a freeze or cut.
    """

    def __init__(self, *, name, number, incarnation, route, usable, seeds):
        self.name = name
        self.is_frozen = False
        self.disturbed_at = 0.0
        context = creators.create_context(
            settings=creators.create_settings(
                host=name,
                peer_address=("10.0.0.1", number),
                seeds=seeds,
                # Tests of the fleet are about other bounds.
                retry_limits=settings.RetryBudgetLimits(slack=10_000.0),
            ),
            incarnation=incarnation,
        )
        self.incarnation = incarnation
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        own = {component.name for component in _COMPONENTS}
        self._writers = {
            section: self.board.grant_writer(section, writer)
            for section, _, writer in sections.SECTIONS
            if writer not in own
        }
        self._cursors = {
            section: self.board.find_log(section).open_cursor()
            for section in _READ_SECTIONS
        }
        self._components = [
            component(board=self.board, context=context)
            for component in _COMPONENTS
        ]
        self.put("route_table", "current", creators.create_table(route))
        for service, targets in usable.items():
            self.put("usable", service, targets)
            for target in targets:
                self.put("listed_targets", target.target, target)

    def put(self, section, key, record):
        self._writers[section].put(key, record)

    def remove(self, section, key):
        self._writers[section].remove(key)

    def append(self, section, *batch):
        self._writers[section].extend(batch)

    def read(self, section):
        return self._cursors[section].read_new_records()

    def step(self, now):
        for component in self._components:
            component.step(now)


class Fleet:
    """Hosts, targets and the network between the hosts.

    Args:
      route: The only route.
      seed: Seed of latencies and losses.
      loss: Fraction of datagrams that are lost, 0 to 1.
      crashing_path: A target that begins a request for this path ends.
      is_up_at_once: Whether targets that end are up again at once.

    Attributes:
      now: Current time.
      arrivals: Time, host and path of each request that reached a target.
      arrivals_by_target: Times of these requests by target.
      ends: Times at which targets ended.
      statuses: Statuses of the answers by path.
      cut: Names of the hosts that get no datagrams.
    """

    def __init__(
        self,
        *,
        route,
        hosts=3,
        replicas=2,
        seed=1,
        loss=0.0,
        crashing_path="/find/crash",
        is_up_at_once=False,
    ):
        self.now = 100.0
        self.arrivals = []
        self.arrivals_by_target = {}
        self.ends = []
        self.statuses = {}
        self.cut = set()
        self.random = random.Random(seed)
        self._route = route
        self._size = hosts
        self._loss = loss
        self._crashing_path = crashing_path
        self._is_up_at_once = is_up_at_once
        self._events = []
        self._order = itertools.count()
        self._keys = itertools.count(1)
        self._paths = {}
        self.targets = {}
        for service in route.list_services():
            for letter in "abcdefgh"[:replicas]:
                target = creators.create_target(service + letter, service)
                self.targets[target.target] = Target(target=target)
        self.hosts = {}
        for number in range(1, hosts + 1):
            self.start_host(f"host-{number}", number)

    # Faults.

    def start_host(self, name, number):
        """Starts the process of a host, for the first time or again."""
        usable = {}
        for each in self.targets.values():
            found = usable.setdefault(each.target.service, [])
            found.append(each.target)
        host = Host(
            name=name,
            number=number,
            incarnation=1_000_000 + int(self.now * 1000),
            route=self._route,
            usable={service: tuple(found) for service, found in usable.items()},
            seeds=tuple(("10.0.0.1", n) for n in (1, 2) if n <= self._size),
        )
        host.number = number
        host.disturbed_at = self.now
        self.hosts[name] = host
        self._publish_members()

    def restart_host(self, name):
        """Replaces the process of a host, which forgets everything."""
        host = self.hosts[name]
        host.is_frozen = False
        self.start_host(name, host.number)

    def end_target(self, name):
        """Ends a target; everything that it runs is lost."""
        target = self.targets[name]
        self.ends.append(self.now)
        fault = "lost" if self._is_up_at_once else "ended"
        if not self._is_up_at_once:
            target.up_at = self.now + _TARGET_DOWN_S
        for (host, attempt), _ in list(target.running.items()):
            self._answer_later(
                host, attempt, _CRASH_S, _build_fault(attempt, fault)
            )
        target.running.clear()

    def _publish_members(self):
        for receiver in self.hosts.values():
            for host in self.hosts.values():
                update = fleet.MemberUpdate(
                    host=host.name,
                    incarnation=host.incarnation,
                    count=1,
                    state=fleet.SERVING,
                    data_centre="north",
                    caller_address=("10.0.0.1", host.number + 1000),
                    peer_address=("10.0.0.1", host.number),
                    carrier_address=("10.0.0.1", host.number + 2000),
                )
                receiver.put(
                    "members",
                    host.name,
                    fleet.Member(update=update, changed_at=self.now),
                )

    # Load.

    def send(self, host, path, *, wait_s=0.8):
        """Sends a request of a caller to a host."""
        key = next(self._keys)
        self._paths[key] = path
        self.hosts[host].append(
            "requests",
            creators.create_request(
                key,
                url=path.encode(),
                path=path,
                received_at=self.now,
                wait_s=wait_s,
            ),
        )

    def run(self, seconds):
        """Lets the time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for host in list(self.hosts.values()):
                if not host.is_frozen:
                    self._step(host)

    def _step(self, host):
        host.step(self.now)
        host.step(self.now)
        for send in host.read("sends"):
            self._deliver(host, send)
        for attempt in host.read("aborts"):
            for target in self.targets.values():
                target.running.pop((host.name, attempt), None)
        for response in host.read("responses"):
            found = self.statuses.setdefault(self._paths[response.key], [])
            found.append(response.status)
        for fault in host.read("target_faults"):
            self._avoid(host, fault.target)
        for message in host.read("observation_sends"):
            self._deliver_datagram(host, message)

    def _deliver(self, host, send):
        target = self.targets[send.target.target]
        if target.up_at > self.now:
            reply = _build_fault(
                send.attempt, "connect", verdicts.Verdict.NOT_RUN
            )
            self._answer_later(host.name, send.attempt, _CRASH_S, reply)
            return
        self.arrivals.append((self.now, host.name, send.request.path))
        self.arrivals_by_target.setdefault(send.target.target, []).append(
            self.now
        )
        run = next(self._order)
        target.running[host.name, send.attempt] = run
        if send.request.path == self._crashing_path:
            self.end_target(send.target.target)
            return
        sent_at = self.now
        self._schedule(
            _REPLY_S * self.random.uniform(0.5, 2.0),
            lambda: self._complete(host.name, send, run, sent_at),
        )

    def _avoid(self, host, target):
        """Takes a target out of use at a host until it is up again."""

        def publish():
            host.put(
                "usable",
                target.service,
                tuple(
                    each.target
                    for each in self.targets.values()
                    if each.target.service == target.service
                    and each.up_at <= self.now
                ),
            )

        publish()
        self._schedule(_TARGET_DOWN_S, publish)

    def _complete(self, host, send, run, sent_at):
        target = self.targets[send.target.target]
        if target.running.get((host, send.attempt)) != run:
            return
        del target.running[host, send.attempt]
        self._tell_statements(self.hosts[host], target, sent_at)
        reply = creators.create_reply(send.attempt)
        self._answer_later(host, send.attempt, 0.0, reply)

    def _tell_statements(self, host, target, sent_at):
        statements = {}
        if target.limit_per_s is not None:
            statements[kinds.RATE_LIMIT] = answers.Statement(
                kind=kinds.RATE_LIMIT, value=target.limit_per_s
            )
        known = host.board.find_table("target_observations")
        host.append(
            "target_findings",
            *answers.build_findings(
                target.target,
                statements,
                lambda kind, subject: known.get((kind, subject)),
                host=host.name,
                sent_at=sent_at,
                now=self.now,
            ),
        )

    def _answer_later(self, host, attempt, delay_s, reply):
        del attempt
        process = self.hosts[host]

        def answer():
            # The process may have been replaced meanwhile.
            if self.hosts[host] is process:
                process.append("replies", reply)

        self._schedule(delay_s, answer)

    def _deliver_datagram(self, host, message):
        if host.name in self.cut or self.random.random() < self._loss:
            return
        data = peers.encode_observations(message.observations, self.now)
        receiver = next(
            h for h in self.hosts.values() if h.number == message.address[1]
        )

        def receive():
            current = self.hosts[receiver.name]
            if current.name not in self.cut and not current.is_frozen:
                current.append(
                    "peer_observations", *peers.decode_observations(data)
                )

        self._schedule(self.random.uniform(0.001, 0.02), receive)

    def _schedule(self, delay_s, work):
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._order), work)
        )

    # Results.

    def find_limit_excess(self, name, since, window_s=4.0):
        """Returns the most requests of a target in a window over the allowed.

        One and a half times what its limit allows and five more are allowed.
        """
        times = [at for at in self.arrivals_by_target[name] if at >= since]
        allowed = 1.5 * window_s * self.targets[name].limit_per_s + 5
        return max(
            sum(first <= at < first + window_s for at in times)
            for first in [*times, since]
        ) - int(allowed)

    def count_late_arrivals(self):
        """Returns how many crashing requests reached targets too late.

        Those are counted that hosts sent later than ``CONTACT_S`` after the
        third target ended, unless they were disturbed within that time.
        """
        if len(self.ends) < 3:
            return 0
        known_at = self.ends[2] + CONTACT_S
        return sum(
            1
            for at, host, path in self.arrivals
            if path == self._crashing_path
            and at > known_at
            and at > self.hosts[host].disturbed_at + CONTACT_S
        )


def _build_fault(attempt, fault, verdict=verdicts.Verdict.MAY_HAVE_RUN):
    return records.Reply(attempt=attempt, verdict=verdict, fault=fault)
