import types

import pytest

from bramleyfork.controllers import lifecycle
from bramleyfork.core import fleet
from bramleyfork.decisions import shares
from tests import boards


def create_controller(harness):
    return lifecycle.LifecycleController(
        board=harness.board, settings=boards.create_settings()
    )


def terminate(harness, at):
    harness.append("signals", fleet.ProcessSignal(kind="terminate", at=at))


def test_host_serves_once_its_shares_are_in_force():
    # Guards against a host that reports ready and refuses all sub-requests
    # because its shares are not active yet.
    harness = boards.DaemonBoardHarness()
    controller = create_controller(harness)
    controller.step(1000.0)
    assert harness.get("lifecycle").phase == "starting"
    harness.put("declaration", "in_force", boards.create_active_declaration())
    ready_at = 1001.0 + shares.SHARE_ACTIVATION_DELAY_S
    assert controller.step(1001.0) == ready_at
    assert harness.get("lifecycle").phase == "starting"
    controller.step(ready_at)
    assert harness.get("lifecycle").phase == "serving"
    assert harness.get("lifecycle").since == ready_at


@pytest.mark.parametrize("section", ["routes", "owned"])
def test_leaving_host_waits_for_callers_and_work_in_flight(section):
    # Guards against a shutdown that loses queries: callers use a host until
    # their placement answer expires, and their last queries are in flight.
    work = types.SimpleNamespace(queue=[], in_flight={"attempt": 1})
    harness = boards.DaemonBoardHarness()
    controller = create_controller(harness)
    harness.put("declaration", "in_force", boards.create_active_declaration())
    controller.step(1000.0)
    terminate(harness, 1010.0)
    assert controller.step(1010.0) == 1017.0
    harness.put(section, "q1", work)
    due = controller.step(1017.0)
    assert 1017.0 < due < 1017.2
    assert harness.get("lifecycle").phase == "leaving"
    harness.remove(section, "q1")
    terminate(harness, due)  # A second signal does not restart the drain.
    assert controller.step(due) is None
    assert harness.get("lifecycle").phase == "stopped"


def test_host_without_configuration_stops_at_once():
    harness = boards.DaemonBoardHarness()
    controller = create_controller(harness)
    terminate(harness, 1000.0)
    controller.step(1000.0)
    assert harness.get("lifecycle").phase == "stopped"
