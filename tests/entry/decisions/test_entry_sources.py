import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import sources
from tests.entry import creators
from tests.entry.decisions import test_entry_gossip as beats

CENTRES = ("north", "south", "east")


def create_fleet(count, **changes):
    return {
        f"host-{n}": fleet.Member(
            beat=beats.create_beat(n, data_centre=CENTRES[n % 3], **changes),
            changed_at=0.0,
        )
        for n in range(1, count + 1)
    }


def rank(number, members, avoided=None, now=10.0):
    centre = CENTRES[number % 3]
    return sources.list_sources(
        own_host=f"host-{number}",
        own_region=creators.REGIONS[centre],
        members=members,
        regions=creators.REGIONS,
        avoided=avoided or {},
        now=now,
    )


def test_each_host_of_a_small_fleet_watches_the_store():
    members = create_fleet(6)
    assert {rank(n, members)[0] for n in range(1, 7)} == {sources.STORE}


def test_a_host_that_the_store_turns_away_asks_others():
    found = rank(1, create_fleet(6), avoided={sources.STORE: 12.0})
    assert sorted(found) == [f"host-{n}" for n in range(2, 7)]


def test_few_hosts_of_a_large_fleet_watch_the_store():
    members = create_fleet(60)
    first = [rank(n, members)[0] for n in range(1, 61)]
    assert first.count(sources.STORE) == 3 * sources.WATCHERS_PER_REGION


def test_the_others_follow_the_watchers_of_their_region():
    members = create_fleet(60)
    for number in range(1, 61):
        source = rank(number, members)[0]
        if source == sources.STORE:
            continue
        centre = members[source].beat.data_centre
        assert centre == CENTRES[number % 3]
        assert rank(int(source.removeprefix("host-")), members)[0] == ""


def test_another_host_takes_over_from_a_watcher_that_is_gone():
    members = create_fleet(60)
    watcher = next(
        f"host-{n}" for n in range(1, 61) if rank(n, members)[0] == ""
    )
    members[watcher] = fleet.Member(
        beat=members[watcher].beat.replace(state=fleet.DEAD), changed_at=0.0
    )
    first = [
        rank(n, members)[0] for n in range(1, 61) if f"host-{n}" != watcher
    ]
    assert watcher not in first
    assert first.count(sources.STORE) == 3 * sources.WATCHERS_PER_REGION


@pytest.mark.parametrize("count", [1, 6, 60])
def test_the_store_is_asked_when_everything_failed(count):
    members = create_fleet(count)
    avoided = dict.fromkeys([sources.STORE, *members], 99.0)
    assert rank(1, members, avoided) == [sources.STORE]


def test_hosts_of_other_regions_come_before_followers_of_the_own():
    # Guards against a search among hosts that all wait for the same watchers.
    members = create_fleet(60)
    found = rank(1, members)
    far = found[sources.WATCHERS_PER_REGION + 1 :]
    own = creators.REGIONS[CENTRES[1]]
    is_own = [
        creators.REGIONS[members[host].beat.data_centre] == own for host in far
    ]
    assert is_own == sorted(is_own)
    assert True in is_own
    assert False in is_own
