from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import lifecycle as controller
from tests.entry import boards
from tests.entry import creators


def start():
    settings = creators.create_settings(directory_lifetime_s=1.0, grace_s=6.0)
    fed = boards.FedBoard(
        controller.Lifecycle, context=creators.create_context(settings=settings)
    )
    fed.step()
    return fed


def find_phase(fed):
    return fed.get("lifecycle").phase


def terminate(fed):
    fed.append("signals", "terminate")
    fed.step()


def report(fed, requests, connections, phase=controller.CLOSING):
    work = exchanges.OpenWork(
        phase=phase, requests=requests, connections=connections
    )
    fed.put("open_work", "current", work)
    fed.step()


def test_a_host_serves_until_it_is_signalled():
    fed = start()
    fed.step(100.0)
    assert find_phase(fed) == controller.SERVING


def test_a_leaving_host_serves_until_earlier_directory_answers_expire():
    # Guards against a closed listener at an address that a caller has just got
    # from the directory.
    fed = start()
    terminate(fed)
    assert find_phase(fed) == controller.LEAVING
    fed.step(2.9)
    assert find_phase(fed) == controller.LEAVING
    fed.step(0.2)
    assert find_phase(fed) == controller.CLOSING


def test_the_process_ends_when_no_work_is_left():
    fed = start()
    terminate(fed)
    fed.step(3.1)
    report(fed, 1, 2)
    fed.step(0.5)
    assert find_phase(fed) == controller.CLOSING
    report(fed, 0, 0)
    assert find_phase(fed) == controller.STOPPED


def test_the_process_ends_before_it_is_killed():
    fed = start()
    terminate(fed)
    report(fed, 1, 2)
    fed.step(5.9)
    assert find_phase(fed) == controller.STOPPED


def test_a_second_signal_changes_nothing():
    fed = start()
    terminate(fed)
    fed.step(2.0)
    terminate(fed)
    fed.step(1.1)
    assert find_phase(fed) == controller.CLOSING


def test_a_work_count_from_before_the_listener_closed_is_ignored():
    # Guards against a shutdown that cuts off requests which arrived after the
    # last work count of a leaving host (waagner-bramley, mix --seed
    # 132486766007).
    fed = start()
    terminate(fed)
    report(fed, 0, 0, phase=controller.LEAVING)
    fed.step(3.1)
    assert find_phase(fed) == controller.CLOSING
    report(fed, 1, 1)
    assert find_phase(fed) == controller.CLOSING
    report(fed, 0, 0)
    assert find_phase(fed) == controller.STOPPED
