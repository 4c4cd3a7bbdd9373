"""Guards against a request that crashes one target after the other.

Each retry of such a request crashes another target until it is quarantined.
"""

import time

import pytest_bdd

from tests.scenarios import answer_threads

pytest_bdd.scenarios("answer_crash.feature")


@pytest_bdd.when(pytest_bdd.parsers.parse('every target crashes on "{text}"'))
def poison_targets(running, text):
    names = running.fleet.declaration.targets
    running.control(names, "faults", crash_on=text)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        '{count:d} callers send "{text}" to every host for {seconds:g} seconds'
    )
)
def send_poison(running, count, text, seconds):
    hosts = sorted(running.fleet.daemons)

    def ask(number, turn):
        host = hosts[(number + turn) % len(hosts)]
        return host, running.fleet.query(host, "availability", parameters=text)

    callers = answer_threads.Callers(ask=ask, count=count, pause_s=0.05)
    time.sleep(seconds)
    callers.stop()
    running.marks["poison"] = callers.rows


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "at most {count:d} crashes happened over the whole fleet"
    )
)
def check_crashes(running, count):
    crashes = {
        name: len(journal["epochs"]) - 1
        for name, journal in running.fleet.read_journals().items()
    }
    assert 1 <= sum(crashes.values()) <= count, crashes


@pytest_bdd.then(
    pytest_bdd.parsers.parse('the request is refused as "{code}" at every host')
)
def check_refused(running, code):
    last = dict(running.marks["poison"])
    assert {answer["code"] for answer in last.values()} == {code}
    assert len(last) == len(running.fleet.daemons)


@pytest_bdd.then(
    pytest_bdd.parsers.parse('no other request was refused as "{code}"')
)
def check_others(running, code):
    assert running.load.rows
    refused = [a for _, a in running.load.rows if a["code"] == code]
    assert refused == []


@pytest_bdd.then("the callers get whole answers")
def check_service(running):
    after = len(running.load.rows)
    running.wait_until(
        lambda: (
            sum(a["code"] == "ok" for _, a in running.load.rows[after:]) >= 10
        ),
        "whole answers",
    )
