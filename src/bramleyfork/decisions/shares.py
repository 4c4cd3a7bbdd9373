"""Divides the connection and request budgets of targets among hosts.

A share depends only on the published configuration and never on which hosts
are considered alive. Partitions and processes that resume late can therefore
waste capacity, but hosts together cannot exceed the limits of a target.
"""

import hashlib
import math

from bramleyfork.core import declarations
from bramleyfork.core import records
from bramleyfork.core import registries

FIRST_OWNER_FRACTION = 0.7  # Fraction of each budget for the first host.
# A configuration is guaranteed to be in force on every host within 4 s. A host
# uses a gained share only after that, when the former holder has stopped using
# it.
SHARE_ACTIVATION_DELAY_S = 5.0


class Share(records.Record):
    """The limits of one host for one target.

    Attributes:
      connections: Maximum number of open connections.
      in_flight: Maximum number of requests sent and not yet answered.
      cold_in_flight: The same while the target is cold.
      cold_rate: Maximum requests per second while the target is cold.
    """

    __slots__ = ("connections", "in_flight", "cold_in_flight", "cold_rate")

    def __init__(
        self,
        *,
        connections: int,
        in_flight: int,
        cold_in_flight: int,
        cold_rate: float,
    ):
        self.connections = connections
        self.in_flight = in_flight
        self.cold_in_flight = cold_in_flight
        self.cold_rate = cold_rate


NO_SHARE = Share(connections=0, in_flight=0, cold_in_flight=0, cold_rate=0.0)

# Leading ranks that a strategy may treat differently from others.
OWNERS_PER_TARGET = 2

# Functions that divide a budget: (budget, rank from 0, number of hosts) ->
# part. All ranks from ``OWNERS_PER_TARGET`` on must get equal parts, because
# ``ranking`` computes only the first ranks.
STRATEGIES: registries.Registry = registries.Registry(kind="strategy")


@STRATEGIES.register("owner")
def divide_among_owners(budget: int, rank: int, host_count: int) -> int:
    """Returns 70% of a budget for rank 0 and the rest for rank 1.

    Rank 1 gets at least 1 of a budget of 2 or more. A single host gets the
    whole budget.
    """
    if host_count == 1:
        return budget if rank == 0 else 0
    first = min(
        math.floor(budget * FIRST_OWNER_FRACTION + 0.5), max(budget - 1, 1)
    )
    if rank == 0:
        return min(first, budget)
    return budget - first if rank == 1 else 0


@STRATEGIES.register("direct")
def divide_among_all(budget: int, rank: int, host_count: int) -> int:
    """Returns an equal part of a budget for every host, rounded down."""
    del rank
    return budget // host_count


def rank_hosts(
    target: declarations.Target, declaration: declarations.Declaration
) -> list[str]:
    """Returns the names of all declared hosts in owner order for a target.

    Hosts in the target's data centre come first, then hosts in its region, then
    the rest; within each group the order is by rendezvous hashing.
    ``ranking`` finds the first ranks without ordering all hosts.
    """
    region = declaration.data_centres[target.data_centre].region

    def sort_key(host: declarations.Host) -> tuple[int, bytes]:
        return (
            _measure_distance(host, target, region, declaration),
            hash_pair(host.name, target.name),
        )

    ordered = sorted(declaration.hosts.values(), key=sort_key)
    return [host.name for host in ordered]


def compute_share(
    *,
    service: declarations.Service,
    strategy: str,
    rank: int,
    host_count: int,
) -> Share:
    """Returns the share of the host at ``rank`` (from 0).

    One connection of the share is reserved for cancellations.
    """
    divide = STRATEGIES.find(strategy)
    connections = divide(service.connections, rank, host_count)
    in_flight = divide(service.slots + service.queue, rank, host_count)
    cold = divide(service.cold_in_flight, rank, host_count)
    rate_permille = divide(1000, rank, host_count)
    return Share(
        connections=connections,
        in_flight=max(0, min(in_flight, connections - 1)),
        cold_in_flight=max(0, min(cold, connections - 1)),
        cold_rate=service.cold_rate * rate_permille / 1000,
    )


def intersect_shares(first: Share, second: Share) -> Share:
    """Returns the minimum of two shares for each limit."""
    return Share(
        connections=min(first.connections, second.connections),
        in_flight=min(first.in_flight, second.in_flight),
        cold_in_flight=min(first.cold_in_flight, second.cold_in_flight),
        cold_rate=min(first.cold_rate, second.cold_rate),
    )


def _measure_distance(
    host: declarations.Host,
    target: declarations.Target,
    region: str,
    declaration: declarations.Declaration,
) -> int:
    if host.data_centre == target.data_centre:
        return 0
    host_region = declaration.data_centres[host.data_centre].region
    return 1 if host_region == region else 2


def hash_pair(host: str, target: str) -> bytes:
    """Returns the rendezvous hash that orders hosts for a target.

    The lowest hash comes first.
    """
    text = f"{host}\0{target}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
