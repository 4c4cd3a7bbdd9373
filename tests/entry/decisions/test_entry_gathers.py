import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.entry.decisions import gathers


@hypothesis.given(
    bodies=strategies.lists(strategies.binary(max_size=70), max_size=6),
    limit=strategies.integers(min_value=1, max_value=8),
)
def test_merged_records_are_the_greatest_of_all(bodies, limit):
    records = []
    for body in bodies:
        while len(body) >= gathers.RECORD_BYTES:
            records.append(body[: gathers.RECORD_BYTES])
            body = body[gathers.RECORD_BYTES :]
    expected = b"".join(sorted(records, reverse=True)[:limit])
    assert gathers.merge_records(bodies, limit) == expected


@pytest.mark.parametrize(
    ("count", "share", "expected"),
    [(20, 0.89, 18), (20, 0.75, 15), (20, 0.0, 1), (3, 1.0, 3), (7, 0.5, 4)],
)
def test_the_required_shard_count_reaches_the_share(count, share, expected):
    assert gathers.compute_min_shards(count, share) == expected


@hypothesis.given(
    count=strategies.integers(min_value=1, max_value=300),
    share=strategies.floats(min_value=0.0, max_value=1.0),
)
def test_the_required_shard_count_is_never_below_the_share(count, share):
    # Guards against answers that are just below the share because of rounding.
    min_shards = gathers.compute_min_shards(count, share)
    assert 1 <= min_shards <= count
    assert min_shards / count >= share


def decide(**changes):
    fields = {
        "now": 10.0,
        "included": 18,
        "pending": 2,
        "total": 20,
        "min_shards": 18,
        "aim_at": 10.1,
        "late_cutoff_at": 10.2,
        "deadline_at": 10.8,
    }
    return gathers.decide(**(fields | changes))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"included": 20, "pending": 0}, (gathers.ANSWER, None)),
        ({}, (gathers.WAIT, 10.1)),
        ({"now": 10.1}, (gathers.ANSWER, None)),
        ({"now": 10.15}, (gathers.WAIT, 10.2)),
        ({"now": 10.2}, (gathers.ANSWER, None)),
        ({"included": 17, "pending": 3, "now": 10.2}, (gathers.WAIT, 10.8)),
        ({"included": 17, "pending": 3, "now": 10.8}, (gathers.GIVE_UP, None)),
        ({"included": 17, "pending": 0}, (gathers.GIVE_UP, None)),
        ({"included": 18, "pending": 0}, (gathers.ANSWER, None)),
    ],
)
def test_an_answer_is_given_when_waiting_is_worth_less(changes, expected):
    assert decide(**changes) == expected
