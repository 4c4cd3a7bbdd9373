"""Guards against seat holds that run twice and against false NOT_RUN.

Both can follow from crashes, reused tickets and hosts that were frozen.
"""

import concurrent.futures
import json
import signal
import time

import pytest_bdd

from tests.scenarios import answer_threads

pytest_bdd.scenarios("answer_once.feature")

DEADLINE_MS = 500
KEY = 1024
CRASH_PAUSE_S = 0.35
RESTART_S = 0.2
# Time from a query until its request reaches a target, and time after which a
# resumed host sends nothing more.
ON_THE_WAY_S = 0.1
SETTLED_S = 1.5


def take_ticket(running, host):
    """Returns a ticket of a host, or None if it issues none."""
    declared = running.fleet.declaration.hosts[host]
    placed = running.fleet.place(host, declared.data_centre, tickets=1)
    return next(iter(placed.get("tickets", ())), None)


def hold_seat(running, host, seat, ticket):
    """Queries a seat hold with a ticket; returns the answer."""
    return running.fleet.query(
        host,
        "seat-hold",
        key=KEY,
        parameters=seat,
        ticket=ticket,
        deadline_ms=DEADLINE_MS,
    )


def note_answer(running, seat, answer):
    running.answers.append(answer)
    running.marks.setdefault("seats", []).append((seat, answer))


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{count:d} callers hold seats all the while")
)
def start_callers(running, count):
    hosts = sorted(running.fleet.daemons)

    def ask(number, turn):
        host = hosts[number % len(hosts)]
        ticket = take_ticket(running, host)
        seat = f"seat-{number}-{turn}"
        if ticket is not None:
            answer = hold_seat(running, host, seat, ticket)
            note_answer(running, seat, answer)

    running.marks["callers"] = answer_threads.Callers(
        ask=ask, count=count, pause_s=0.01
    )


@pytest_bdd.when("the callers of seats stop")
def stop_callers(running):
    running.marks["callers"].stop()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the targets of "{service}" crash one after the other, {count:d} times'
    )
)
def crash_targets(running, service, count):
    replicas = running.list_replicas(service)
    for number in range(count):
        target = replicas[number % len(replicas)]
        running.control([target], "crash", restart_after_s=RESTART_S)
        time.sleep(CRASH_PAUSE_S)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the targets of "{service}" suffer "{call}" with {body}'
    )
)
def control_targets(running, service, call, body):
    running.control(running.list_replicas(service), call, **json.loads(body))


@pytest_bdd.when(
    pytest_bdd.parsers.parse('a caller holds seat "{seat}" at host "{host}"')
)
def hold_one(running, seat, host):
    ticket = running.wait_until(
        lambda: take_ticket(running, host), f"a ticket of {host}"
    )
    running.marks[seat] = ticket
    note_answer(running, seat, hold_seat(running, host, seat, ticket))


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the ticket of seat "{seat}" is presented again to host "{host}"'
    )
)
@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'the ticket of seat "{seat}" is presented again to host "{host}"'
    )
)
def hold_again(running, seat, host):
    answer = hold_seat(running, host, seat, running.marks[seat])
    running.answers.append(answer)
    assert answer["verdict"] != "RAN", answer


@pytest_bdd.when(
    pytest_bdd.parsers.re(
        r'hosts "(?P<hosts>[^"]+)" freeze for (?P<seconds>[\d.]+) s'
        r' (?P<order>while|before) a caller holds seat "(?P<seat>\w+)"'
        r' at host "(?P<host>[\w-]+)"'
    )
)
@pytest_bdd.then(
    pytest_bdd.parsers.re(
        r'hosts "(?P<hosts>[^"]+)" freeze for (?P<seconds>[\d.]+) s'
        r' (?P<order>while|before) a caller holds seat "(?P<seat>\w+)"'
        r' at host "(?P<host>[\w-]+)"'
    )
)
def hold_frozen(running, hosts, seconds, order, seat, host):
    daemons = [running.fleet.daemons[name] for name in hosts.split(", ")]
    ticket = running.wait_until(
        lambda: take_ticket(running, host), f"a ticket of {host}"
    )
    running.marks[seat] = ticket
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        if order == "while":
            asked = pool.submit(hold_seat, running, host, seat, ticket)
            time.sleep(ON_THE_WAY_S)
        for daemon in daemons:
            daemon.send_signal(signal.SIGSTOP)
        if order == "before":
            asked = pool.submit(hold_seat, running, host, seat, ticket)
        # The freeze under test lasts longer than deadline and lease.
        time.sleep(float(seconds))
        for daemon in daemons:
            daemon.send_signal(signal.SIGCONT)
        note_answer(running, seat, asked.result())
    time.sleep(SETTLED_S)


@pytest_bdd.then(
    pytest_bdd.parsers.parse('the verdict is {verdict} with code "{code}"')
)
def check_verdict(running, verdict, code):
    given = (running.answer["verdict"], running.answer["code"])
    assert given == (verdict, code), running.answer


@pytest_bdd.then(
    pytest_bdd.parsers.parse('seat "{seat}" never reached a target')
)
def check_no_attempt(running, seat):
    for name, journal in running.fleet.read_journals().items():
        reached = [a for a in journal["attempts"] if a["parameters"] == seat]
        assert reached == [], name


@pytest_bdd.then("no seat hold ran more than once")
def check_at_most_once(running):
    counts = running.count_writes()
    assert counts
    assert {s: n for s, n in counts.items() if n > 1} == {}


@pytest_bdd.then("no seat hold that was answered NOT_RUN ran")
def check_not_run(running):
    counts = running.count_writes()
    for seat, answer in running.marks["seats"]:
        if answer["verdict"] == "NOT_RUN":
            assert counts[seat] == 0, (seat, answer)


@pytest_bdd.then("each seat hold that was answered RAN ran once")
def check_ran(running):
    counts = running.count_writes()
    for seat, answer in running.marks["seats"]:
        if answer["verdict"] == "RAN":
            assert counts[seat] == 1, (seat, answer)


@pytest_bdd.then("the verdicts NOT_RUN, MAY_HAVE_RUN and RAN were all given")
def check_verdicts(running):
    given = {answer["verdict"] for _, answer in running.marks["seats"]}
    assert given == {"NOT_RUN", "MAY_HAVE_RUN", "RAN"}
