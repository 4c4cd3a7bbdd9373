"""Distribution tree that forwards updates among the hosts of a data centre.

The tree contains the hosts that are neither dead nor leaving, in rendezvous
order. The first ones watch the platform and are the roots. Roots also forward
to each other, because one may have an update that the platform has lost. Each
host has up to FANOUT children, so the number of messages that a host sends does
not grow with the fleet. Hosts with different views of the members may send an
update twice or not at all; the versions on heartbeats repair that.
"""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.decisions import revisions

FANOUT = 8
_ROOTS = revisions.WATCHERS_PER_DATA_CENTRE


class UnavailableHosts:
    """The hosts that are dead or leaving, looked up at each membership test.

    Args:
      find_member: Returns the known member of a host name, or None.
    """

    __slots__ = ("_find_member",)

    def __init__(
        self,
        *,
        find_member: collections.abc.Callable[[str], fleet.Member | None],
    ):
        self._find_member = find_member

    def __contains__(self, host: object) -> bool:
        member = self._find_member(host)
        return (
            member is not None and member.state in revisions.UNAVAILABLE_STATES
        )


def list_children(
    host: str,
    ranked: collections.abc.Sequence[str],
    unavailable: collections.abc.Container[str],
) -> tuple[str, ...]:
    """Returns the hosts that ``host`` forwards updates to.

    Args:
      host: A host of the data centre.
      ranked: The hosts of its data centre in rendezvous order.
      unavailable: Hosts that are left out of the tree.
    """
    available = [
        name for name in ranked if name not in unavailable or name == host
    ]
    if host not in available:
        return ()
    place = available.index(host)
    begin = _ROOTS + FANOUT * place
    children = available[begin : begin + FANOUT]
    if place < _ROOTS:
        children.extend(root for root in available[:_ROOTS] if root != host)
    return tuple(children)


def find_parent(
    host: str,
    ranked: collections.abc.Sequence[str],
    unavailable: collections.abc.Container[str],
) -> str | None:
    """Returns the host that forwards updates to ``host``; None for a root."""
    available = [
        name for name in ranked if name not in unavailable or name == host
    ]
    if host not in available:
        return None
    place = available.index(host)
    return None if place < _ROOTS else available[(place - _ROOTS) // FANOUT]
