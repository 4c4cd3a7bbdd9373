import threading

import pytest

from bramleyfork.configuration import declaration
from bramleyfork.core import checks
from bramleyfork.core import clocks
from bramleyfork.transports import configuration_checker
from tests import boards


@pytest.fixture
def harness():
    harness = boards.DaemonBoardHarness()
    transport = configuration_checker.ConfigurationChecker(
        board=harness.board,
        settings=boards.create_settings(),
        clock=clocks.SystemClock(),
    )
    transport.start()
    yield harness
    transport.stop()


def order_check(harness):
    results = harness.board.find_log("check_results").open_cursor()
    harness.append("checks", checks.CheckOrder(digest="d", bodies={}))
    return results.wait_for_record(5.0)


def test_invalid_configuration_is_refused_with_every_problem(harness):
    result = order_check(harness)
    assert result.declaration is None
    assert result.digest == "d"
    assert "a manifest" in declaration.describe_problems(result.problems)


def test_exception_in_the_check_is_reported_as_a_problem(harness, monkeypatch):
    # Guards against a controller that waits forever, because an exception in
    # the check left it without a result.
    def fail(bodies, deployment):
        raise KeyError("row")

    monkeypatch.setattr(declaration, "check_for_deployment", fail)
    result = order_check(harness)
    assert "KeyError: 'row'" in declaration.describe_problems(result.problems)


def test_other_threads_continue_while_a_check_runs(harness, monkeypatch):
    # Guards against a long check that blocks the thread of the control loop,
    # which answers heartbeats.
    began, proceed = threading.Event(), threading.Event()

    def wait(bodies, deployment):
        began.set()
        proceed.wait(5.0)
        return checked

    checked = declaration.check_declaration({})
    monkeypatch.setattr(declaration, "check_for_deployment", wait)
    results = harness.board.find_log("check_results").open_cursor()
    harness.append("checks", checks.CheckOrder(digest="d", bodies={}))
    assert began.wait(5.0)
    assert results.read_new_records() == []
    proceed.set()
    assert results.wait_for_record(5.0).digest == "d"
