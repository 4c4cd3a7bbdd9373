import hypothesis
from hypothesis import strategies

from bramleyfork.core import ranges
from bramleyfork.core import requests
from bramleyfork.decisions import snapshots
from tests import creators

OLD = requests.Snapshot(index_version=1, map_version=1)
NEW = requests.Snapshot(index_version=2, map_version=1)


def hold(*rows):
    return tuple(creators.create_holding(s, low, high) for s, low, high in rows)


def test_newest_snapshot_wins_when_complete():
    plan = snapshots.plan_query(
        {
            "s": {
                "a": hold((OLD, 0, 65536), (NEW, 0, 65536)),
                "b": hold((OLD, 0, 65536)),
            }
        },
        frozenset(),
    )
    assert plan.snapshot == NEW
    assert plan.segments[0].candidates == ("a",)


def test_complete_older_snapshot_beats_partial_newer_one():
    # Guards against a rollout that makes answers lose coverage.
    plan = snapshots.plan_query(
        {
            "s": {"a": hold((OLD, 0, 65536), (NEW, 0, 100))},
            "t": {"b": hold((OLD, 0, 65536))},
        },
        frozenset(),
    )
    assert plan.snapshot == OLD


def test_excluded_snapshot_is_not_chosen():
    holdings = {"s": {"a": hold((OLD, 0, 65536), (NEW, 0, 65536))}}
    plan = snapshots.plan_query(holdings, frozenset({NEW}))
    assert plan.snapshot == OLD


def test_nothing_held_gives_no_snapshot():
    plan = snapshots.plan_query({"s": {"a": ()}}, frozenset())
    assert plan.snapshot is None
    assert plan.segments == ()


bounds = strategies.integers(min_value=0, max_value=16)
held_ranges = strategies.lists(
    strategies.tuples(bounds, bounds).filter(lambda b: b[0] < b[1]),
    min_size=1,
    max_size=6,
)


@hypothesis.given(held_ranges)
def test_segments_are_disjoint_and_cover_what_is_held(parts):
    # Guards against a split under way that counts a record twice.
    by_target = {
        f"t{i}": hold((OLD, low * 10, high * 10))
        for i, (low, high) in enumerate(parts)
    }
    segments = snapshots.cut_segments("s", by_target, OLD)
    ordered = sorted(segment.key_range for segment in segments)
    for first, second in zip(ordered, ordered[1:], strict=False):
        assert not first.overlaps(second)
    held = [h.key_range for holdings in by_target.values() for h in holdings]
    assert ranges.merge_ranges(ordered) == ranges.merge_ranges(held)
    for segment in segments:
        for candidate in segment.candidates:
            assert by_target[candidate][0].key_range.contains(segment.key_range)


def test_gaps_are_asked_of_targets_that_may_hold_them_by_now():
    # Guards against a service that nobody asks again after it lost a snapshot.
    plan = snapshots.plan_query(
        {"s": {"a": hold((NEW, 0, 65536))}, "t": {"b": hold((OLD, 0, 100))}},
        frozenset([OLD]),
    )
    gaps = snapshots.find_gaps(plan, ["s", "t"])
    assert gaps == (("t", ranges.FULL_RANGE),)
    filled = snapshots.fill_gaps(plan, gaps, {"t": ("b",)})
    assert [(p.candidates, p.is_confirmed) for p in filled.segments] == [
        (("a",), True),
        (("b",), False),
    ]
    assert snapshots.fill_gaps(plan, gaps, {"t": ()}) == plan
