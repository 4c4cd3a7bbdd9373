"""A host's place among those that watch the platform and pass news on."""

import collections.abc

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.decisions import distribution_tree
from bramleyfork.decisions import revisions


class DistributionTree:
    """Watchers of all data centres and the tree of the own one.

    Args:
      host: Name of this host.
      data_centre: Data centre of this host.
      find_member: Returns the belief about a host, or None.

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

    def use_hosts(
        self, hosts: collections.abc.Mapping[str, declarations.Host]
    ) -> None:
        """Takes over the declared hosts."""
        # Revisions share the tables that they leave as they are.
        if hosts is not self._hosts:
            self._hosts = hosts
            self.ranked = revisions.rank_hosts_by_data_centre(hosts.values())

    @property
    def is_declared(self) -> bool:
        """Whether this host is among the declared ones."""
        return self._host in self._hosts

    def choose_watchers(self) -> frozenset[str]:
        """Returns the hosts that hold the watch on the platform now."""
        return revisions.choose_watchers(self.ranked, self._unavailable)

    def find_parent(self) -> str | None:
        """Returns the host above this one; None for a root."""
        return distribution_tree.find_parent(
            self._host, self._list_own(), self._unavailable
        )

    def list_children(self) -> tuple[str, ...]:
        """Returns the hosts below this one."""
        return distribution_tree.list_children(
            self._host, self._list_own(), self._unavailable
        )

    def _list_own(self) -> tuple[str, ...]:
        return self.ranked.get(self._data_centre, ())
