"""Where a host reads the feed from: the platform's store or another host.

The store's rates grow more slowly than the fleet, so in a large fleet a few
hosts of each region watch it and the others read from them. A host that the
store turns away reads from any other host.
"""

import collections.abc
import hashlib

from bramleyfork.entry import fleet

# In a fleet of at most this many hosts each one watches the store itself.
DIRECT_HOSTS = 8
WATCHERS_PER_REGION = 2
# A source that failed is left alone for this long.
AVOID_S = 4.0

STORE = ""


def rank_watchers(
    members: collections.abc.Mapping[str, fleet.Member],
    regions: collections.abc.Mapping[str, str],
    region: str,
) -> list[str]:
    """Returns the hosts of a region, those that watch the store first.

    Every host draws the same order from the names of the hosts, so that they
    agree on the watchers without talking about it.
    """
    hosts = [
        host
        for host, member in members.items()
        if member.beat.state in (fleet.STARTING, fleet.SERVING)
        and regions.get(member.beat.data_centre) == region
    ]
    return sorted(
        hosts, key=lambda host: hashlib.blake2b(host.encode()).digest()
    )


def list_sources(
    *,
    own_host: str,
    own_region: str,
    members: collections.abc.Mapping[str, fleet.Member],
    regions: collections.abc.Mapping[str, str],
    avoided: collections.abc.Mapping[str, float],
    now: float,
) -> list[str]:
    """Returns the sources to read from, best first; STORE or a host's name.

    Args:
      own_host: This host.
      own_region: Its region.
      members: Beliefs about hosts.
      regions: Region by data centre.
      avoided: Until when sources that failed are left alone.
      now: Monotonic seconds.
    """
    watchers = rank_watchers(members, regions, own_region)
    watchers = watchers[:WATCHERS_PER_REGION]
    reads_store = len(members) <= DIRECT_HOSTS or own_host in watchers
    others = [
        host
        for host, member in members.items()
        if host != own_host and member.beat.state == fleet.SERVING
    ]
    near = [host for host in watchers if host in others]
    # Followers are spread over the watchers of their region.
    near.sort(key=lambda host: _hash_pair(own_host, host))
    far = [host for host in others if host not in near]
    # The other hosts of the region mostly follow the watchers that failed.
    far.sort(
        key=lambda host: (
            regions.get(members[host].beat.data_centre) == own_region,
            _hash_pair(own_host, host),
        )
    )
    ranked = [STORE, *near, *far] if reads_store else [*near, STORE, *far]
    usable = [s for s in ranked if avoided.get(s, 0.0) <= now]
    return usable or [STORE]


def _hash_pair(first: str, second: str) -> bytes:
    return hashlib.blake2b(f"{first} {second}".encode()).digest()
