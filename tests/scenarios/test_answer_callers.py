"""Guards against an answer that is returned to another caller.

Late replies, wrong attempt ids and cut replies can assign a reply to the wrong
request on a shared connection.
"""

import itertools
import time

import pytest_bdd

from tests.scenarios import answer_threads

pytest_bdd.scenarios("answer_callers.feature")

LOOKUP = "pickup"
DEADLINE_MS = 250
# Applied in turn, FAULT_S each, to both replicas of the service.
FAULTS = (
    {"delay_ms": 120.0, "delay_probability": 0.3},
    {"delay_ms": 400.0, "delay_probability": 0.3, "wrong_attempt_id": 5},
    {"delay_ms": 120.0, "delay_probability": 0.2, "cut_reply": 5},
    {},
)
FAULT_S = 0.5


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{count:d} callers ask for different keys for {seconds:g} seconds"
    )
)
def start_callers(running, count, seconds):
    running.marks["until"] = time.monotonic() + seconds
    hosts = sorted(running.fleet.daemons)

    def ask(number, turn):
        key = 1024 * ((number * 4 + turn) % 64)
        answer = running.fleet.query(
            hosts[number % len(hosts)],
            LOOKUP,
            key=key,
            deadline_ms=DEADLINE_MS,
            parameters=f"caller={number}",
        )
        return key, answer

    running.marks["callers"] = answer_threads.Callers(
        ask=ask, count=count, pause_s=0.02
    )


@pytest_bdd.when(
    "targets are slow, answer with other attempt ids and cut replies"
)
def spoil_replies(running):
    replicas = running.list_replicas("booking-02")
    for faults in itertools.cycle(FAULTS):
        if time.monotonic() >= running.marks["until"]:
            break
        running.control(replicas, "faults", **faults)
        time.sleep(FAULT_S)
    running.marks["callers"].stop()


@pytest_bdd.then("every answer holds the record of its own key")
def check_keys(running):
    callers = running.marks["callers"]
    assert callers.errors == []
    for key, answer in callers.rows:
        assert running.find_answer_errors(answer, LOOKUP, key) == []
        if answer["code"] == "ok":
            assert [row[1] for row in answer["records"]] == [key]
        assert answer["code"] not in ("quarantined", "ticket_used"), answer


@pytest_bdd.then("some callers had an answer, some had none")
def check_mix(running):
    codes = {a["code"] for _, a in running.marks["callers"].rows}
    assert {"ok", "no_answer"} <= codes
