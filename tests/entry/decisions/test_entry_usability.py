import pytest

from bramleyfork.entry.decisions import usability
from tests.entry import creators

NOW = 1000.0


def create_condition(**changes):
    fields = {
        "state": usability.READY,
        "born_ms": 1,
        "warm_at": 0.0,
        "probe_at": 0.0,
    }
    return usability.Condition(**(fields | changes))


@pytest.mark.parametrize(
    ("target", "condition", "evacuated", "expected"),
    [
        ({}, {}, (), True),
        ({"is_draining": True}, {}, (), False),
        ({"warm_at": NOW + 1}, {}, (), False),
        ({"warm_at": NOW}, {}, (), True),
        ({}, {"warm_at": NOW + 1}, (), False),
        ({}, {"state": usability.UNVERIFIED}, (), False),
        ({}, {"state": usability.MISDIRECTED}, (), False),
        ({}, {}, ("north",), False),
        ({}, {}, ("south",), True),
    ],
)
def test_a_target_is_used_only_if_it_is_ready_warm_and_in_service(
    target, condition, evacuated, expected
):
    assert (
        usability.is_usable(
            creators.create_target("t", **target),
            create_condition(**condition),
            frozenset(evacuated),
            NOW,
        )
        is expected
    )


@pytest.mark.parametrize(
    ("condition", "target", "expected"),
    [
        ({}, {}, True),
        ({"state": usability.READY}, {}, False),
        ({"probe_at": NOW + 1}, {}, False),
        ({}, {"is_draining": True}, False),
        ({}, {"warm_at": NOW + 1}, False),
    ],
)
def test_health_checks_are_due_only_for_unverified_targets_in_service(
    condition, target, expected
):
    state = {"state": usability.UNVERIFIED} | condition
    assert (
        usability.needs_probe(
            creators.create_target("t", **target),
            create_condition(**state),
            frozenset(),
            NOW,
        )
        is expected
    )
