"""Chooses where a host reads the feed from: the store or another host.

The request rates that the platform's store allows grow more slowly than the
fleet. In a large fleet, one host of each region therefore watches the store
(the watcher), and the others form a distribution tree below it. A host whose
reads the store refuses reads from any other host.
"""

import collections.abc
import functools
import hashlib

from bramleyfork.entry import fleet

# In a fleet of at most this many hosts, each one watches the store itself.
DIRECT_HOSTS = 8
WATCHERS_PER_REGION = 1
# Maximum number of hosts that read from one host. Each reader costs its source
# an answer per change, so with this bound a change passes a level of the tree
# in the same time at any size of the fleet.
FAN_OUT = 32
# Hosts of the level above that are tried before the store.
_MAX_PARENTS = 2
# Minimum of the hop limit. A host further from the store than the hop limit
# does not serve the feed to others, which ends cycles of hosts that read from
# each other. In a deeper tree the limit is one more than the depth.
MIN_HOP_LIMIT = 3
# A source that failed is not used for this long.
AVOID_S = 4.0
# The same for the store while other hosts fail too.
AVOID_STORE_S = 1.0
# Times since the start of a process when the whole fleet starts for the first
# time: for the first one, the host waits for another one to list the feed from;
# for the second, the news of all hosts has not reached it yet.
MAX_JOIN_WAIT_S = 3.0
JOINING_S = 8.0

STORE = ""


def rank_feed_hosts(
    members: collections.abc.Mapping[str, fleet.Member],
    regions: collections.abc.Mapping[str, str],
    region: str,
) -> list[str]:
    """Returns the hosts of a region in the order of the tree, watchers first.

    The order follows from a hash of the host names, so all hosts compute the
    same tree without coordination.

    Args:
      members: Known hosts by name.
      regions: Region by data centre.
      region: Region whose hosts are returned.
    """
    hosts = [
        host
        for host, member in members.items()
        if member.update.state in (fleet.STARTING, fleet.SERVING)
        and regions.get(member.update.data_centre) == region
    ]
    return sorted(hosts, key=_hash_name)


def list_parents(ranked: collections.abc.Sequence[str], host: str) -> list[str]:
    """Returns the hosts of the level above, the one to read from first.

    Args:
      ranked: Hosts of a region as ``rank_feed_hosts`` returns them.
      host: One of them.

    Returns:
      The hosts of the level above, rotated so that each of them is first for
      at most FAN_OUT hosts; none for a watcher. A host that is not ranked gets
      the watchers.
    """
    if host not in ranked:
        return list(ranked[:WATCHERS_PER_REGION])
    rank = ranked.index(host)
    above, first, size = 0, 0, WATCHERS_PER_REGION
    while rank >= first + size:
        above, first, size = first, first + size, size * FAN_OUT
    if not first:
        return []
    level = ranked[above:first]
    offset = (rank - first) % len(level)
    return [*level[offset:], *level[:offset]]


def compute_hop_limit(host_count: int) -> int:
    """Returns the hop limit: how far from the store a host may serve others.

    Args:
      host_count: Number of hosts of the region.
    """
    depth, reached, size = 0, WATCHERS_PER_REGION, WATCHERS_PER_REGION
    while reached < host_count:
        size *= FAN_OUT
        reached += size
        depth += 1
    return max(MIN_HOP_LIMIT, depth + 1)


def choose_source(
    ranked: collections.abc.Iterable[str],
    avoided: collections.abc.Mapping[str, float],
    now: float,
) -> str:
    """Returns the best source that is not avoided; STORE if there is none.

    Args:
      ranked: Sources, best first.
      avoided: Monotonic time until which a source that failed is avoided, by
        source.
      now: Current monotonic time in seconds.
    """
    usable = (s for s in ranked if avoided.get(s, 0.0) <= now)
    return next(usable, STORE)


def rank_sources(
    *,
    own_host: str,
    own_region: str,
    members: collections.abc.Mapping[str, fleet.Member],
    regions: collections.abc.Mapping[str, str],
) -> collections.abc.Iterator[str]:
    """Yields the sources to read from, best first; STORE or a host's name.

    Args:
      own_host: Name of this host.
      own_region: Region of this host.
      members: Known hosts by name.
      regions: Region by data centre.
    """
    ranked = rank_feed_hosts(members, regions, own_region)
    watchers = ranked[:WATCHERS_PER_REGION]
    reads_store = len(members) <= DIRECT_HOSTS or own_host in watchers
    if reads_store:
        yield STORE
    parents = watchers if reads_store else list_parents(ranked, own_host)
    near = [
        host
        for host in parents[:_MAX_PARENTS]
        if host != own_host and _serves(members[host])
    ]
    yield from near
    if not reads_store:
        yield STORE
    # Hosts of other regions go first, as the other hosts of this region mostly
    # read from the hosts that failed.
    yield from sorted(
        (
            host
            for host, member in members.items()
            if host not in (own_host, *near) and _serves(member)
        ),
        key=lambda host: (
            regions.get(members[host].update.data_centre) == own_region,
            _hash_pair(own_host, host),
        ),
    )


def rank_joining_sources(
    *,
    members: collections.abc.Mapping[str, fleet.Member],
    seeds: collections.abc.Collection[fleet.Address],
    regions: collections.abc.Mapping[str, str],
    own_region: str,
    ranked: collections.abc.Iterable[str],
) -> list[str]:
    """Returns the hosts that a joining host reads from, best first.

    A joining host does not know yet which hosts of the tree serve, and the
    store could not answer all hosts of a large fleet that starts. The seeds
    read the store, so they come first. Of several, those of the own region come
    first, then the order of ``ranked`` counts.

    Args:
      members: Known hosts by name.
      seeds: Peer addresses of the seeds.
      regions: Region by data centre.
      own_region: Region of this host.
      ranked: The sources as ``rank_sources`` yields them.
    """

    def compute_key(host: str) -> tuple[bool, bool]:
        update = members[host].update
        return (
            update.peer_address not in seeds,
            regions.get(update.data_centre) != own_region,
        )

    return sorted((s for s in ranked if s != STORE), key=compute_key)


def _serves(member: fleet.Member) -> bool:
    return member.update.state == fleet.SERVING


@functools.lru_cache(maxsize=16384)
def _hash_name(host: str) -> bytes:
    return hashlib.blake2b(host.encode()).digest()


def _hash_pair(first: str, second: str) -> bytes:
    return hashlib.blake2b(f"{first} {second}".encode()).digest()
