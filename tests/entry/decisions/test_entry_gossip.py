import random

import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import gossip


def create_beat(number, **changes):
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
    return fleet.Beat(**(fields | changes))


def create_members(count, **changes):
    return {
        f"host-{n}": fleet.Member(
            beat=create_beat(n, **changes), changed_at=0.0
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
    beat = create_beat(1, **changes)
    assert gossip.is_news(create_beat(1), beat) is expected


@pytest.mark.parametrize(
    "changes",
    [
        {"state": fleet.SUSPECT},
        {"state": fleet.DEAD, "count": 5},
        {"incarnation": 7},
    ],
)
def test_a_refutation_is_newer_than_the_update_it_refutes(changes):
    own = create_beat(1)
    wrong = create_beat(1, **changes)
    refutation = gossip.refute(own, wrong)
    assert gossip.is_news(wrong, refutation)
    assert refutation.state == fleet.SERVING


def test_the_hosts_own_update_needs_no_refutation():
    assert gossip.refute(create_beat(1), create_beat(1)) is None


def test_suspects_are_declared_dead_and_removed_later():
    members = create_members(2)
    members["host-1"] = fleet.Member(
        beat=create_beat(1, state=fleet.SUSPECT), changed_at=10.0
    )
    assert gossip.list_expired(members, 10.0 + gossip.SUSPICION_S - 0.1) == []
    (dead,) = gossip.list_expired(members, 10.0 + gossip.SUSPICION_S)
    assert (dead.host, dead.state) == ("host-1", fleet.DEAD)
    members["host-1"] = fleet.Member(beat=dead, changed_at=20.0)
    assert gossip.list_forgotten(members, 20.0) == []
    assert gossip.list_forgotten(members, 20.0 + gossip.FORGET_S) == ["host-1"]


def test_the_update_about_the_sender_goes_first_and_the_receivers_second():
    beats = gossip.News().choose_beats(
        create_members(40), "host-7", "host-9", random.Random(1)
    )
    assert [beat.host for beat in beats[:2]] == ["host-7", "host-9"]
    assert len(beats) == 2 + gossip.REPAIRS


def test_an_update_is_sent_a_limited_number_of_times():
    news = gossip.News()
    news.add("host-3")
    members = create_members(3)
    source = random.Random(1)
    sent = 0
    for _ in range(40):
        beats = news.choose_beats(members, "host-1", "host-2", source)
        sent += "host-3" in [beat.host for beat in beats[:3]][2:]
    assert not news._sends
    assert sent > 0


def test_a_joining_host_gets_many_updates():
    beats = gossip.News().choose_beats(
        create_members(90), "host-1", None, random.Random(1), is_new=True
    )
    assert len(beats) == 1 + gossip.BEATS_FOR_A_NEW_HOST
