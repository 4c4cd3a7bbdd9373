import random

import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import gossip


def create_update(number, **changes):
    fields = {
        "host": f"host-{number}",
        "incarnation": 1,
        "count": 1,
        "state": fleet.SERVING,
        "data_centre": "north",
        "caller_address": (f"127.0.0.{number}", 80),
        "peer_address": (f"127.0.0.{number}", 70),
        "carrier_address": (f"127.0.0.{number}", 71),
    }
    return fleet.MemberUpdate(**(fields | changes))


def create_members(count, **changes):
    return {
        f"host-{n}": fleet.Member(
            update=create_update(n, **changes), changed_at=0.0
        )
        for n in range(1, count + 1)
    }


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"count": 2}, True),
        ({"incarnation": 2, "count": 0}, True),
        ({"state": fleet.SUSPECT}, True),
        ({"state": fleet.DEAD}, True),
        ({}, False),
        ({"state": fleet.LEAVING}, False),
        ({"incarnation": 0, "count": 9}, False),
        ({"count": 0, "state": fleet.DEAD}, False),
    ],
)
def test_updates_are_ordered_by_incarnation_count_and_state(changes, expected):
    update = create_update(1, **changes)
    assert gossip.is_newer(create_update(1), update) is expected


@pytest.mark.parametrize(
    "changes",
    [
        {"state": fleet.SUSPECT},
        {"state": fleet.DEAD, "count": 5},
        {"incarnation": 7},
    ],
)
def test_a_refutation_is_newer_than_the_update_it_refutes(changes):
    own = create_update(1)
    wrong = create_update(1, **changes)
    refutation = gossip.refute(own, wrong)
    assert gossip.is_newer(wrong, refutation)
    assert refutation.state == fleet.SERVING


def test_the_hosts_own_update_needs_no_refutation():
    assert gossip.refute(create_update(1), create_update(1)) is None


def test_suspects_are_declared_dead_and_removed_later():
    members = create_members(2)
    members["host-1"] = fleet.Member(
        update=create_update(1, state=fleet.SUSPECT), changed_at=10.0
    )
    assert gossip.list_expired(members, 10.0 + gossip.SUSPICION_S - 0.1) == []
    (dead,) = gossip.list_expired(members, 10.0 + gossip.SUSPICION_S)
    assert (dead.host, dead.state) == ("host-1", fleet.DEAD)
    members["host-1"] = fleet.Member(update=dead, changed_at=20.0)
    assert gossip.list_expired_dead(members, 20.0) == []
    assert gossip.list_expired_dead(
        members, 20.0 + gossip.DEAD_RETENTION_S
    ) == ["host-1"]


def test_the_update_about_the_sender_goes_first_and_the_receivers_second():
    updates = gossip.UpdateQueue().choose_updates(
        create_members(40), "host-7", "host-9", random.Random(1)
    )
    assert [update.host for update in updates[:2]] == ["host-7", "host-9"]
    assert len(updates) == 2 + gossip.ANTI_ENTROPY_UPDATES


def test_an_update_is_sent_a_limited_number_of_times():
    update_queue = gossip.UpdateQueue()
    update_queue.add("host-3")
    members = create_members(3)
    rng = random.Random(1)
    sent = 0
    for _ in range(40):
        updates = update_queue.choose_updates(members, "host-1", "host-2", rng)
        sent += "host-3" in [update.host for update in updates[:3]][2:]
    assert not update_queue._send_counts
    assert sent > 0


def test_a_joining_host_gets_many_updates():
    updates = gossip.UpdateQueue().choose_updates(
        create_members(90), "host-1", None, random.Random(1), answers_join=True
    )
    assert len(updates) == 1 + gossip.MAX_UPDATES_PER_JOIN_ACK
