import types

import pytest

from bramleyfork.controllers import lifecycle
from bramleyfork.core import fleet
from bramleyfork.decisions import shares
from tests import boards


def create_controller(fed):
    return lifecycle.LifecycleController(
        board=fed.board, settings=boards.create_settings()
    )


def terminate(fed, at):
    fed.append("signals", fleet.ProcessSignal(kind="terminate", at=at))


def test_host_serves_once_its_shares_are_in_force():
    # Guards against a host that reports ready and refuses all sub-requests
    # because its shares are not active yet.
    fed = boards.Board()
    controller = create_controller(fed)
    controller.step(1000.0)
    assert fed.get("lifecycle").phase == "starting"
    fed.put("declaration", "in_force", boards.create_entry())
    ready_at = 1001.0 + shares.GAIN_DELAY_S
    assert controller.step(1001.0) == ready_at
    assert fed.get("lifecycle").phase == "starting"
    controller.step(ready_at)
    assert fed.get("lifecycle").phase == "serving"
    assert fed.get("lifecycle").since == ready_at


@pytest.mark.parametrize("section", ["routes", "owned"])
def test_leaving_host_waits_for_callers_and_work_in_flight(section):
    # Guards against a shutdown that loses queries: callers use a host until
    # their placement answer expires, and their last queries are in flight.
    work = types.SimpleNamespace(queue=[], in_flight={"attempt": 1})
    fed = boards.Board()
    controller = create_controller(fed)
    fed.put("declaration", "in_force", boards.create_entry())
    controller.step(1000.0)
    terminate(fed, 1010.0)
    assert controller.step(1010.0) == 1017.0
    fed.put(section, "q1", work)
    due = controller.step(1017.0)
    assert 1017.0 < due < 1017.2
    assert fed.get("lifecycle").phase == "leaving"
    fed.remove(section, "q1")
    terminate(fed, due)  # A second signal does not restart the drain.
    assert controller.step(due) is None
    assert fed.get("lifecycle").phase == "stopped"


def test_host_without_configuration_stops_at_once():
    fed = boards.Board()
    controller = create_controller(fed)
    terminate(fed, 1000.0)
    controller.step(1000.0)
    assert fed.get("lifecycle").phase == "stopped"
