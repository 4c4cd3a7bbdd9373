"""This host's shares of the declared targets."""

import collections.abc

from bramleyfork.core import declarations
from bramleyfork.decisions import ranking
from bramleyfork.decisions import shares


class ShareFinder:
    """Computes shares under the declaration in force.

    Args:
      host: Name of this host.
    """

    __slots__ = ("declaration", "_host", "_ranking")

    def __init__(self, *, host: str):
        self.declaration: declarations.Declaration | None = None
        self._host = host
        self._ranking = ranking.Ranking()

    def use_declaration(
        self, declaration: declarations.Declaration
    ) -> collections.abc.Iterable[declarations.Target]:
        """Takes over a declaration; returns targets whose share may differ."""
        before, self.declaration = self.declaration, declaration
        centres = self._ranking.use_declaration(declaration)
        return ranking.list_affected_targets(before, declaration, centres)

    def find_share(self, target: declarations.Target) -> shares.Share:
        """Returns what this host may use of a target."""
        declaration = self.declaration
        own = declaration.hosts.get(self._host)
        if own is None:
            return shares.NO_SHARE
        rank = shares.OWNERS_PER_TARGET
        if self._ranking.may_own(own, target.data_centre):
            owners = self._ranking.find_owners(target)
            if own.name in owners:
                rank = owners.index(own.name)
        return shares.compute_share(
            service=declaration.services[target.service],
            strategy=declaration.strategy,
            rank=rank,
            host_count=len(declaration.hosts),
        )
