from bramleyfork.decisions import queues
from tests import creators


def create_queue(*entries, limit=100):
    queue = queues.SubRequestQueue(limit=limit)
    for attempt_id, urgent, deadline in entries:
        queue.add(
            creators.create_sub_request(
                attempt_id, urgent=urgent, deadline=deadline
            )
        )
    return queue


def pop_ids(queue):
    popped = []
    while (request := queue.pop()) is not None:
        popped.append(request.attempt_id)
    return popped


def test_urgent_first_and_earliest_deadline_within_a_class():
    queue = create_queue(
        ("o1", False, 1.0), ("u9", True, 9.0), ("u5", True, 5.0)
    )
    assert pop_ids(queue) == ["u5", "u9", "o1"]


def test_ordinary_work_is_taken_after_a_run_of_urgent_work():
    # Guards against starvation of ordinary work under urgent load.
    urgent = [(f"u{n}", True, float(n)) for n in range(20)]
    queue = create_queue(("o", False, 99.0), *urgent)
    assert pop_ids(queue).index("o") == queues.MAX_CONSECUTIVE_URGENT


def test_full_queue_sheds_ordinary_work_for_urgent_work():
    queue = create_queue(("o1", False, 1.0), ("o2", False, 2.0), limit=2)
    newcomer = creators.create_sub_request("u", urgent=True)
    assert queue.add(newcomer).attempt_id == "o2"
    assert pop_ids(queue) == ["u", "o1"]


def test_full_queue_sheds_an_ordinary_newcomer():
    queue = create_queue(("u", True, 1.0), limit=1)
    newcomer = creators.create_sub_request("o", urgent=False)
    assert queue.add(newcomer) is newcomer


def test_expired_work_is_removed():
    queue = create_queue(("u", True, 1.0), ("o", False, 2.0), ("p", True, 3.0))
    assert [r.attempt_id for r in queue.pop_expired(2.0)] == ["u", "o"]
    assert pop_ids(queue) == ["p"]


def test_removed_work_is_not_taken():
    # Guards against running a sub-request after it was cancelled.
    queue = create_queue(("a", True, 1.0), ("b", True, 2.0))
    assert queue.remove("a").attempt_id == "a"
    assert queue.remove("a") is None
    assert pop_ids(queue) == ["b"]
