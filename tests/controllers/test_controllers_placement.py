import logging
import math

from bramleyfork.controllers import placement
from bramleyfork.core import fleet
from bramleyfork.core import logs
from tests import boards


def create_placement(fed, expires_at=math.inf, phase="serving"):
    fed.put("declaration", "in_force", boards.create_entry())
    fed.put("lease", "current", fleet.Lease(expires_at=expires_at, source="x"))
    fed.put("lifecycle", "current", fleet.Lifecycle(phase=phase, since=0.0))
    return placement.Placement(
        board=fed.board, settings=boards.create_settings()
    )


def list_names(fed):
    return {host.name for host in fed.get("placement").hosts}


def test_own_host_is_left_out_when_the_lease_ends(caplog):
    # Guards against a host that lists itself while it refuses work.
    fed = boards.Board()
    caplog.set_level(logging.INFO, logger=logs.DECISIONS)
    controller = create_placement(fed, expires_at=1002.5)
    assert controller.step(1000.0) == 1002.5
    assert list_names(fed) == {"bilbao-1"}
    controller.step(1002.5)
    assert list_names(fed) == set()
    assert [r.removed for r in caplog.records] == [[], ["bilbao-1"]]


def test_own_host_is_left_out_while_leaving():
    fed = boards.Board()
    controller = create_placement(fed, phase="leaving")
    controller.step(1000.0)
    assert list_names(fed) == set()


def test_member_changes_are_batched():
    # Guards against a new view for every heartbeat in a large fleet.
    fed = boards.Board()
    controller = create_placement(fed)
    controller.step(1000.0)
    member = fleet.Member(
        host="oviedo-1", incarnation=1, state="alive", changed_at=0.0
    )
    fed.put("members", "oviedo-1", member)
    due = controller.step(1000.1)
    assert list_names(fed) == {"bilbao-1"}
    controller.step(due)
    assert list_names(fed) == {"bilbao-1", "oviedo-1"}
