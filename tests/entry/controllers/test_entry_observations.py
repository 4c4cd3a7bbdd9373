import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry import observations
from bramleyfork.entry.controllers import observations as controller
from bramleyfork.entry.decisions import observations as kinds
from tests.entry import boards
from tests.entry.decisions import test_entry_gossip as gossip_tests
from tests.entry.decisions import test_entry_observations as creators


def start(hosts=3):
    harness = boards.ComponentHarness(controller.Observations)
    for number in range(1, hosts + 1):
        put_host(harness, number)
    harness.step()
    return harness


def put_host(harness, number, **changes):
    update = gossip_tests.create_update(number, **changes)
    harness.put(
        "members",
        update.host,
        fleet.Member(update=update, changed_at=harness.now),
    )


def find(harness, **changes):
    harness.append("request_findings", creators.create_finding(**changes))
    harness.step()


def receive(harness, *, age_s=0.0, remaining_s=60.0, **changes):
    harness.append(
        "peer_observations",
        observations.ReceivedObservation(
            observation=creators.create_observation(
                **({"host": "host-2"} | changes)
            ),
            age_s=age_s,
            remaining_s=remaining_s,
        ),
    )
    harness.step()


def get_known(harness, kind=kinds.CRASH, subject="f1"):
    return harness.get("request_observations", (kind, subject)) or ()


def read_sends(harness):
    return harness.read_new_records("observation_sends")


def test_a_finding_is_told_to_all_hosts_at_once():
    # Guards against hosts that learn of a crash a gossip period later.
    harness = start()
    find(harness)
    sends = read_sends(harness)
    assert len({send.address for send in sends}) == 2
    (observation,) = sends[0].observations
    assert observation.host == "host-1"
    assert (observation.subject, observation.value) == ("f1", 1.0)


def test_a_finding_is_told_again_as_datagrams_may_be_lost():
    harness = start()
    find(harness)
    read_sends(harness)
    harness.step(kinds.SEND_INTERVAL_S * (kinds.SEND_ROUNDS - 1) + 0.01)
    assert len(read_sends(harness)) >= 2 * (kinds.SEND_ROUNDS - 1)


def test_a_large_fleet_passes_on_what_it_receives():
    # Guards against hosts of a large fleet that the owner never tells.
    harness = start(hosts=40)
    receive(harness)
    assert len(read_sends(harness)) == kinds.RELAY_FANOUT
    harness.step(kinds.SEND_INTERVAL_S * 2)
    assert not read_sends(harness)


def test_a_small_fleet_does_not_repeat_what_it_receives():
    harness = start()
    receive(harness)
    receive(harness)
    assert not read_sends(harness)


def test_a_new_process_of_a_host_is_told_what_is_known():
    # Guards against a host that forgets everything when it restarts.
    harness = start()
    receive(harness)
    harness.step(2.0)
    read_sends(harness)
    put_host(harness, 2, incarnation=99)
    harness.step(kinds.ANTI_ENTROPY_INTERVAL_S)
    update = gossip_tests.create_update(2)
    assert update.peer_address in {s.address for s in read_sends(harness)}


def test_what_is_known_is_exchanged_until_it_ends():
    # Guards against a host that was cut off while it was told.
    harness = start()
    receive(harness, remaining_s=10.0)
    harness.step(5.0)
    assert len(read_sends(harness)) >= 4
    harness.step(6.0)
    read_sends(harness)
    assert get_known(harness) == ()
    harness.step(5.0)
    assert not read_sends(harness)


def test_an_observation_keeps_its_age():
    # Guards against an end that moves on with each host that is told.
    harness = start()
    receive(harness, age_s=3.0, remaining_s=7.0)
    (known,) = get_known(harness)
    assert known.observed_at == harness.now - 3.0
    assert known.ends_at == harness.now + 7.0


@pytest.mark.parametrize(
    "changes", [{"kind": "odd"}, {"remaining_s": 0.0}, {"number": 1}]
)
def test_what_is_unknown_ended_or_old_changes_nothing(changes):
    harness = start()
    receive(harness, number=1, value=1.0)
    before = get_known(harness)
    receive(harness, **({"number": 2, "value": 5.0} | changes))
    assert get_known(harness) == before


def test_the_number_of_observations_is_bounded(monkeypatch):
    # Guards against callers that fill the memory with crashing requests.
    monkeypatch.setattr(kinds, "MAX_OBSERVATIONS", 5)
    harness = start()
    for number in range(9):
        receive(harness, subject=f"f{number}", remaining_s=3.0)
    assert len(harness.board.find_table("request_observations")) == 5
    harness.step(4.0)
    receive(harness, subject="later")
    assert len(harness.board.find_table("request_observations")) == 1
