"""Chooses the hosts that the directory lists for a caller.

Hosts that are listed hold connections to the targets, so the number of listed
hosts and the connections of each to a target are computed here too.
"""

import collections.abc
import hashlib
import math

from bramleyfork.core import records
from bramleyfork.entry import declarations

MAX_LISTED_HOSTS = 64  # Per answer of the directory.
CONNECTION_FRACTION = 0.9  # Fraction of a target's connections that hosts use.
# Connections of a host to a target with which its requests seldom wait for one.
_CONNECTIONS_PER_HOST = 4
_MIN_CONNECTIONS = 2
_LINK_PER_CORE_MBPS = 50.0
# Per region, so that callers can switch to another host at once.
MIN_HOSTS_PER_REGION = 2
# A region with usable targets for less than this fraction of a caller's
# services counts as having no targets for this caller.
_MIN_COVERAGE = 0.5


class Host(records.Record):
    """A host that serves callers.

    Attributes:
      address: Its address for callers.
      region: Its region.
      capacity: Traffic that it can handle, relative to other hosts.
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
    """Returns the regions whose hosts are listed for a caller.

    A caller whose own region lacks targets is sent to regions that have them:
    a gather has many sub-requests and only one answer, so it costs less if the
    caller's request crosses regions than if the sub-requests do.

    Args:
      caller_region: Region of the caller.
      services: Services that the caller's requests go to.
      services_by_region: Services with a usable target, by region.
      allowed_regions: Regions that may serve all routes of the caller; None if
        no route is restricted to regions.

    Returns:
      The regions, never None; empty if no region has enough targets and
      ``allowed_regions`` is None.
    """
    if not services:
        return [caller_region]
    counts = {
        region: sum(1 for service in services if service in found)
        for region, found in services_by_region.items()
    }
    needed = _MIN_COVERAGE * len(services)
    if counts.get(caller_region, 0) >= needed:
        return [caller_region]
    found = [region for region, count in counts.items() if count >= needed]
    if allowed_regions is None:
        return found
    # The body of a request on a restricted route must not leave its regions.
    return [region for region in found if region in allowed_regions] or [
        caller_region
    ]


def count_listed_hosts(connection_limit: int, region_count: int) -> int:
    """Returns how many hosts of a region are listed for callers.

    Each listed host holds connections to each target. In a large fleet only
    some of the hosts are listed, so that a target's connections suffice for
    all of them.

    Args:
      connection_limit: Maximum number of connections that a target accepts
        from all hosts.
      region_count: Number of regions.
    """
    hosts = connection_limit * CONNECTION_FRACTION / _CONNECTIONS_PER_HOST
    return max(MIN_HOSTS_PER_REGION, int(hosts / max(1, region_count)))


def find_listing_limits(table: declarations.RouteTable) -> dict[str, int]:
    """Returns the connection limit by which hosts are listed, by service.

    The directory lists hosts for a host name of callers, by the lowest limit
    of its services. Of several host names that use a service, the one with the
    most hosts counts.
    """
    limits: dict[str, int] = {}
    for routes in table.routes.values():
        services = {s for route in routes for s in route.list_services()}
        listing_limit = find_listing_limit(table, services)
        for service in services:
            limits[service] = max(limits.get(service, 0), listing_limit)
    return limits


def find_listing_limit(
    table: declarations.RouteTable,
    services: collections.abc.Iterable[str],
) -> int:
    """Returns the lowest connection limit of services; 0 without any."""
    return min(
        (
            table.services[service].connection_limit
            for service in services
            if service in table.services
        ),
        default=0,
    )


def count_sending_hosts(
    connection_limit: int, *, host_count: int, region_count: int
) -> int:
    """Returns how many hosts send requests to a target, at least one.

    Args:
      connection_limit: Connection limit by which hosts are listed.
      host_count: Number of known hosts.
      region_count: Number of regions.
    """
    listed = region_count * count_listed_hosts(connection_limit, region_count)
    return max(1, min(listed, host_count))


def compute_connections_per_host(
    connection_limit: int, *, host_count: int, region_count: int
) -> int:
    """Returns the maximum number of connections from one host to a target.

    Args:
      connection_limit: Maximum number of connections that the target accepts
        from all hosts.
      host_count: Number of known hosts.
      region_count: Number of regions.
    """
    hosts = count_sending_hosts(
        connection_limit, host_count=host_count, region_count=region_count
    )
    return max(
        _MIN_CONNECTIONS, int(connection_limit * CONNECTION_FRACTION / hosts)
    )


def find_capacity(cores: float, link_mbps: float) -> float:
    """Returns the traffic that a host can handle, relative to other hosts.

    The lower of its cores and its bandwidth counts: the replies of a gather
    saturate a link of 50 Mbit/s at about the rate at which they saturate a
    core.

    Args:
      cores: Number of its CPU cores; may be a fraction.
      link_mbps: Bandwidth of its network link in Mbit/s.
    """
    return float(min(cores, link_mbps / _LINK_PER_CORE_MBPS))


def rank_hosts(hosts: collections.abc.Iterable[Host]) -> list[Host]:
    """Returns hosts in an order that is the same on every host.

    The largest hosts come first, by capacity rounded to a power of two. Hosts
    of the same rounded capacity are ordered by a hash of their addresses, so
    the order of the others stays when one leaves.
    """
    return sorted(
        hosts, key=lambda host: compute_rank_key(host.address, host.capacity)
    )


def compute_rank_key(address: str, capacity: float) -> tuple[int, bytes]:
    """Returns the sort key of a host in ``rank_hosts``, which is ascending."""
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

    These are hosts of the caller's region if it is among ``regions``, else
    hosts of these regions. If there are none, any hosts are returned.

    Args:
      hosts: The hosts that serve callers.
      caller_region: Region of the caller.
      regions: Regions whose hosts suit the caller; None for all.
      per_region: Maximum number of hosts of each region.
    """
    if regions is not None:
        suitable = [host for host in hosts if host.region in regions]
    else:
        suitable = list(hosts)
    near = [host for host in suitable if host.region == caller_region]
    found = near or suitable or list(hosts)
    by_region: dict[str, list[Host]] = {}
    for host in rank_hosts(found):
        by_region.setdefault(host.region, []).append(host)
    chosen = [h for ranked in by_region.values() for h in ranked[:per_region]]
    return [host.address for host in chosen[:MAX_LISTED_HOSTS]]
