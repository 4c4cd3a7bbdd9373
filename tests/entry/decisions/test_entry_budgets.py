import hypothesis
from hypothesis import strategies

from bramleyfork.entry.decisions import budgets

WINDOW_S = 10.0


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(
            strategies.floats(min_value=0.0, max_value=2.0),
            strategies.integers(min_value=0, max_value=5),
            strategies.integers(min_value=0, max_value=8),
        ),
        max_size=60,
    )
)
def test_extra_attempts_of_any_window_are_bounded_by_recent_requests(events):
    # Guards against a budget that earlier traffic fills up for later attempts:
    # the bound holds for each window and counts only requests of that window
    # and of the one before it.
    budget = budgets.RetryBudget(ratio=0.2, slack=3.0, window_s=WINDOW_S)
    now, requests, extras = 0.0, [], []
    for pause, asked, wanted in events:
        now += pause
        for _ in range(asked):
            budget.record_request(now)
            requests.append(now)
        for _ in range(wanted):
            if budget.try_withdraw(now):
                extras.append(now)
    for end in extras:
        begin = end - WINDOW_S
        taken = sum(1 for at in extras if begin < at <= end)
        counted = sum(1 for at in requests if begin - WINDOW_S < at <= end)
        assert taken <= 0.2 * counted + 3.0


def test_a_budget_without_requests_and_slack_allows_no_extra_attempt():
    budget = budgets.RetryBudget(ratio=0.2, slack=0.0, window_s=WINDOW_S)
    assert not budget.try_withdraw(1.0)


def test_requests_before_the_window_allow_no_extra_attempt():
    budget = budgets.RetryBudget(ratio=0.5, slack=0.0, window_s=WINDOW_S)
    for _ in range(10):
        budget.record_request(0.0)
    assert budget.try_withdraw(1.0)
    assert not budget.try_withdraw(30.0)
