import hypothesis
from hypothesis import strategies

from bramleyfork.entry.decisions import budgets
from bramleyfork.entry.decisions import placement

WINDOW_S = 10.0
REGIONS = ("left", "right", "far")


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
    budget = budgets.RetryBudget(ratio=0.2, window_s=WINDOW_S)
    now, requests, extras = 0.0, [], []
    for pause, asked, wanted in events:
        now += pause
        for _ in range(asked):
            budget.record_request(now)
            requests.append(now)
        for _ in range(wanted):
            if budget.try_withdraw(now, slack=3.0):
                extras.append(now)
    for end in extras:
        begin = end - WINDOW_S
        taken = sum(1 for at in extras if begin < at <= end)
        counted = sum(1 for at in requests if begin - WINDOW_S < at <= end)
        assert taken <= 0.2 * counted + 3.0


def test_a_budget_without_requests_and_slack_allows_no_extra_attempt():
    budget = budgets.RetryBudget(ratio=0.2, window_s=WINDOW_S)
    assert not budget.try_withdraw(1.0, slack=0.0)


def test_requests_before_the_window_allow_no_extra_attempt():
    budget = budgets.RetryBudget(ratio=0.5, window_s=WINDOW_S)
    for _ in range(10):
        budget.record_request(0.0)
    assert budget.try_withdraw(1.0, slack=0.0)
    assert not budget.try_withdraw(30.0, slack=0.0)


def create_hosts(count):
    return [
        placement.Host(
            address=f"10.0.0.{number}:80",
            region=REGIONS[number % len(REGIONS)],
            capacity=1.0,
        )
        for number in range(count)
    ]


def find_listed(view, own, limit):
    """Returns the hosts that the directory of a host with a view lists."""
    per_region = placement.count_listed_hosts(limit, len(REGIONS))
    hosts = [*view, own] if own not in view else list(view)
    return {
        address
        for region in REGIONS
        for address in placement.choose_hosts(
            hosts=hosts,
            caller_region=region,
            regions=[region],
            per_region=per_region,
        )
    }


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    count=strategies.integers(min_value=2, max_value=200),
    old_count=strategies.integers(min_value=1, max_value=200),
    limit=strategies.sampled_from((25, 53, 120, 1200)),
    choices=strategies.randoms(use_true_random=False),
)
def test_the_shares_of_the_slack_add_up_to_at_most_the_slack(
    count, old_count, limit, choices
):
    # Guards against a sum over all hosts that grows with the fleet, or with
    # hosts that see none of the others or only those of an old, smaller fleet.
    slack = 430.0
    hosts = create_hosts(count)
    old = hosts[: min(old_count, count)]
    views = {
        host: choices.choice(([], hosts, old) if host in old else ([], hosts))
        for host in hosts
    }
    listed = set().union(
        *(find_listed(view, own, limit) for own, view in views.items())
    )
    total = sum(
        budgets.compute_slack_share(
            slack,
            sending_hosts=placement.count_sending_hosts(
                limit, host_count=len(view), region_count=len(REGIONS)
            ),
            knows_fleet=bool(view),
        )
        for own, view in views.items()
        if own.address in listed
    )
    assert total <= slack


def test_a_host_that_knows_no_other_gets_no_share_of_the_slack():
    assert (
        budgets.compute_slack_share(430.0, sending_hosts=1, knows_fleet=False)
        == 0.0
    )
