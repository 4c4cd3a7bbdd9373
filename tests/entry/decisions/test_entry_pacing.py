import math

import hypothesis
import hypothesis.strategies as st
import pytest

from bramleyfork.entry.decisions import pacing

NOW = 1000.0
WINDOW_S = 4.0


def compute_fraction(**changes):
    fields = {
        "is_listed": True,
        "listed_hosts": 6,
        "known_hosts": 6,
        "knows_fleet": True,
    }
    return pacing.compute_fraction(**(fields | changes))


def count_sends(limit_per_s, fraction, *, host="host-1", seconds=WINDOW_S):
    """Returns how many requests a host sends that always has one to send."""
    share = pacing.compute_share(limit_per_s, fraction)
    due_at = pacing.find_first_due("t1", host, NOW, share)
    # It was idle for long enough to send a burst.
    start = due_at + 100.0 if not math.isinf(due_at) else NOW
    now, sent = start, 0
    while now < start + seconds:
        if pacing.find_delay(due_at, now, share) == 0.0:
            due_at = pacing.advance(due_at, now, share)
            sent += 1
        else:
            now += 0.01
    return sent


@pytest.mark.parametrize(("listed", "others"), [(6, 0), (6, 24), (27, 168)])
def test_the_fractions_of_all_hosts_add_up_to_one(listed, others):
    # Guards against hosts beside the directory's that use a share as well.
    known = listed + others
    fields = {"listed_hosts": listed, "known_hosts": known}
    total = listed * compute_fraction(**fields)
    total += others * compute_fraction(is_listed=False, **fields)
    assert total == pytest.approx(1.0)


def test_a_host_that_knows_no_other_uses_a_small_part():
    # Guards against hosts that each take themselves for the only one.
    assert compute_fraction(known_hosts=1, knows_fleet=False) <= 1 / 8
    assert compute_fraction(known_hosts=1) == 1.0


@hypothesis.given(
    st.floats(0.5, 200.0),
    st.integers(1, 12),
)
def test_requests_of_all_hosts_keep_to_the_limit(limit_per_s, hosts):
    # Guards against bursts of all hosts at once.
    hypothesis.assume(hosts <= 2.0 * limit_per_s + 5.0 - 2.0)
    sent = sum(
        count_sends(limit_per_s, 1.0 / hosts, host=f"host-{n}")
        for n in range(hosts)
    )
    assert sent <= 1.5 * WINDOW_S * limit_per_s + 5.0


def test_the_first_requests_of_many_hosts_are_spread():
    # Guards against a hundred hosts that each send one request at once.
    share = pacing.compute_share(1.0, 1.0 / 100)
    due = [
        pacing.find_first_due("t1", f"host-{n}", NOW, share) for n in range(100)
    ]
    assert sum(at < NOW + WINDOW_S for at in due) <= 11


def test_a_target_that_takes_nothing_gets_nothing():
    # Guards against a division by a limit of 0.
    assert count_sends(0.0, 0.5) == 0
    share = pacing.compute_share(0.0, 0.5)
    assert pacing.find_delay(NOW, NOW, share) == math.inf


def test_a_host_uses_its_share():
    assert count_sends(12.0, 1.0 / 6, seconds=30.0) >= 60
