import hypothesis
import hypothesis.strategies as st
import pytest

from bramleyfork.core import registries
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import observations as kinds

NOW = 1000.0


def create_observation(**changes):
    fields = {
        "kind": kinds.CRASH,
        "subject": "f1",
        "host": "host-1",
        "incarnation": 5,
        "number": 1,
        "occasion": "r1",
        "services": ("s1",),
        "value": 1.0,
        "observed_at": NOW,
        "ends_at": NOW + 60.0,
    }
    return observations.Observation(**(fields | changes))


def create_finding(**changes):
    fields = {
        "kind": kinds.CRASH,
        "subject": "f1",
        "occasion": "r1",
        "service": "s1",
        "value": 1.0,
    }
    return observations.Finding(**(fields | changes))


def combine(before=None, **changes):
    return kinds.combine(
        before,
        create_finding(**changes),
        host="host-1",
        incarnation=5,
        number=2,
        now=NOW,
    )


def test_findings_on_one_occasion_add_up():
    # Guards against ends of several targets that count as one.
    found = combine(create_observation(), service="s2")
    assert (found.value, found.services) == (2.0, ("s1", "s2"))


def test_a_finding_holds_for_no_longer_than_its_kind():
    longest = kinds.KINDS.find(kinds.CRASH).lifetime_s
    assert combine(lifetime_s=1e9).ends_at == NOW + longest
    assert combine(lifetime_s=2.0).ends_at == NOW + 2.0


def test_the_services_of_an_observation_are_bounded():
    # Guards against datagrams that grow with the shards of a gather.
    found = None
    for number in range(100):
        found = combine(found, service=f"s{number}")
    assert len(found.services) == kinds.MAX_SERVICES
    assert found.value == 100.0


@pytest.mark.parametrize(
    "changes",
    [{"number": 1}, {"number": 0}, {"incarnation": 4, "number": 9}],
)
def test_an_older_observation_replaces_no_newer_one(changes):
    # Guards against datagrams that arrive late or twice.
    known = (create_observation(),)
    assert kinds.merge(known, create_observation(**changes)) is None


@pytest.mark.parametrize("changes", [{"number": 2}, {"incarnation": 6}])
def test_a_newer_observation_replaces_the_older_one(changes):
    newer = create_observation(**changes)
    assert kinds.merge((create_observation(),), newer) == (newer,)


@pytest.mark.parametrize("changes", [{"host": "host-2"}, {"occasion": "r2"}])
def test_other_hosts_and_occasions_are_kept_apart(changes):
    known = (create_observation(),)
    assert len(kinds.merge(known, create_observation(**changes))) == 2


@hypothesis.given(st.permutations(range(kinds.MAX_OCCASIONS + 3)))
def test_the_last_occasions_of_a_host_are_kept_in_any_order(order):
    # Guards against hosts that keep different ones of many observations.
    known = ()
    for number in order:
        received = create_observation(number=number, occasion=f"r{number}")
        known = kinds.merge(known, received) or known
    assert {o.number for o in known} == set(range(3, kinds.MAX_OCCASIONS + 3))


def test_received_times_are_those_of_this_host():
    received = observations.ReceivedObservation(
        observation=create_observation(observed_at=0.0, ends_at=0.0),
        age_s=2.0,
        remaining_s=1e9,
    )
    found = kinds.set_times(received, NOW)
    assert found.observed_at == NOW - 2.0
    assert found.ends_at == NOW + kinds.KINDS.find(kinds.CRASH).lifetime_s


def test_an_unknown_kind_is_an_error():
    received = observations.ReceivedObservation(
        observation=create_observation(kind="odd"), age_s=0.0, remaining_s=1.0
    )
    with pytest.raises(registries.UnknownNameError):
        kinds.set_times(received, NOW)


def test_what_has_ended_is_not_in_force():
    ended = create_observation(ends_at=NOW)
    left = create_observation(occasion="r2")
    assert kinds.select_in_force((ended, left), NOW) == (left,)
    assert kinds.select_in_force(None, NOW) == ()
