import pytest

from bramleyfork.controllers import targets
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import requests
from bramleyfork.decisions import targets as decisions
from tests import boards


def create_controller():
    harness = boards.DaemonBoardHarness()
    controller = targets.TargetsController(
        board=harness.board, settings=boards.create_settings()
    )
    harness.put("declaration", "in_force", boards.create_active_declaration())
    controller.step(1000.0)
    return harness, controller


def create_observation(state, epoch, at, target="bilbao-t", load=0.0):
    report = requests.TargetReport(
        epoch=epoch, state=state, load=load, holdings=()
    )
    return fleet.TargetObservation(target=target, report=report, seen_at=at)


def get_state(harness, target="bilbao-t"):
    return harness.get("targets", target).state


@pytest.mark.parametrize(
    "changes", [{"out": ("bilbao",)}, {"targets_out": ("bilbao-t",)}]
)
def test_target_is_taken_out_of_service_and_put_back(changes):
    # Guards against new work for a target that operators have taken out of
    # service, alone or with its data centre.
    harness, controller = create_controller()
    harness.put(
        "declaration", "in_force", boards.create_active_declaration(**changes)
    )
    controller.step(1001.0)
    assert get_state(harness) == "out"
    assert get_state(harness, "zaragoza-t") == "usable"
    harness.put("declaration", "in_force", boards.create_active_declaration())
    controller.step(1002.0)
    assert get_state(harness) == "usable"


def test_leaving_is_read_from_list_own_report_and_peer_notice():
    # Guards against new work for a leaving target, and against a target that
    # stays unused after the report has expired or the listing row is gone.
    harness, controller = create_controller()
    listed = fleet.ListedTarget(target="oviedo-t", state="leaving", holdings=())
    harness.put("listing", "oviedo-t", listed)
    harness.append("sightings", create_observation("leaving", "a", 1001.0))
    notice = messages.TargetNotice(
        to="*", target="lisboa-t", state="leaving", epoch="x"
    )
    received = messages.Received(
        sender="h-2", received_at=1001.0, message=notice
    )
    harness.append("peer_control", received)
    due = controller.step(1001.0)
    for target in ("oviedo-t", "bilbao-t", "lisboa-t"):
        assert get_state(harness, target) == "leaving"
    assert due == 1001.0 + decisions.LEAVING_REPORT_LIFETIME_S
    assert controller.step(due) is None
    assert get_state(harness) == "usable"
    harness.remove("listing", "oviedo-t")
    controller.step(due)
    assert get_state(harness, "oviedo-t") == "usable"


def test_owner_notifies_peers_even_if_its_router_saw_the_report_first():
    # Guards against a missing notice: the router's observation, which is not
    # announced, must not count as announced.
    harness, controller = create_controller()
    sent = harness.board.find_log("targets_out").open_cursor()
    for section in ("sightings", "owned_sightings"):
        harness.append(section, create_observation("leaving", "a", 1001.0))
        controller.step(1001.0)
    assert [(n.to, n.state, n.epoch) for n in sent.read_new_records()] == [
        (messages.ALL_PEERS, "leaving", "a")
    ]


def test_entry_is_written_only_on_change():
    # Guards against waking the routing controller for every reply of a target.
    harness, controller = create_controller()
    harness.append("sightings", create_observation("warm", "a", 1001.0))
    controller.step(1001.0)
    version = harness.board.find_table("targets").version
    harness.append("sightings", create_observation("warm", "a", 1002.0))
    controller.step(1002.0)
    assert harness.board.find_table("targets").version == version


def test_unknown_target_is_ignored_and_removed_target_forgotten():
    harness, controller = create_controller()
    harness.append(
        "sightings", create_observation("warm", "a", 1001.0, "unknown")
    )
    active = boards.create_active_declaration()
    active.declaration.targets.pop("bilbao-t")
    harness.put("declaration", "in_force", active)
    controller.step(1001.0)
    assert harness.get("targets", "unknown") is None
    assert harness.get("targets", "bilbao-t") is None
