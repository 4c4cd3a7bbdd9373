import json

import pytest

from bramleyfork.codecs import caller_messages
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

VALID = {"lookup": "availability", "deadline_ms": 400}


def decode(body):
    return caller_messages.decode_query(
        body,
        query_id="q1",
        caller="c",
        received_at=50.0,
        longest_deadline_s=2.0,
    )


def test_valid_query_is_decoded():
    document = VALID | {"parameters": "a=1", "key": 17, "ticket": "t"}
    query = decode(json.dumps(document).encode()).ok
    assert (query.key, query.parameters, query.ticket) == (17, "a=1", "t")
    assert query.deadline == pytest.approx(50.4)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"colour": 1}, "malformed"),
        ({"lookup": 3}, "malformed"),
        ({"parameters": {}}, "malformed"),
        ({"parameters": "\ud800"}, "malformed"),
        ({"key": True}, "malformed"),
        ({"key": 1.0}, "malformed"),
        ({"key": -1}, "bad_key"),
        ({"key": 65536}, "bad_key"),
        ({"deadline_ms": None}, "malformed"),
        ({"deadline_ms": 1.5}, "malformed"),
        ({"deadline_ms": 0}, "bad_deadline"),
        ({"deadline_ms": 2001}, "bad_deadline"),
        ({"ticket": []}, "malformed"),
        ({"ticket": 5}, "malformed"),
    ],
)
def test_invalid_field_is_refused(changes, code):
    # Guards against an invalid value that reaches routing or a target.
    fault = decode(json.dumps(VALID | changes).encode()).error
    assert fault.code == code
    assert fault.verdict is verdicts.Verdict.NOT_RUN


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b"{",
        b'{"lookup":"a","lookup":"b","deadline_ms":4}',
        b"[" * 60_000,
        b'{"deadline_ms":' + b"9" * 10_000 + b"}",
    ],
)
def test_unreadable_body_is_refused(body):
    # Guards against an uncaught parser exception, which the caller would see
    # as an internal error.
    assert decode(body).error.code == "malformed"


def test_oversize_body_is_refused():
    body = b" " * (caller_messages.MAX_BODY_BYTES + 1)
    assert decode(body).error.code == "too_large"


def test_answer_has_the_documented_form():
    answer = replies.Answer(
        query_id="q1",
        verdict=verdicts.Verdict.RAN,
        code="partial",
        snapshot=requests.Snapshot(index_version=41, map_version=7),
        coverage=0.5,
        missing=(("booking-01", ranges.KeyRange(low=0, high=32768)),),
        records=(("booking-01", 17, {"seats": 2}),),
    )
    assert json.loads(caller_messages.encode_answer(answer)) == {
        "query_id": "q1",
        "verdict": "RAN",
        "code": "partial",
        "snapshot": [41, 7],
        "coverage": 0.5,
        "missing": [["booking-01", 0, 32768]],
        "records": [["booking-01", 17, {"seats": 2}]],
        "detail": "",
        "retry_after_ms": None,
        "hosts": [],
    }


@pytest.mark.parametrize(
    ("code", "verdict", "status"),
    [
        ("ok", "RAN", 200),
        ("partial", "RAN", 200),
        ("deadline_past", "NOT_RUN", 408),
        ("deadline_past", "MAY_HAVE_RUN", 504),
        ("no_answer", "NOT_RUN", 503),
        ("no_answer", "MAY_HAVE_RUN", 504),
        ("ticket_used", "NOT_RUN", 409),
        ("quarantined", "MAY_HAVE_RUN", 422),
        ("no_lease", "NOT_RUN", 503),
    ],
)
def test_status_follows_code_and_verdict(code, verdict, status):
    assert (
        caller_messages.find_status(code, verdicts.Verdict(verdict)) == status
    )
