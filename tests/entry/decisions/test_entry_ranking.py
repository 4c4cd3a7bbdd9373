from bramleyfork.entry.decisions import ranking


def estimate(**changes):
    fields = {
        "now": 100.0,
        "distance_s": 0.001,
        "latency_s": 0.02,
        "latency_at": 100.0,
        "outstanding": 0,
        "slots": 2,
        "oldest_at": None,
        "fault_rate": 0.0,
    }
    return ranking.estimate_cost(**(fields | changes))


def test_a_near_target_comes_before_a_far_one():
    assert estimate() < estimate(distance_s=0.018, latency_s=0.037)


def test_unanswered_attempts_raise_the_cost():
    assert estimate() < estimate(outstanding=2, oldest_at=99.99)


def test_a_paused_target_comes_last():
    # Guards against sending more requests to a target while it is paused.
    stuck = estimate(outstanding=1, oldest_at=99.9)
    assert stuck > estimate(distance_s=0.018, latency_s=0.05)


def test_faults_raise_the_cost():
    assert estimate(fault_rate=0.5) > estimate(latency_s=0.1)


def test_a_slow_target_is_tried_again_after_a_while():
    slow = estimate(latency_s=0.2, latency_at=90.0)
    assert slow < estimate(latency_s=0.02)
