import collections

import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import sources
from tests.entry import creators
from tests.entry.decisions import test_entry_gossip as gossip_tests

CENTRES = ("north", "south", "east")


def create_fleet(count, **changes):
    return {
        f"host-{n}": fleet.Member(
            update=gossip_tests.create_update(
                n, data_centre=CENTRES[n % 3], **changes
            ),
            changed_at=0.0,
        )
        for n in range(1, count + 1)
    }


def rank(number, members, avoided=None, now=10.0):
    """Returns the sources of a host that are not avoided, best first."""
    centre = CENTRES[number % 3]
    found = sources.rank_sources(
        own_host=f"host-{number}",
        own_region=creators.REGIONS[centre],
        members=members,
        regions=creators.REGIONS,
    )
    usable = [s for s in found if (avoided or {}).get(s, 0.0) <= now]
    assert sources.choose_source(usable, {}, now) == (usable or [""])[0]
    return usable


def test_each_host_of_a_small_fleet_watches_the_store():
    members = create_fleet(6)
    assert {rank(n, members)[0] for n in range(1, 7)} == {sources.STORE}


def test_a_host_that_the_store_refuses_reads_from_other_hosts():
    found = rank(1, create_fleet(6), avoided={sources.STORE: 12.0})
    assert sorted(found) == [f"host-{n}" for n in range(2, 7)]


def test_few_hosts_of_a_large_fleet_watch_the_store():
    members = create_fleet(60)
    first = [rank(n, members)[0] for n in range(1, 61)]
    assert first.count(sources.STORE) == 3 * sources.WATCHERS_PER_REGION


def test_the_other_hosts_read_from_watchers_of_their_region():
    members = create_fleet(60)
    for number in range(1, 61):
        source = rank(number, members)[0]
        if source == sources.STORE:
            continue
        centre = members[source].update.data_centre
        assert centre == CENTRES[number % 3]
        assert rank(int(source.removeprefix("host-")), members)[0] == ""


def test_another_host_takes_over_from_a_watcher_that_is_gone():
    members = create_fleet(60)
    watcher = next(
        f"host-{n}" for n in range(1, 61) if rank(n, members)[0] == ""
    )
    members[watcher] = fleet.Member(
        update=members[watcher].update.replace(state=fleet.DEAD), changed_at=0.0
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
    assert rank(1, members, avoided) == []
    assert sources.choose_source(members, avoided, 10.0) == sources.STORE


def test_hosts_of_other_regions_come_before_further_hosts_of_the_own():
    # Guards against a host that tries the hosts of its region one by one while
    # all of them wait for the same failed watchers.
    members = create_fleet(60)
    found = rank(1, members)
    far = found[found.index(sources.STORE) + 1 :]
    assert found.index(sources.STORE) <= sources.WATCHERS_PER_REGION
    own = creators.REGIONS[CENTRES[1]]
    is_own = [
        creators.REGIONS[members[host].update.data_centre] == own
        for host in far
    ]
    assert is_own == sorted(is_own)
    assert True in is_own
    assert False in is_own


def find_parents(count):
    """Returns the first source of each host of one region."""
    members = {
        f"host-{n}": fleet.Member(
            update=gossip_tests.create_update(n, data_centre="north"),
            changed_at=0.0,
        )
        for n in range(1, count + 1)
    }
    ranked = sources.rank_feed_hosts(members, creators.REGIONS, "left")
    return {
        host: (sources.list_parents(ranked, host) or [sources.STORE])[0]
        for host in ranked
    }


@pytest.mark.parametrize("count", [9, 50, 400, 1340])
def test_no_host_has_more_readers_than_the_fan_out(count):
    # Guards against watchers that each answer half of their region, so that a
    # change takes the longer the more hosts there are.
    parents = find_parents(count)
    reader_counts = collections.Counter(parents.values())
    assert reader_counts.pop(sources.STORE) == sources.WATCHERS_PER_REGION
    assert max(reader_counts.values()) <= sources.FAN_OUT


@pytest.mark.parametrize(
    ("count", "depth"),
    [(1, 0), (2, 1), (9, 1), (33, 1), (34, 2), (1057, 2), (1340, 3)],
)
def test_every_host_is_a_few_hops_from_the_store(count, depth):
    # Guards against a hop limit that keeps hosts from serving the feed to
    # others although nothing has failed.
    parents = find_parents(count)

    def count_hops(host):
        hops = 0
        while parents[host] != sources.STORE:
            host, hops = parents[host], hops + 1
        return hops

    deepest = max(count_hops(host) for host in parents)
    assert deepest == depth
    assert deepest < sources.compute_hop_limit(count)


def test_a_host_that_is_not_ranked_reads_from_the_watchers():
    ranked = ["a", "b", "c"]
    watchers = ["a", "b", "c"][: sources.WATCHERS_PER_REGION]
    assert sources.list_parents(ranked, "new") == watchers


def test_a_joining_host_reads_from_a_seed_of_its_region():
    # Guards against listings that every host of a starting fleet fetches from
    # another region.
    members = create_fleet(60)
    ranked = [*rank(1, members)]
    seeds = [members[f"host-{n}"].update.peer_address for n in (3, 4, 5)]
    found = sources.rank_joining_sources(
        members=members,
        seeds=seeds,
        regions=creators.REGIONS,
        own_region=creators.REGIONS[CENTRES[1]],
        ranked=ranked,
    )
    assert found[0] == "host-4"
    assert set(found[:3]) == {"host-3", "host-4", "host-5"}
    assert sources.STORE not in found
