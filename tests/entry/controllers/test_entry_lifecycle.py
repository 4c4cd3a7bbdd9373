from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import lifecycle as controller
from tests.entry import boards
from tests.entry import creators


def start():
    settings = creators.create_settings(directory_lifetime_s=1.0, grace_s=6.0)
    harness = boards.ComponentHarness(
        controller.Lifecycle, context=creators.create_context(settings=settings)
    )
    harness.step()
    return harness


def find_phase(harness):
    return harness.get("lifecycle").phase


def terminate(harness):
    harness.append("signals", "terminate")
    harness.step()


def report(harness, requests, connections, phase=controller.CLOSING):
    work = exchanges.OpenWork(
        phase=phase, requests=requests, connections=connections
    )
    harness.put("open_work", "current", work)
    harness.step()


def test_a_host_serves_until_it_is_told_to_end():
    harness = start()
    harness.step(100.0)
    assert find_phase(harness) == controller.SERVING


def test_a_leaving_host_serves_until_old_answers_of_the_directory_lapse():
    # Guards against callers that connect to an address they were just told.
    harness = start()
    terminate(harness)
    assert find_phase(harness) == controller.LEAVING
    harness.step(2.9)
    assert find_phase(harness) == controller.LEAVING
    harness.step(0.2)
    assert find_phase(harness) == controller.CLOSING


def test_the_process_ends_when_no_work_is_left():
    harness = start()
    terminate(harness)
    harness.step(3.1)
    report(harness, 1, 2)
    harness.step(0.5)
    assert find_phase(harness) == controller.CLOSING
    report(harness, 0, 0)
    assert find_phase(harness) == controller.STOPPED


def test_the_process_ends_before_it_is_killed():
    harness = start()
    terminate(harness)
    report(harness, 1, 2)
    harness.step(5.9)
    assert find_phase(harness) == controller.STOPPED


def test_a_second_signal_changes_nothing():
    harness = start()
    terminate(harness)
    harness.step(2.0)
    terminate(harness)
    harness.step(1.1)
    assert find_phase(harness) == controller.CLOSING


def test_a_count_from_before_the_listener_closed_ends_nothing():
    # Guards against requests that are cut as they came after the last count of
    # a leaving host (waagner-bramley, mix --seed 132486766007).
    harness = start()
    terminate(harness)
    report(harness, 0, 0, phase=controller.LEAVING)
    harness.step(3.1)
    assert find_phase(harness) == controller.CLOSING
    report(harness, 1, 1)
    assert find_phase(harness) == controller.CLOSING
    report(harness, 0, 0)
    assert find_phase(harness) == controller.STOPPED
