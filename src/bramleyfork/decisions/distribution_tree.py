"""The tree along which news travels among the hosts of a data centre.

The hosts of a data centre that are not gone stand in rendezvous order. The
first ones hold the watch on the platform and are the roots, which also tell
each other, as one may have news that the platform has lost. Each host has up
to FANOUT children. A host so sends the same few messages whatever the size of
the fleet. Hosts whose views of the members differ may send twice or not at
all; the versions on heartbeats repair that.
"""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.decisions import revisions

FANOUT = 8
_ROOTS = revisions.WATCHERS_PER_DATA_CENTRE


class UnavailableHosts:
    """The hosts that are dead or leaving, looked up when asked for.

    Args:
      find_member: Returns the belief about a host, or None.
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
    """Returns the hosts that ``host`` passes news on to.

    Args:
      host: A host of the data centre.
      ranked: The hosts of its data centre in rendezvous order.
      unavailable: Hosts that take no part.
    """
    present = [
        name for name in ranked if name not in unavailable or name == host
    ]
    if host not in present:
        return ()
    place = present.index(host)
    begin = _ROOTS + FANOUT * place
    children = present[begin : begin + FANOUT]
    if place < _ROOTS:
        children.extend(root for root in present[:_ROOTS] if root != host)
    return tuple(children)


def find_parent(
    host: str,
    ranked: collections.abc.Sequence[str],
    unavailable: collections.abc.Container[str],
) -> str | None:
    """Returns the host that passes news on to ``host``; None for a root."""
    present = [
        name for name in ranked if name not in unavailable or name == host
    ]
    if host not in present:
        return None
    place = present.index(host)
    return None if place < _ROOTS else present[(place - _ROOTS) // FANOUT]
