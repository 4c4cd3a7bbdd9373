"""Where a host reads the feed from: the platform's store or another host.

The store's rates grow more slowly than the fleet, so in a large fleet a few
hosts of each region watch it, and the others form a tree below them. A host
that the store turns away reads from any other host.
"""

import collections.abc
import functools
import hashlib

from bramleyfork.entry import fleet

# In a fleet of at most this many hosts each one watches the store itself.
DIRECT_HOSTS = 8
WATCHERS_PER_REGION = 2
# Hosts that read from one host. Each costs its source an answer per change, so
# with a bound on them a change passes a level in the same time at any size.
FAN_OUT = 16
# Hosts of the level above that are asked before the store.
_PARENTS = 2
# A host further than this from the store tells others nothing, so that hosts
# which read from each other in a circle come to an end. A deeper tree has one
# more than its depth.
MIN_HOP_LIMIT = 3
# A source that failed is left alone for this long.
AVOID_S = 4.0
# The same for the store while other hosts fail too.
AVOID_STORE_S = 1.0

STORE = ""


def rank_feed_hosts(
    members: collections.abc.Mapping[str, fleet.Member],
    regions: collections.abc.Mapping[str, str],
    region: str,
) -> list[str]:
    """Returns the hosts of a region, those that watch the store first.

    Every host draws the same order from the names of the hosts, so that they
    agree on the tree without talking about it.
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
      Hosts, each the first one of FAN_OUT others at most; none for a watcher
      and for a host that is not ranked.
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
    turn = (rank - first) % len(level)
    return [*level[turn:], *level[:turn]]


def compute_hop_limit(host_count: int) -> int:
    """Returns how far from the store a host may be that others read from.

    Args:
      host_count: Hosts of the region.
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
      avoided: Until when sources that failed are left alone.
      now: Monotonic seconds.
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
      own_host: This host.
      own_region: Its region.
      members: Beliefs about hosts.
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
        for host in parents[:_PARENTS]
        if host != own_host and _serves(members[host])
    ]
    yield from near
    if not reads_store:
        yield STORE
    # The other hosts of the region mostly follow the hosts that failed.
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


def _serves(member: fleet.Member) -> bool:
    return member.update.state == fleet.SERVING


@functools.lru_cache(maxsize=16384)
def _hash_name(host: str) -> bytes:
    return hashlib.blake2b(host.encode()).digest()


def _hash_pair(first: str, second: str) -> bytes:
    return hashlib.blake2b(f"{first} {second}".encode()).digest()
