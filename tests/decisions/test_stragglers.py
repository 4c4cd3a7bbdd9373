from bramleyfork.decisions import stragglers


def create_slow(now=100.0):
    state = stragglers.StragglerState()
    stragglers.note_slow(state, now)
    return state


def test_pause_doubles_with_each_slow_trial_up_to_a_limit():
    # A fixed short pause would send a trial to a lasting straggler for ever.
    state = create_slow()
    avoidances = [state.avoidance_s]
    for _ in range(6):
        stragglers.note_slow(state, state.until)
        avoidances.append(state.avoidance_s)
    assert avoidances == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_attempts_of_the_same_burst_do_not_lengthen_the_pause():
    # One slow moment with many attempts in flight would look like many.
    state = create_slow(now=100.0)
    stragglers.note_slow(state, 100.1)
    assert state.until == 101.0


def test_fast_answer_ends_the_avoidance():
    # A target that has recovered would otherwise stay unused.
    state = create_slow()
    assert stragglers.is_avoided(state)
    stragglers.note_fast(state)
    assert not stragglers.is_avoided(state)
    assert not stragglers.is_trial_due(state, 200.0)


def test_nothing_is_slow_before_a_latency_is_known():
    assert not stragglers.is_slow(9.0, None)
    assert stragglers.is_slow(0.08, 0.04)
    assert not stragglers.is_slow(0.079, 0.04)
