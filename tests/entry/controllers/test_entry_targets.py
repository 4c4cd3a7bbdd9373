import pytest

from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import targets as controller
from bramleyfork.entry.decisions import observations as kinds
from tests.entry import boards
from tests.entry import creators
from tests.entry.decisions import (
    test_entry_observations as observation_creators,
)


def start(**changes):
    harness = boards.ComponentHarness(controller.Targets)
    harness.put(
        "route_table",
        "current",
        creators.create_table(creators.create_route()),
    )
    harness.target = creators.create_target("a", **changes)
    harness.put("listed_targets", "a", harness.target)
    harness.step()
    return harness


def list_usable(harness):
    return [t.target for t in harness.get("usable", "s1") or ()]


def report_fault(harness, fault="connect"):
    harness.append(
        "target_faults",
        exchanges.TargetFault(
            target=harness.target, fault=fault, at=harness.now
        ),
    )
    harness.step()


def report_probe(harness, **changes):
    fields = {"target": harness.target, "is_healthy": True, "warmup_s": 0.0}
    harness.append("probe_results", exchanges.ProbeResult(**(fields | changes)))
    harness.step()


def test_a_listed_target_is_used():
    assert list_usable(start()) == ["a"]


def test_a_cold_target_is_used_when_it_is_warm():
    # Guards against full load on a target that has just started.
    harness = start(warm_at=1002.0)
    assert list_usable(harness) == []
    harness.step(1.9)
    assert list_usable(harness) == []
    harness.step(0.2)
    assert list_usable(harness) == ["a"]


def test_a_target_of_an_unknown_service_keeps_no_process_busy():
    # Guards against a controller that is due at once, for ever, as it can't
    # check a target whose service no route table names yet.
    harness = start(service="s2")
    harness.put("evacuations", "north", True)
    harness.step()
    harness.remove("evacuations", "north")
    assert harness.step() is None
    assert harness.read_new_records("probes") == []
    route = creators.create_gather(2)
    harness.put("route_table", "current", creators.create_table(route))
    harness.step()
    (probe,) = harness.read_new_records("probes")
    assert probe.target.target == "a"


def test_a_draining_target_is_not_used():
    harness = start()
    harness.put("listed_targets", "a", harness.target.replace(is_draining=True))
    harness.step()
    assert list_usable(harness) == []


@pytest.mark.parametrize(
    ("fault", "delay_s"), [("connect", 1.5), ("silent", 0.06)]
)
def test_a_faulty_target_is_used_after_a_good_health_check(fault, delay_s):
    # Guards against full load on a target that has restarted under its old id
    # and is cold.
    harness = start()
    report_fault(harness, fault)
    assert list_usable(harness) == []
    harness.step(delay_s)
    (probe,) = harness.read_new_records("probes")
    assert (probe.target.target, probe.path) == ("a", "/health")
    report_probe(harness, is_healthy=False)
    assert list_usable(harness) == []
    report_probe(harness)
    assert list_usable(harness) == ["a"]


def test_a_health_check_with_a_warmup_delays_the_use():
    harness = start()
    report_fault(harness)
    report_probe(harness, warmup_s=2.0)
    assert list_usable(harness) == []
    harness.step(2.1)
    assert list_usable(harness) == ["a"]


def test_a_misdirected_target_waits_for_a_new_listing():
    # Guards against requests to an address that another service has taken over.
    harness = start()
    report_fault(harness, "misdirected")
    harness.step(5.0)
    assert harness.read_new_records("probes") == []
    assert list_usable(harness) == []
    harness.target = harness.target.replace(born_ms=2)
    harness.put("listed_targets", "a", harness.target)
    harness.step()
    assert list_usable(harness) == ["a"]


def test_a_fault_of_an_earlier_process_is_not_held_against_a_new_one():
    harness = start()
    old = harness.target
    harness.target = old.replace(born_ms=2)
    harness.put("listed_targets", "a", harness.target)
    harness.step()
    harness.append(
        "target_faults",
        exchanges.TargetFault(target=old, fault="connect", at=harness.now),
    )
    harness.step()
    assert list_usable(harness) == ["a"]


def test_targets_of_an_evacuated_data_centre_are_not_used():
    harness = start()
    harness.put("evacuations", "north", 5)
    harness.step()
    assert list_usable(harness) == []


def test_targets_are_checked_after_an_evacuation_ends():
    # Guards against full load on targets that became cold in the evacuation.
    harness = start()
    harness.put("evacuations", "north", 5)
    harness.step()
    harness.remove("evacuations", "north")
    harness.step()
    assert list_usable(harness) == []
    assert len(harness.read_new_records("probes")) == 1
    report_probe(harness)
    assert list_usable(harness) == ["a"]


def test_health_checks_are_at_most_about_one_a_second():
    harness = start()
    report_fault(harness)
    harness.step(10.0)
    assert 7 <= len(harness.read_new_records("probes")) <= 15


def test_a_silent_target_is_checked_at_once():
    # Guards against shards that are left out for a second because their only
    # target left a few requests unanswered (inc-5127).
    harness = start()
    report_fault(harness, "silent")
    harness.step(0.06)
    assert len(harness.read_new_records("probes")) == 1
    report_probe(harness)
    assert list_usable(harness) == ["a"]


def put_observation(harness, kind, **changes):
    fields = {
        "kind": kind,
        "subject": "a",
        "occasion": "",
        "born_ms": harness.target.born_ms,
        "value": 1.0,
        "observed_at": harness.now,
        "ends_at": harness.now + 600.0,
    }
    harness.put(
        "target_observations",
        (kind, "a"),
        (observation_creators.create_observation(**(fields | changes)),),
    )
    harness.step()


def test_a_target_that_said_it_leaves_is_not_used():
    # Guards against work for a target that any host has seen leaving.
    harness = start()
    put_observation(harness, kinds.LEAVING, host="host-2")
    assert list_usable(harness) == []
    harness.step(5.0)
    assert harness.read_new_records("probes") == []


def test_a_new_process_of_a_target_that_left_is_used():
    # Guards against a target that is out of use after it has restarted.
    harness = start()
    put_observation(harness, kinds.LEAVING)
    harness.put("listed_targets", "a", harness.target.replace(born_ms=2))
    harness.step()
    assert list_usable(harness) == ["a"]


def test_a_target_without_a_listed_start_is_used_after_a_health_check():
    # Guards against a restart that the listing doesn't show.
    harness = start(born_ms=0)
    put_observation(harness, kinds.LEAVING)
    harness.step(2.0)
    assert harness.read_new_records("probes")
    put_observation(harness, kinds.LEAVING, value=0.0)
    report_probe(harness)
    assert list_usable(harness) == ["a"]


def test_a_target_that_asked_this_host_for_a_pause_is_not_used_until_its_end():
    # Guards against requests to a target that has turned this host away.
    harness = start()
    put_observation(harness, kinds.PAUSE, ends_at=harness.now + 2.0)
    harness.step(1.9)
    assert list_usable(harness) == []
    assert harness.read_new_records("probes") == []
    harness.step(0.2)
    assert list_usable(harness) == ["a"]


def test_a_pause_that_a_target_asked_of_another_host_changes_nothing():
    # Guards against a target that no host uses as one was turned away.
    harness = start()
    put_observation(harness, kinds.PAUSE, host="host-2")
    assert list_usable(harness) == ["a"]
