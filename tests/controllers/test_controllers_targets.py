import pytest

from bramleyfork.controllers import targets
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import requests
from bramleyfork.decisions import targets as decisions
from tests import boards


def create_controller():
    fed = boards.Board()
    controller = targets.Targets(
        board=fed.board, settings=boards.create_settings()
    )
    fed.put("declaration", "in_force", boards.create_entry())
    controller.step(1000.0)
    return fed, controller


def create_sighting(state, epoch, at, target="bilbao-t", load=0.0):
    report = requests.TargetReport(
        epoch=epoch, state=state, load=load, holdings=()
    )
    return fleet.Sighting(target=target, report=report, seen_at=at)


def get_state(fed, target="bilbao-t"):
    return fed.get("targets", target).state


@pytest.mark.parametrize(
    "changes", [{"out": ("bilbao",)}, {"targets_out": ("bilbao-t",)}]
)
def test_target_is_taken_out_of_service_and_put_back(changes):
    # Guards against new work for a target that operators have taken out of
    # service, alone or with its data centre.
    fed, controller = create_controller()
    fed.put("declaration", "in_force", boards.create_entry(**changes))
    controller.step(1001.0)
    assert get_state(fed) == "out"
    assert get_state(fed, "zaragoza-t") == "usable"
    fed.put("declaration", "in_force", boards.create_entry())
    controller.step(1002.0)
    assert get_state(fed) == "usable"


def test_leaving_is_read_from_list_own_report_and_peer_notice():
    # Guards against new work for a leaving target, and against a target that
    # stays unused after the report has expired or the listing row is gone.
    fed, controller = create_controller()
    listed = fleet.Listed(target="oviedo-t", state="leaving", holdings=())
    fed.put("listing", "oviedo-t", listed)
    fed.append("sightings", create_sighting("leaving", "a", 1001.0))
    notice = messages.TargetNotice(
        to="*", target="lisboa-t", state="leaving", epoch="x"
    )
    received = messages.Received(
        sender="h-2", received_at=1001.0, message=notice
    )
    fed.append("peer_control", received)
    due = controller.step(1001.0)
    for target in ("oviedo-t", "bilbao-t", "lisboa-t"):
        assert get_state(fed, target) == "leaving"
    assert due == 1001.0 + decisions.WORD_LIFETIME_S
    assert controller.step(due) is None
    assert get_state(fed) == "usable"
    fed.remove("listing", "oviedo-t")
    controller.step(due)
    assert get_state(fed, "oviedo-t") == "usable"


def test_owner_notifies_peers_even_if_its_router_saw_the_report_first():
    # Guards against a missing notice: the router's observation, which is not
    # announced, must not count as announced.
    fed, controller = create_controller()
    sent = fed.board.find_log("targets_out").open_cursor()
    for section in ("sightings", "owned_sightings"):
        fed.append(section, create_sighting("leaving", "a", 1001.0))
        controller.step(1001.0)
    assert [(n.to, n.state, n.epoch) for n in sent.take()] == [
        (messages.EVERY_PEER, "leaving", "a")
    ]


def test_entry_is_written_only_on_change():
    # Guards against waking the routing controller for every reply of a target.
    fed, controller = create_controller()
    fed.append("sightings", create_sighting("warm", "a", 1001.0))
    controller.step(1001.0)
    version = fed.board.find_table("targets").version
    fed.append("sightings", create_sighting("warm", "a", 1002.0))
    controller.step(1002.0)
    assert fed.board.find_table("targets").version == version


def test_unknown_target_is_ignored_and_removed_target_forgotten():
    fed, controller = create_controller()
    fed.append("sightings", create_sighting("warm", "a", 1001.0, "unknown"))
    entry = boards.create_entry()
    entry.declaration.targets.pop("bilbao-t")
    fed.put("declaration", "in_force", entry)
    controller.step(1001.0)
    assert fed.get("targets", "unknown") is None
    assert fed.get("targets", "bilbao-t") is None
