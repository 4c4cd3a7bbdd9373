import pytest

from bench import limits


@pytest.mark.parametrize("name", limits.LIMITERS.list_names())
def test_equal_seeds_give_equal_figures(name):
    # Figures of two runs can only be compared if the seed determines them.
    assert limits.run_limiter(name, 3) == limits.run_limiter(name, 3)


def test_reservation_keeps_the_interval_and_the_deadline():
    # A slot before the interval exceeds the cold rate; one after the deadline
    # is of no use to the client.
    limiter = limits.Reservation(rng=None)
    replies = [limiter.check(0.0, 0.35) for _ in range(6)]
    slots = [reply.admitted_at for reply in replies]
    assert slots[:4] == pytest.approx([0.0, 0.1, 0.2, 0.3])
    assert slots[4:] == [None, None]
