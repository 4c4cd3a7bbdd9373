import logging
import math

from bramleyfork.controllers import placement
from bramleyfork.core import fleet
from bramleyfork.core import logs
from tests import boards


def create_placement(harness, expires_at=math.inf, phase="serving"):
    harness.put("declaration", "in_force", boards.create_active_declaration())
    harness.put(
        "lease", "current", fleet.Lease(expires_at=expires_at, source="x")
    )
    harness.put("lifecycle", "current", fleet.Lifecycle(phase=phase, since=0.0))
    return placement.PlacementController(
        board=harness.board, settings=boards.create_settings()
    )


def list_names(harness):
    return {host.name for host in harness.get("placement").hosts}


def test_own_host_is_left_out_when_the_lease_ends(caplog):
    # Guards against a host that lists itself while it refuses work.
    harness = boards.DaemonBoardHarness()
    caplog.set_level(logging.INFO, logger=logs.DECISION_LOGGER)
    controller = create_placement(harness, expires_at=1002.5)
    assert controller.step(1000.0) == 1002.5
    assert list_names(harness) == {"bilbao-1"}
    controller.step(1002.5)
    assert list_names(harness) == set()
    assert [r.removed for r in caplog.records] == [[], ["bilbao-1"]]


def test_own_host_is_left_out_while_leaving():
    harness = boards.DaemonBoardHarness()
    controller = create_placement(harness, phase="leaving")
    controller.step(1000.0)
    assert list_names(harness) == set()


def test_member_changes_are_batched():
    # Guards against a new view for every heartbeat in a large fleet.
    harness = boards.DaemonBoardHarness()
    controller = create_placement(harness)
    controller.step(1000.0)
    member = fleet.Member(
        host="oviedo-1", incarnation=1, state="alive", changed_at=0.0
    )
    harness.put("members", "oviedo-1", member)
    due = controller.step(1000.1)
    assert list_names(harness) == {"bilbao-1"}
    controller.step(due)
    assert list_names(harness) == {"bilbao-1", "oviedo-1"}
