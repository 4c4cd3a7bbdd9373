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


def test_a_host_serves_until_it_is_signalled():
    harness = start()
    harness.step(100.0)
    assert find_phase(harness) == controller.SERVING


def test_a_leaving_host_serves_until_earlier_directory_answers_expire():
    # Guards against a closed listener at an address that a caller has just got
    # from the directory.
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


def test_a_work_count_from_before_the_listener_closed_is_ignored():
    # Guards against a shutdown that cuts off requests which arrived after the
    # last work count of a leaving host (waagner-bramley, mix --seed
    # 132486766007).
    harness = start()
    terminate(harness)
    report(harness, 0, 0, phase=controller.LEAVING)
    harness.step(3.1)
    assert find_phase(harness) == controller.CLOSING
    report(harness, 1, 1)
    assert find_phase(harness) == controller.CLOSING
    report(harness, 0, 0)
    assert find_phase(harness) == controller.STOPPED


def test_requests_are_answered_before_the_process_stops():
    # Guards against answers that are still on their way when it ends.
    harness = start()
    assert harness.get("lifecycle").answer_by is None
    signalled_at = harness.now
    terminate(harness)
    assert 5.0 < harness.get("lifecycle").answer_by - signalled_at < 5.5
