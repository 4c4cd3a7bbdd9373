"""Guards against answers whose coverage includes ranges not read.

Such ranges come from crashed, slow, faulty or partly loaded replicas.
"""

import json

import pytest
import pytest_bdd

pytest_bdd.scenarios("answer_coverage.feature")

HOSTS = ("north-1", "east-1", "south-1")


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'both replicas of "{service}" suffer "{call}" with {body}'
    )
)
def control_replicas(running, service, call, body):
    running.control(running.list_replicas(service), call, **json.loads(body))


@pytest_bdd.then(
    pytest_bdd.parsers.parse("an answer covers {share:g} without {missing}")
)
def check_missing(running, share, missing):
    for host in HOSTS:
        answer = running.ask(host, "availability")
        assert answer["code"] == "partial", answer
        assert answer["coverage"] == pytest.approx(share)
        assert answer["missing"] == json.loads(missing)


@pytest_bdd.then(pytest_bdd.parsers.parse("soon an answer covers {share:g}"))
def wait_for_coverage(running, share):
    for host in HOSTS:
        running.wait_until(
            lambda host=host: (
                running.ask(host, "availability")["coverage"] == share
            ),
            f"coverage {share} at {host}",
        )


@pytest_bdd.then("no answer was false")
def check_truth(running):
    assert running.answers
    for answer in running.answers:
        assert running.find_answer_errors(answer, "availability") == []
