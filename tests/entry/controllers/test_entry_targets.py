import pytest

from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import targets as controller
from tests.entry import boards
from tests.entry import creators


def start(**changes):
    fed = boards.FedBoard(controller.Targets)
    fed.put(
        "route_table",
        "current",
        creators.create_table(creators.create_route()),
    )
    fed.target = creators.create_target("a", **changes)
    fed.put("listed_targets", "a", fed.target)
    fed.step()
    return fed


def list_usable(fed):
    return [t.target for t in fed.get("usable", "s1") or ()]


def accuse(fed, fault="connect"):
    fed.append(
        "target_faults",
        exchanges.TargetFault(target=fed.target, fault=fault, at=fed.now),
    )
    fed.step()


def report(fed, **changes):
    fields = {"target": fed.target, "is_healthy": True, "warmup_s": 0.0}
    fed.append("probe_results", exchanges.ProbeResult(**(fields | changes)))
    fed.step()


def test_a_listed_target_is_used():
    assert list_usable(start()) == ["a"]


def test_a_cold_target_is_used_when_it_is_warm():
    # Guards against full load on a target that has just started.
    fed = start(warm_at=1002.0)
    assert list_usable(fed) == []
    fed.step(1.9)
    assert list_usable(fed) == []
    fed.step(0.2)
    assert list_usable(fed) == ["a"]


def test_a_draining_target_is_not_used():
    fed = start()
    fed.put("listed_targets", "a", fed.target.replace(is_draining=True))
    fed.step()
    assert list_usable(fed) == []


@pytest.mark.parametrize(
    ("fault", "pause_s"), [("connect", 1.5), ("silent", 0.06)]
)
def test_a_faulty_target_is_used_after_a_good_health_check(fault, pause_s):
    # Guards against full load on a target that has restarted under its old id
    # and is cold.
    fed = start()
    accuse(fed, fault)
    assert list_usable(fed) == []
    fed.step(pause_s)
    (probe,) = fed.take("probes")
    assert (probe.target.target, probe.path) == ("a", "/health")
    report(fed, is_healthy=False)
    assert list_usable(fed) == []
    report(fed)
    assert list_usable(fed) == ["a"]


def test_a_health_check_with_a_warmup_delays_the_use():
    fed = start()
    accuse(fed)
    report(fed, warmup_s=2.0)
    assert list_usable(fed) == []
    fed.step(2.1)
    assert list_usable(fed) == ["a"]


def test_a_misdirected_target_waits_for_a_new_listing():
    # Guards against sends to an address that another service has taken over.
    fed = start()
    accuse(fed, "misdirected")
    fed.step(5.0)
    assert fed.take("probes") == []
    assert list_usable(fed) == []
    fed.target = fed.target.replace(born_ms=2)
    fed.put("listed_targets", "a", fed.target)
    fed.step()
    assert list_usable(fed) == ["a"]


def test_a_fault_of_an_earlier_process_is_not_held_against_a_new_one():
    fed = start()
    old = fed.target
    fed.target = old.replace(born_ms=2)
    fed.put("listed_targets", "a", fed.target)
    fed.step()
    fed.append(
        "target_faults",
        exchanges.TargetFault(target=old, fault="connect", at=fed.now),
    )
    fed.step()
    assert list_usable(fed) == ["a"]


def test_targets_of_an_evacuated_data_centre_are_not_used():
    fed = start()
    fed.put("evacuations", "north", 5)
    fed.step()
    assert list_usable(fed) == []


def test_targets_are_checked_after_an_evacuation_ends():
    # Guards against full load on targets that became cold in the evacuation.
    fed = start()
    fed.put("evacuations", "north", 5)
    fed.step()
    fed.remove("evacuations", "north")
    fed.step()
    assert list_usable(fed) == []
    assert len(fed.take("probes")) == 1
    report(fed)
    assert list_usable(fed) == ["a"]


def test_health_checks_are_at_most_about_one_a_second():
    fed = start()
    accuse(fed)
    fed.step(10.0)
    assert 7 <= len(fed.take("probes")) <= 15


def test_a_silent_target_is_checked_at_once():
    # Guards against shards that are left out for a second because their only
    # target left a few requests unanswered (inc-5127).
    fed = start()
    accuse(fed, "silent")
    fed.step(0.06)
    assert len(fed.take("probes")) == 1
    report(fed)
    assert list_usable(fed) == ["a"]
