import pytest

from bramleyfork.entry.decisions import quarantine
from tests.entry.decisions import test_entry_observations as creators

NOW = creators.NOW
HOSTS = ("host-1", "host-2", "host-3")
FREE = quarantine.Ruling.FREE
TRIAL = quarantine.Ruling.TRIAL
HELD = quarantine.Ruling.HELD
REFUSED = quarantine.Ruling.REFUSED


def crash(value=1.0, *, age_s=1.0, host="host-1", **changes):
    return creators.create_observation(
        value=value, observed_at=NOW - age_s, host=host, **changes
    )


def complete(value=0.0, *, age_s=0.5, services=("s1",)):
    return creators.create_observation(
        value=value, observed_at=NOW - age_s, services=services
    )


def judge(
    crashes=(),
    trial_crashes=(),
    completions=(),
    *,
    host="host-1",
    live_hosts=HOSTS,
    is_isolated=False,
):
    return quarantine.judge(
        quarantine.Evidence(
            crashes=crashes,
            trial_crashes=trial_crashes,
            completions=completions,
        ),
        "f1",
        host=host,
        live_hosts=live_hosts,
        is_isolated=is_isolated,
        now=NOW,
    )


def judge_all(*args, **changes):
    """Returns the rulings of all hosts, sorted by name."""
    rulings = [judge(*args, host=host, **changes) for host in HOSTS]
    return sorted(ruling.value for ruling in rulings)


def test_a_request_without_crashes_is_free():
    assert judge() is FREE
    assert judge(completions=[complete()]) is FREE


def test_a_first_crash_makes_a_suspect():
    # Guards against a request that is refused because its target ended.
    assert judge([crash()]) is TRIAL


def test_three_ends_of_which_one_was_in_a_trial_are_a_proof():
    assert judge([crash()], [crash(2.0)]) is REFUSED
    assert judge([crash(20.0)], [crash()]) is REFUSED
    assert judge([crash()], [crash()]) is TRIAL


@pytest.mark.parametrize("ends", [3.0, 20.0])
def test_one_host_tries_a_request_with_which_three_targets_ended(ends):
    # Guards against trials by all hosts at once.
    assert judge_all([crash(ends)]) == ["held", "held", "trial"]


def test_the_host_that_saw_the_first_crash_tries_the_request():
    # Guards against hosts that choose by crashes of which others don't know.
    found = [crash(3.0, age_s=5.0, host="host-2"), crash(host="host-3")]
    for host in HOSTS:
        expected = TRIAL if host == "host-2" else HELD
        assert judge(found, host=host) is expected


def test_another_host_tries_the_request_if_its_owner_is_gone():
    # Guards against a request that nobody may try any more.
    found = [crash(3.0, host="gone")]
    assert judge_all(found) == ["held", "held", "trial"]


def test_an_answer_of_any_service_lets_all_hosts_try_the_request():
    # Guards against gathers that are held back after many targets ended.
    found = [complete(services=("s9",))]
    assert judge_all([crash(20.0)], (), found) == ["trial"] * 3


def test_an_answer_before_the_crash_says_nothing():
    found = [complete(age_s=2.0, value=1.0)]
    assert judge([crash()], [crash(2.0)], found) is REFUSED


@pytest.mark.parametrize(
    "completion", [complete(1.0, services=("s9",)), complete()]
)
def test_a_suspect_is_cleared_by_an_answer(completion):
    # Guards against requests that stay suspect though targets answer them.
    assert judge([crash()], [crash(2.0)], [completion]) is FREE


def test_an_answer_of_one_service_does_not_clear_another():
    # Guards against a request that crashes the targets of one service only.
    found = [crash(services=("s1", "s2"))]
    assert judge(found, (), [complete()]) is TRIAL


def test_a_refused_request_is_tried_again_by_one_host():
    # Guards against a request that is refused for good by coincidence.
    age_s = quarantine.REFUSAL_S
    assert judge_all([crash()], [crash(2.0, age_s=age_s)]) == [
        "held",
        "held",
        "trial",
    ]
    assert judge([crash()], [crash(2.0, age_s=age_s - 0.1)]) is REFUSED


def test_a_request_with_three_trial_crashes_is_not_tried_again():
    # Guards against trials that add up over a long time.
    found = [crash(3.0, age_s=quarantine.REFUSAL_S + 1.0)]
    assert judge([crash()], found) is REFUSED


def test_a_host_that_hears_from_no_other_makes_trials_seldom():
    # Guards against parts of the fleet that each make their own trials.
    assert judge([crash(3.0)], is_isolated=True) is HELD
    assert judge([crash(2.0)], is_isolated=True) is TRIAL
    age_s = quarantine.ISOLATED_HOLD_S
    assert judge([crash(3.0, age_s=age_s)], is_isolated=True) is TRIAL
    assert judge(is_isolated=True) is FREE


def test_only_services_that_may_crash_are_tried_after_an_answer():
    # Guards against gathers that are sent shard by shard after one has ended.
    evidence = quarantine.Evidence(crashes=[crash(services=("s1",))])
    assert quarantine.needs_trial(evidence, "s2")
    evidence = quarantine.Evidence(
        crashes=[crash(services=("s1",))],
        completions=[complete(services=("s2",))],
    )
    assert quarantine.needs_trial(evidence, "s1")
    assert not quarantine.needs_trial(evidence, "s2")
