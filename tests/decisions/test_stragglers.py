from bramleyfork.decisions import stragglers


def create_slow(now=100.0):
    state = stragglers.StragglerState()
    stragglers.record_slow(state, now)
    return state


def test_avoidance_time_doubles_with_each_slow_trial_up_to_a_limit():
    # Guards against frequent trials of a target that stays slow.
    state = create_slow()
    avoidances = [state.avoidance_s]
    for _ in range(6):
        stragglers.record_slow(state, state.next_trial_at)
        avoidances.append(state.avoidance_s)
    assert avoidances == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_attempts_of_the_same_burst_do_not_extend_the_avoidance():
    # Guards against one slow moment that is counted once for each attempt in
    # flight.
    state = create_slow(now=100.0)
    stragglers.record_slow(state, 100.1)
    assert state.next_trial_at == 101.0


def test_fast_answer_ends_the_avoidance():
    # Guards against a target that stays unused after it has recovered.
    state = create_slow()
    assert stragglers.is_avoided(state)
    stragglers.record_fast(state)
    assert not stragglers.is_avoided(state)
    assert not stragglers.is_trial_due(state, 200.0)


def test_nothing_is_slow_before_a_latency_is_known():
    assert not stragglers.is_slow(9.0, None)
    assert stragglers.is_slow(0.08, 0.04)
    assert not stragglers.is_slow(0.079, 0.04)
