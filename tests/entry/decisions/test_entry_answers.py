import pytest

from bramleyfork.entry import http_headers
from bramleyfork.entry.decisions import answers
from bramleyfork.entry.decisions import observations as kinds
from tests.entry import creators
from tests.entry.decisions import (
    test_entry_observations as observation_creators,
)

NOW = observation_creators.NOW
READER = answers.AnswerReader(header_names=http_headers.HeaderNames())
TARGET = creators.create_target("t1", born_ms=7)


def create_limit(value=9.5, *, age_s=0.0, **changes):
    fields = {
        "kind": kinds.RATE_LIMIT,
        "subject": "t1",
        "born_ms": 7,
        "occasion": "",
        "value": value,
        "observed_at": NOW - age_s,
        "ends_at": NOW + 30.0,
    }
    return observation_creators.create_observation(**(fields | changes))


def build(statements, *known, sent_at=NOW, **changes):
    by_key = {}
    for observation in known:
        key = kinds.get_key(observation)
        by_key[key] = (*by_key.get(key, ()), observation)
    return answers.build_findings(
        TARGET,
        statements,
        lambda kind, subject: by_key.get((kind, subject)),
        host="host-1",
        sent_at=sent_at,
        now=NOW,
        **changes,
    )


def read(status=200, **headers):
    """Returns the values of the statements in an answer by kind."""
    fields = [
        (name.replace("_", "-").encode(), value)
        for name, value in headers.items()
    ]
    return {k: s.value for k, s in READER.read(fields, status).items()}


def build_limit(value, *known):
    statement = answers.Statement(kind=kinds.RATE_LIMIT, value=value)
    return build({kinds.RATE_LIMIT: statement}, *known)


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"9.5", 9.5), (b"0", 0.0), (b" 12 ", 12.0), (b"1e300", kinds.NO_LIMIT)],
)
def test_a_limit_is_read_from_an_answer(value, limit):
    assert read(Rate_Limit=value) == {kinds.RATE_LIMIT: limit}


@pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf"])
def test_an_invalid_limit_says_nothing(value):
    # Guards against a malformed header that stops all requests or the process.
    assert read(rate_limit=value, x=b"1") == {}


def test_a_new_limit_is_a_finding():
    (finding,) = build_limit(9.5)
    assert (finding.subject, finding.born_ms) == ("t1", 7)
    assert (finding.kind, finding.value) == (kinds.RATE_LIMIT, 9.5)


def test_a_limit_that_is_known_is_no_finding_for_a_while():
    # Guards against a datagram to every host for each answer.
    assert build_limit(9.5, create_limit(host="host-2")) == []
    assert build_limit(9.5, create_limit(age_s=6.0))
    assert build_limit(8.0, create_limit())


def test_a_limit_ends_with_an_answer_without_it():
    # Guards against limits that stay in force after the target is well again.
    (finding,) = build({}, create_limit(host="host-2", age_s=1.0))
    assert finding.value == kinds.NO_LIMIT
    ended = create_limit(kinds.NO_LIMIT, host="host-2", age_s=1.0)
    assert build({}, ended) == []
    assert build({}) == []


@pytest.mark.parametrize(
    "changes", [{"sent_at": NOW - 1.0}, {"is_health_check": True}]
)
def test_an_answer_that_says_nothing_of_now_does_not_end_a_limit(changes):
    # Guards against a limit that ends and begins with every other answer.
    assert build({}, create_limit(age_s=0.5), **changes) == []


def test_a_limit_of_an_earlier_process_does_not_hold():
    assert build_limit(9.5, create_limit(born_ms=6))
    assert kinds.find_latest((create_limit(born_ms=6),), 7, NOW) is None


def test_the_latest_statement_holds_whoever_observed_it():
    # Guards against an older limit of one host that outlives a newer one.
    known = (create_limit(9.0, age_s=2.0), create_limit(5.0, host="host-2"))
    assert kinds.find_latest(known, 7, NOW).value == 5.0


def create_leave(value=1.0, **changes):
    return create_limit(value, kind=kinds.LEAVING, **changes)


def test_a_leave_is_read_from_an_answer_and_told_once():
    statements = READER.read([(b"Leaving", b"1")])
    (finding,) = build(statements)
    assert (finding.kind, finding.value) == (kinds.LEAVING, 1.0)
    assert build(statements, create_leave(host="host-2")) == []
    assert read(Leaving=b"0") == {}


@pytest.mark.parametrize(
    ("born_ms", "is_health_check", "ends"),
    [(7, False, False), (7, True, False), (0, False, False), (0, True, True)],
)
def test_a_leave_ends_with_a_health_check_of_a_process_without_listed_start(
    born_ms, is_health_check, ends
):
    # Guards against answers to earlier requests that seem to end a leave.
    known = (create_leave(born_ms=born_ms),)
    found = answers.build_findings(
        TARGET.replace(born_ms=born_ms),
        {},
        lambda kind, _: known if kind == kinds.LEAVING else None,
        host="host-1",
        sent_at=NOW,
        now=NOW,
        is_health_check=is_health_check,
    )
    assert [finding.value for finding in found] == [0.0] * ends


@pytest.mark.parametrize("value", [b"2", b"0.25", b"1e9"])
def test_a_pause_is_read_from_a_refusal_only(value):
    # Guards against a Retry-After of another status that stops all requests.
    assert read(503, Retry_After=value) == {kinds.PAUSE: float(value)}
    assert read(429, Retry_After=value) == {}


@pytest.mark.parametrize(
    "value", [b"", b"0", b"-1", b"soon", b"Sun, 06 Nov 1994 08:49:37 GMT"]
)
def test_an_invalid_pause_says_nothing(value):
    assert read(503, Retry_After=value) == {}


def create_pause(value, **changes):
    return create_limit(value, kind=kinds.PAUSE, ends_at=NOW + value, **changes)


def test_a_pause_is_a_finding_if_it_ends_later_than_the_one_known():
    # Guards against a pause that ends with the first of several refusals.
    statements = READER.read([(b"Retry-After", b"2")], 503)
    (finding,) = build(statements, create_pause(1.0))
    assert finding.lifetime_s == 2.0
    assert build(statements, create_pause(3.0)) == []
    assert build(statements, create_pause(3.0, host="host-2"))
