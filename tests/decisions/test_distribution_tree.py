import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import fleet
from bramleyfork.decisions import distribution_tree

NAMES = tuple(f"h{number}" for number in range(420))


@hypothesis.given(
    count=strategies.integers(min_value=1, max_value=len(NAMES)),
    unavailable=strategies.sets(strategies.sampled_from(NAMES), max_size=30),
)
def test_each_host_receives_an_update_once_and_forwards_it_to_few(
    count, unavailable
):
    # Guards against hosts that no update reaches, and against a host that sends
    # to all others of a large fleet.
    ranked = NAMES[:count]
    available = [name for name in ranked if name not in unavailable]
    received = []
    for name in available:
        children = distribution_tree.list_children(name, ranked, unavailable)
        below = [child for child in children if child not in available[:2]]
        assert len(below) <= distribution_tree.FANOUT
        assert all(
            distribution_tree.find_parent(child, ranked, unavailable) == name
            for child in below
        )
        received.extend(children)
    # No other host sends updates to a single root.
    assert sorted(received) == sorted(available if available[1:] else [])
    assert all(
        distribution_tree.find_parent(name, ranked, unavailable) is None
        for name in available[:2]
    )


def test_update_reaches_a_data_centre_of_the_design_size_in_three_steps():
    reached, steps = set(NAMES[:2]), 0
    while len(reached) < len(NAMES):
        steps += 1
        reached |= {
            child
            for name in reached
            for child in distribution_tree.list_children(name, NAMES, ())
        }
    assert steps == 3


@pytest.mark.parametrize(
    ("state", "is_unavailable"),
    [
        (None, False),
        ("alive", False),
        ("suspect", False),
        ("leaving", True),
        ("dead", True),
    ],
)
def test_only_dead_and_leaving_hosts_are_unavailable(state, is_unavailable):
    member = state and fleet.Member(
        host="h1", incarnation=1, state=state, changed_at=0.0
    )
    unavailable = distribution_tree.UnavailableHosts(
        find_member={"h1": member}.get
    )
    assert ("h1" in unavailable) is is_unavailable
