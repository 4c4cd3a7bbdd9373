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

_OWNERS = shares.OWNERS

# A host's rendezvous hash for one target and its name; orders hosts at the same
# distance from the target.
Claim = tuple[bytes, str]


class Claims(records.Record):
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
        first: tuple[Claim, ...],
        owners: tuple[str, ...],
    ):
        self.data_centre = data_centre
        self.first = first
        self.owners = owners


class Ranking:
    """Finds the owners of targets and caches them until hosts change."""

    __slots__ = ("_by_centre", "_centres", "_claims", "_declaration")

    def __init__(self):
        self._by_centre: dict[str, dict[str, None]] = {}
        self._centres: dict[str, str] = {}  # Regions by data centre.
        self._claims: dict[str, Claims] = {}
        self._declaration: declarations.Declaration | None = None

    def use_declaration(
        self, declaration: declarations.Declaration
    ) -> frozenset[str]:
        """Updates the cached owners after a new declaration.

        Returns:
          The data centres whose targets may have other owners than before.
        """
        known, self._declaration = self._declaration, declaration
        if known is not None and _is_same_fleet(known, declaration):
            return frozenset()
        by_centre: dict[str, dict[str, None]] = {}
        for host in declaration.hosts.values():
            by_centre.setdefault(host.data_centre, {})[host.name] = None
        regions = {c.name: c.region for c in declaration.data_centres.values()}
        before, self._by_centre = self._by_centre, by_centre
        changed = {
            centre
            for centre in before.keys() | by_centre.keys()
            if before.get(centre, {}).keys() != by_centre.get(centre, {}).keys()
        }
        if changed or regions != self._centres:
            changed |= self._list_dependent(before, regions)
            self._centres = regions
            self._update_claims(changed, before)
        for name in self._claims.keys() - declaration.targets.keys():
            del self._claims[name]
        return frozenset(changed)

    def may_own(self, host: declarations.Host, data_centre: str) -> bool:
        """Returns whether a host can own targets of a data centre."""
        if host.data_centre == data_centre:
            return True
        return len(self._by_centre.get(data_centre, ())) < _OWNERS

    def find_owners(self, target: declarations.Target) -> tuple[str, ...]:
        """Returns the names of a target's owners, in order."""
        claims = self._claims.get(target.name)
        if claims is None or claims.data_centre != target.data_centre:
            claims = self._compute_claims(target.name, target.data_centre)
            self._claims[target.name] = claims
        return claims.owners

    def _list_dependent(
        self, before: dict[str, dict[str, None]], regions: dict[str, str]
    ) -> set[str]:
        """Returns the data centres with too few hosts to own their targets.

        Some owners of their targets are hosts elsewhere, so they depend on the
        hosts of all data centres and on the regions.
        """
        return {
            centre
            for centre in regions.keys() | self._centres.keys()
            if len(self._by_centre.get(centre, ())) < _OWNERS
            or len(before.get(centre, ())) < _OWNERS
        }

    def _update_claims(
        self, changed: set[str], before: dict[str, dict[str, None]]
    ) -> None:
        for name, claims in list(self._claims.items()):
            centre = claims.data_centre
            if centre not in changed:
                continue
            old, new = before.get(centre, {}), self._by_centre.get(centre, {})
            gone = any(host not in new for _, host in claims.first)
            if gone or len(claims.first) < _OWNERS:
                del self._claims[name]
                continue
            added = [(shares.hash_pair(h, name), h) for h in new.keys() - old]
            first = tuple(heapq.nsmallest(_OWNERS, [*claims.first, *added]))
            self._claims[name] = claims.replace(
                first=first, owners=tuple(host for _, host in first)
            )

    def _compute_claims(self, target: str, data_centre: str) -> Claims:
        near = self._by_centre.get(data_centre, {})
        first = _choose_first(near, target, _OWNERS)
        owners = [host for _, host in first]
        if len(owners) < _OWNERS:
            region = self._centres.get(data_centre)
            farther: tuple[list[str], list[str]] = ([], [])
            for centre, hosts in self._by_centre.items():
                if centre != data_centre:
                    same_region = self._centres.get(centre) == region
                    farther[0 if same_region else 1].extend(hosts)
            for hosts in farther:
                chosen = _choose_first(hosts, target, _OWNERS - len(owners))
                owners.extend(host for _, host in chosen)
        return Claims(
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
) -> tuple[Claim, ...]:
    claims = ((shares.hash_pair(host, target), host) for host in hosts)
    return tuple(heapq.nsmallest(count, claims))


def list_touched(
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
    present = before.targets
    # Consecutive revisions share the tables that did not change.
    if present is after.targets and not services and not data_centres:
        return []
    return [
        target
        for name, target in after.targets.items()
        if target.service in services
        or target.data_centre in data_centres
        or (present.get(name) is not target and present.get(name) != target)
    ]
