"""Which hosts a caller is told to use."""

import collections.abc
import hashlib
import math

from bramleyfork.core import records

ADDRESS_LIMIT = 64
CONNECTION_USE = 0.9  # Part of a target's connections that hosts use.
# Connections of a host to a target with which its requests seldom wait.
_CONNECTIONS_PER_HOST = 4
_LEAST_CONNECTIONS = 2
_LINK_PER_CORE_MBPS = 50.0
# Of a region, so that callers have another one at once.
MIN_HOSTS_PER_REGION = 2
# Below this part of its services a region counts as having no targets for a
# caller's queries.
_LEAST_COVERED = 0.5


class Host(records.Record):
    """A host that serves.

    Attributes:
      address: Where callers reach it.
      region: Where it is.
      capacity: Traffic that it can take, relative to other hosts.
    """

    __slots__ = ("address", "region", "capacity")

    def __init__(self, *, address: str, region: str, capacity: float):
        self.address = address
        self.region = region
        self.capacity = capacity


def choose_regions(
    *,
    caller_region: str,
    services: collections.abc.Collection[str],
    services_by_region: collections.abc.Mapping[
        str, collections.abc.Collection[str]
    ],
    allowed_regions: frozenset[str] | None = None,
) -> list[str] | None:
    """Returns the regions whose hosts suit a caller, or None for all.

    A gather's sub-requests outnumber its one answer, so it costs less to let a
    caller cross regions than its sub-requests.

    Args:
      caller_region: Where the caller is.
      services: Services that the caller's requests go to.
      services_by_region: Services with a target in use, by region.
      allowed_regions: Regions that all routes of the caller may be served in;
        None if no route is bound to regions.
    """
    if not services:
        return [caller_region]
    counts = {
        region: sum(1 for service in services if service in found)
        for region, found in services_by_region.items()
    }
    needed = _LEAST_COVERED * len(services)
    if counts.get(caller_region, 0) >= needed:
        return [caller_region]
    found = [region for region, count in counts.items() if count >= needed]
    if allowed_regions is None:
        return found
    # The body of a request on a bound route must not go elsewhere.
    return [region for region in found if region in allowed_regions] or [
        caller_region
    ]


def count_hosts_in_use(connection_limit: int, region_count: int) -> int:
    """Returns how many hosts of a region take callers.

    Each host that takes callers holds connections to each target. In a large
    fleet fewer hosts than there are take callers, so that a target's
    connections suffice for all of them.

    Args:
      connection_limit: Connections that a target accepts from all hosts.
      region_count: Number of regions.
    """
    hosts = connection_limit * CONNECTION_USE / _CONNECTIONS_PER_HOST
    return max(MIN_HOSTS_PER_REGION, int(hosts / max(1, region_count)))


def count_sending_hosts(
    connection_limit: int, *, host_count: int, region_count: int
) -> int:
    """Returns how many hosts send to a target, at least one.

    Args:
      connection_limit: Connections that the target accepts from all hosts.
      host_count: Number of hosts known.
      region_count: Number of regions.
    """
    in_use = region_count * count_hosts_in_use(connection_limit, region_count)
    return max(1, min(in_use, host_count))


def compute_connections_per_host(
    connection_limit: int, *, host_count: int, region_count: int
) -> int:
    """Returns the most connections of one host to a target.

    Args:
      connection_limit: Connections that the target accepts from all hosts.
      host_count: Number of hosts known.
      region_count: Number of regions.
    """
    hosts = count_sending_hosts(
        connection_limit, host_count=host_count, region_count=region_count
    )
    return max(
        _LEAST_CONNECTIONS, int(connection_limit * CONNECTION_USE / hosts)
    )


def find_capacity(cores: float, link_mbps: float) -> float:
    """Returns the traffic that a host can take, relative to other hosts.

    The replies of a gather fill a link of 50 Mbit/s about as fast as they use
    up a core.

    Args:
      cores: Its processor, in cores.
      link_mbps: Its link, in megabits a second.
    """
    return float(min(cores, link_mbps / _LINK_PER_CORE_MBPS))


def rank_hosts(hosts: collections.abc.Iterable[Host]) -> list[Host]:
    """Returns hosts in an order that every host draws in the same way.

    Hosts of twice the capacity come first. Among like ones the order follows
    from their addresses, so it stays for the others when one leaves.
    """
    return sorted(
        hosts, key=lambda host: compute_rank_key(host.address, host.capacity)
    )


def compute_rank_key(address: str, capacity: float) -> tuple[int, bytes]:
    """Returns what orders hosts, the first to be used least."""
    size = round(math.log2(max(0.01, capacity)))
    return -size, hashlib.blake2b(address.encode(), digest_size=8).digest()


def choose_hosts(
    *,
    hosts: collections.abc.Sequence[Host],
    caller_region: str,
    regions: list[str] | None,
    per_region: int,
) -> list[str]:
    """Returns addresses of hosts for a caller, in no order of preference.

    Args:
      hosts: The hosts that serve.
      caller_region: Where the caller is.
      regions: Regions whose hosts suit the caller; None for all.
      per_region: Hosts of a region that take callers.
    """
    if regions is not None:
        suited = [host for host in hosts if host.region in regions]
    else:
        suited = list(hosts)
    near = [host for host in suited if host.region == caller_region]
    found = near or suited or list(hosts)
    by_region: dict[str, list[Host]] = {}
    for host in rank_hosts(found):
        by_region.setdefault(host.region, []).append(host)
    chosen = [h for ranked in by_region.values() for h in ranked[:per_region]]
    return [host.address for host in chosen[:ADDRESS_LIMIT]]
