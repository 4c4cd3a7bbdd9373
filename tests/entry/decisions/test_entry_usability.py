import pytest

from bramleyfork.entry.decisions import usability
from tests.entry import creators

NOW = 1000.0


def create_health(**changes):
    fields = {
        "state": usability.READY,
        "born_ms": 1,
        "warm_at": 0.0,
        "probe_at": 0.0,
    }
    return usability.TargetHealth(**(fields | changes))


@pytest.mark.parametrize(
    ("target", "health", "evacuated", "expected"),
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
    target, health, evacuated, expected
):
    assert (
        usability.is_usable(
            creators.create_target("t", **target),
            create_health(**health),
            frozenset(evacuated),
            NOW,
        )
        is expected
    )


@pytest.mark.parametrize(
    ("health", "target", "expected"),
    [
        ({}, {}, True),
        ({"state": usability.READY}, {}, False),
        ({"probe_at": NOW + 1}, {}, False),
        ({}, {"is_draining": True}, False),
        ({}, {"warm_at": NOW + 1}, False),
    ],
)
def test_health_checks_are_due_only_for_unverified_targets_in_service(
    health, target, expected
):
    state = {"state": usability.UNVERIFIED} | health
    assert (
        usability.needs_probe(
            creators.create_target("t", **target),
            create_health(**state),
            frozenset(),
            NOW,
        )
        is expected
    )
