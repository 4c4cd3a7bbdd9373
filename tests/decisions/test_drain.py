import types

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.decisions import drain

SPANS = strategies.floats(0, 100)


@pytest.mark.parametrize(
    ("now", "in_flight", "expected"),
    [
        (106.9, 0, False),  # A caller may still hold a placement answer.
        (107.0, 0, True),
        (107.0, 1, False),
        (109.9, 1, False),
        (110.0, 1, True),  # Every deadline has passed.
    ],
)
def test_host_closes_when_nobody_needs_it(now, in_flight, expected):
    assert drain.may_stop(now, 100.0, 5.0, 2.0, in_flight) is expected


@hypothesis.given(SPANS, SPANS, SPANS, strategies.integers(0, 3))
def test_no_request_is_interrupted(waited, lifetime, longest, in_flight):
    # Guards H9: a request sent at the end of the placement lifetime.
    if drain.may_stop(waited, 0.0, lifetime, longest, in_flight):
        assert waited >= lifetime + longest
        assert in_flight == 0 or waited >= lifetime + 2 * longest


def test_work_held_for_targets_is_counted():
    # Guards against closing on another host's sub-requests.
    work = types.SimpleNamespace(queue=[1, 2], in_flight={"a": 3})
    idle = types.SimpleNamespace(queue=[], in_flight={})
    assert drain.count_in_flight(1, [work, idle]) == 4
