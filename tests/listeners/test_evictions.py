import hypothesis
from hypothesis import strategies

from bramleyfork.listeners import evictions


class Candidate:
    def __init__(self, opened_at, progress_at, name="", is_idle=False):
        self.opened_at = opened_at
        self.progress_at = progress_at
        self.is_idle = is_idle
        self.name = name


def test_what_makes_no_progress_goes_first():
    # Guards against a request in transfer that is lost to stalled ones.
    candidates = [
        Candidate(9.5, 9.9, "moving, newer"),
        Candidate(1.0, 9.9, "moving, older"),
        Candidate(8.0, 8.0, "stalled"),
        Candidate(2.0, 2.0, "stalled for longest"),
        Candidate(9.95, 9.95, "idle, new", is_idle=True),
        Candidate(9.8, 9.8, "idle", is_idle=True),
    ]
    ordered = evictions.order_victims(candidates, now=10.0)
    assert [candidate.name for candidate in ordered] == [
        "stalled for longest",
        "stalled",
        "idle",
        "idle, new",
        "moving, newer",
        "moving, older",
    ]


TIMES = strategies.floats(0.0, 10.0)


@hypothesis.given(
    rows=strategies.lists(strategies.tuples(TIMES, TIMES), max_size=20)
)
def test_each_candidate_is_named_once_and_the_stalled_ones_first(rows):
    candidates = [Candidate(min(row), max(row)) for row in rows]
    ordered = evictions.order_victims(candidates, now=10.0)
    assert sorted(map(id, ordered)) == sorted(map(id, candidates))
    is_stalled = [10.0 - c.progress_at >= 0.25 for c in ordered]
    assert is_stalled == sorted(is_stalled, reverse=True)
