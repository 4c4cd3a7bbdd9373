"""Chooses the hosts that a caller should use, in order of preference."""

import collections.abc
import hashlib
import math
import typing

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import registries

HOST_LIMIT = 3  # Maximum number of hosts in one placement answer.
DEFAULT_POLICY = "nearest"

_MIN_WEIGHT = 0.05  # A host at full load still gets some callers.

OrderingPolicy = collections.abc.Callable[
    [fleet.PlacementView, str, str, int], list[declarations.Host]
]

ORDERINGS: registries.Registry[OrderingPolicy] = registries.Registry(
    kind="ordering policy"
)


def order_hosts(
    view: fleet.PlacementView,
    data_centre: str,
    caller: str,
    *,
    own_host: str = "",
    prefer_own: bool = False,
    policy: str = DEFAULT_POLICY,
) -> list[declarations.Host]:
    """Returns the hosts for a caller, best first, at most HOST_LIMIT.

    Args:
      view: Hosts that callers may be sent to.
      data_centre: Data centre of the caller.
      caller: Name or address of the caller.
      own_host: Name of the host that answers.
      prefer_own: Whether the answering host goes first if it is among the
        chosen ones. Used for tickets, which are issued only by the host that
        is listed first; otherwise hosts with different views of the load could
        redirect a caller back and forth.
      policy: Name of a registered ordering policy.
    """
    chosen = ORDERINGS.find(policy)(view, data_centre, caller, HOST_LIMIT)
    if prefer_own:
        chosen.sort(key=lambda host: host.name != own_host)
    return chosen


@ORDERINGS.register("nearest")
def order_by_distance(
    view: fleet.PlacementView, data_centre: str, caller: str, limit: int
) -> list[declarations.Host]:
    """Orders by distance, then by rendezvous score weighted with the load."""
    region = view.regions.get(data_centre)
    hosts_by_distance: tuple[list[declarations.Host], ...] = ([], [], [])
    for host in view.hosts:
        if host.data_centre == data_centre:
            hosts_by_distance[0].append(host)
        elif region and view.regions.get(host.data_centre) == region:
            hosts_by_distance[1].append(host)
        else:
            hosts_by_distance[2].append(host)
    chosen: list[declarations.Host] = []
    for group in hosts_by_distance:
        if len(chosen) >= limit:
            break
        group.sort(key=lambda host: -_score(view, caller, host.name))
        chosen.extend(group[: limit - len(chosen)])
    return chosen


def _score(view: fleet.PlacementView, caller: str, host: str) -> float:
    """Returns the weighted rendezvous score of a host for a caller.

    A change of one host's load moves only callers to or from that host, in
    proportion to the change, so that callers do not all move at once.
    """
    digest = hashlib.blake2b(
        f"{caller}\0{host}".encode(errors="replace"), digest_size=7
    ).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**56 + 1)
    weight = max(_MIN_WEIGHT, 1.0 - view.loads.get(host, 0.0))
    return -weight / math.log(uniform)


def build_view(
    declaration: declarations.Declaration,
    members: dict[str, fleet.Member],
    links: dict[str, fleet.PeerLink],
    *,
    own_host: str,
    own_usable: bool,
) -> fleet.PlacementView:
    """Returns the hosts that callers may be sent to.

    Args:
      declaration: The active configuration.
      members: Known members by host name.
      links: State of the streams to other hosts, by host name.
      own_host: This host.
      own_usable: Whether this host is serving with a valid lease.
    """
    hosts = tuple(
        host
        for host in declaration.hosts.values()
        if _is_data_centre_in_service(declaration, host)
        and (
            own_usable
            if host.name == own_host
            else _is_usable(members.get(host.name), links.get(host.name))
        )
    )
    return fleet.PlacementView(
        hosts=hosts,
        loads={
            host.name: members[host.name].load
            for host in hosts
            if host.name in members
        },
        regions={
            centre.name: centre.region
            for centre in declaration.data_centres.values()
        },
        lifetime_s=declaration.placement_lifetime_s,
    )


def _is_data_centre_in_service(
    declaration: declarations.Declaration, host: declarations.Host
) -> bool:
    centre = declaration.data_centres.get(host.data_centre)
    return centre is None or not centre.out


def _is_usable(
    member: fleet.Member | None, link: fleet.PeerLink | None
) -> bool:
    """Returns whether callers may be sent to another host.

    An unknown host is left out. A closed stream excludes a host before the
    failure detector does.
    """
    if member is None or member.state != "alive" or not member.leased:
        return False
    return link is None or link.connected


def describe_hosts(
    hosts: collections.abc.Iterable[declarations.Host],
) -> list[dict[str, typing.Any]]:
    """Returns the host rows of a placement answer as JSON values."""
    return [
        {
            "host": host.name,
            "address": host.caller_address,
            "data_centre": host.data_centre,
        }
        for host in hosts
    ]
