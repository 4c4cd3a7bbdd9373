"""This host's position in the distribution tree of its data centre.

A few hosts of each data centre, the watchers, follow the platform. They are
the roots of the tree along which configuration offers and listing updates are
forwarded to the other hosts.
"""

import collections.abc

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.decisions import distribution_tree
from bramleyfork.decisions import revisions


class DistributionTree:
    """Watchers of all data centres and the tree of this host's data centre.

    Args:
      host: Name of this host.
      data_centre: Data centre of this host.
      find_member: Returns the member record of a host, or None.

    Attributes:
      ranked: Hosts by data centre, in rendezvous order.
    """

    __slots__ = ("ranked", "_host", "_data_centre", "_unavailable", "_hosts")

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        find_member: collections.abc.Callable[[str], fleet.Member | None],
    ):
        self.ranked: dict[str, tuple[str, ...]] = {}
        self._hosts: collections.abc.Mapping[str, declarations.Host] = {}
        self._host = host
        self._data_centre = data_centre
        self._unavailable = distribution_tree.UnavailableHosts(
            find_member=find_member
        )

    def set_hosts(
        self, hosts: collections.abc.Mapping[str, declarations.Host]
    ) -> None:
        """Replaces the declared hosts and ranks them if they have changed."""
        # Successive revisions share the table objects that did not change.
        if hosts is not self._hosts:
            self._hosts = hosts
            self.ranked = revisions.rank_hosts_by_data_centre(hosts.values())

    @property
    def is_declared(self) -> bool:
        """Whether the declaration names this host."""
        return self._host in self._hosts

    def choose_watchers(self) -> frozenset[str]:
        """Returns the watchers of all data centres.

        Hosts that are dead or leaving are replaced by the next in rendezvous
        order.
        """
        return revisions.choose_watchers(self.ranked, self._unavailable)

    def find_parent(self) -> str | None:
        """Returns the parent of this host; None for a root."""
        return distribution_tree.find_parent(
            self._host, self._list_own_data_centre(), self._unavailable
        )

    def list_children(self) -> tuple[str, ...]:
        """Returns the hosts that this host forwards updates to."""
        return distribution_tree.list_children(
            self._host, self._list_own_data_centre(), self._unavailable
        )

    def _list_own_data_centre(self) -> tuple[str, ...]:
        return self.ranked.get(self._data_centre, ())
