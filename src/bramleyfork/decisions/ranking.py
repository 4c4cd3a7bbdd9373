"""Computes the owners of targets and caches them between revisions.

``shares.rank_hosts`` orders all hosts for one target. Only the first two are
its owners, and they are nearly always in the target's own data centre, so the
other hosts need not be hashed.
"""

import collections.abc
import heapq

from bramleyfork.core import declarations
from bramleyfork.core import records
from bramleyfork.decisions import shares

_OWNERS_PER_TARGET = shares.OWNERS_PER_TARGET

# A host's rendezvous hash for one target and its name; orders hosts at the same
# distance from the target.
RankedHost = tuple[bytes, str]


class TargetOwners(records.Record):
    """The owners of one target.

    Attributes:
      data_centre: Data centre of the target when they were computed.
      first: Hash and name of the first hosts of the target's data centre, in
        order.
      owners: Names of the owners in order, which may include hosts of other
        data centres.
    """

    __slots__ = ("data_centre", "first", "owners")

    def __init__(
        self,
        *,
        data_centre: str,
        first: tuple[RankedHost, ...],
        owners: tuple[str, ...],
    ):
        self.data_centre = data_centre
        self.first = first
        self.owners = owners


class Ranking:
    """Finds the owners of targets and caches them until hosts change."""

    __slots__ = (
        "_hosts_by_centre",
        "_regions",
        "_target_owners",
        "_declaration",
    )

    def __init__(self):
        self._hosts_by_centre: dict[str, dict[str, None]] = {}
        self._regions: dict[str, str] = {}  # Regions by data centre.
        self._target_owners: dict[str, TargetOwners] = {}
        self._declaration: declarations.Declaration | None = None

    def use_declaration(
        self, declaration: declarations.Declaration
    ) -> frozenset[str]:
        """Updates the cached owners after a new declaration.

        Returns:
          The data centres whose targets may have other owners than before.
        """
        previous, self._declaration = self._declaration, declaration
        if previous is not None and _is_same_fleet(previous, declaration):
            return frozenset()
        hosts_by_centre: dict[str, dict[str, None]] = {}
        for host in declaration.hosts.values():
            hosts_by_centre.setdefault(host.data_centre, {})[host.name] = None
        regions = {c.name: c.region for c in declaration.data_centres.values()}
        before, self._hosts_by_centre = self._hosts_by_centre, hosts_by_centre
        changed = {
            centre
            for centre in before.keys() | hosts_by_centre.keys()
            if before.get(centre, {}).keys()
            != hosts_by_centre.get(centre, {}).keys()
        }
        if changed or regions != self._regions:
            changed |= self._list_dependent(before, regions)
            self._regions = regions
            self._update_owners(changed, before)
        for name in self._target_owners.keys() - declaration.targets.keys():
            del self._target_owners[name]
        return frozenset(changed)

    def may_own(self, host: declarations.Host, data_centre: str) -> bool:
        """Returns whether a host can own targets of a data centre."""
        if host.data_centre == data_centre:
            return True
        return (
            len(self._hosts_by_centre.get(data_centre, ())) < _OWNERS_PER_TARGET
        )

    def find_owners(self, target: declarations.Target) -> tuple[str, ...]:
        """Returns the names of a target's owners, in order."""
        target_owners = self._target_owners.get(target.name)
        if (
            target_owners is None
            or target_owners.data_centre != target.data_centre
        ):
            target_owners = self._compute_owners(
                target.name, target.data_centre
            )
            self._target_owners[target.name] = target_owners
        return target_owners.owners

    def _list_dependent(
        self, before: dict[str, dict[str, None]], regions: dict[str, str]
    ) -> set[str]:
        """Returns the data centres with too few hosts to own their targets.

        Some owners of their targets are hosts elsewhere, so they depend on the
        hosts of all data centres and on the regions.
        """
        return {
            centre
            for centre in regions.keys() | self._regions.keys()
            if len(self._hosts_by_centre.get(centre, ())) < _OWNERS_PER_TARGET
            or len(before.get(centre, ())) < _OWNERS_PER_TARGET
        }

    def _update_owners(
        self, changed: set[str], before: dict[str, dict[str, None]]
    ) -> None:
        for name, target_owners in list(self._target_owners.items()):
            centre = target_owners.data_centre
            if centre not in changed:
                continue
            old, new = (
                before.get(centre, {}),
                self._hosts_by_centre.get(centre, {}),
            )
            removed = any(host not in new for _, host in target_owners.first)
            if removed or len(target_owners.first) < _OWNERS_PER_TARGET:
                del self._target_owners[name]
                continue
            added = [(shares.hash_pair(h, name), h) for h in new.keys() - old]
            first = tuple(
                heapq.nsmallest(
                    _OWNERS_PER_TARGET, [*target_owners.first, *added]
                )
            )
            self._target_owners[name] = target_owners.replace(
                first=first, owners=tuple(host for _, host in first)
            )

    def _compute_owners(self, target: str, data_centre: str) -> TargetOwners:
        local_hosts = self._hosts_by_centre.get(data_centre, {})
        first = _choose_first(local_hosts, target, _OWNERS_PER_TARGET)
        owners = [host for _, host in first]
        if len(owners) < _OWNERS_PER_TARGET:
            region = self._regions.get(data_centre)
            remote_hosts: tuple[list[str], list[str]] = ([], [])
            for centre, hosts in self._hosts_by_centre.items():
                if centre != data_centre:
                    same_region = self._regions.get(centre) == region
                    remote_hosts[0 if same_region else 1].extend(hosts)
            for hosts in remote_hosts:
                chosen = _choose_first(
                    hosts, target, _OWNERS_PER_TARGET - len(owners)
                )
                owners.extend(host for _, host in chosen)
        return TargetOwners(
            data_centre=data_centre, first=first, owners=tuple(owners)
        )


def _is_same_fleet(
    before: declarations.Declaration, after: declarations.Declaration
) -> bool:
    # Consecutive revisions share the tables that did not change.
    return (
        before.hosts is after.hosts
        and before.targets is after.targets
        and before.data_centres is after.data_centres
    )


def _choose_first(
    hosts: collections.abc.Iterable[str], target: str, count: int
) -> tuple[RankedHost, ...]:
    ranked = ((shares.hash_pair(host, target), host) for host in hosts)
    return tuple(heapq.nsmallest(count, ranked))


def list_affected_targets(
    before: declarations.Declaration | None,
    after: declarations.Declaration,
    data_centres: collections.abc.Collection[str],
) -> list[declarations.Target]:
    """Returns the targets of ``after`` whose shares may have changed.

    Args:
      before: The previous declaration, if any.
      after: The declaration that replaces it.
      data_centres: Data centres whose targets may have new owners, as
        ``Ranking.use_declaration`` returns them.
    """
    if before is None or before.strategy != after.strategy:
        return list(after.targets.values())
    # Strategies other than "owner" divide a budget by the number of hosts.
    if len(before.hosts) != len(after.hosts) and after.strategy != "owner":
        return list(after.targets.values())
    services = {
        name
        for name, service in after.services.items()
        if before.services.get(name) is not service
        and before.services.get(name) != service
    }
    previous_targets = before.targets
    # Consecutive revisions share the tables that did not change.
    if previous_targets is after.targets and not services and not data_centres:
        return []
    return [
        target
        for name, target in after.targets.items()
        if target.service in services
        or target.data_centre in data_centres
        or (
            previous_targets.get(name) is not target
            and previous_targets.get(name) != target
        )
    ]
