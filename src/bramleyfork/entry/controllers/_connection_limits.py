"""Computes this host's part of the connections and limits of each target."""

from bramleyfork.core import blackboard
from bramleyfork.entry import declarations
from bramleyfork.entry import fleet
from bramleyfork.entry import settings as settings_module
from bramleyfork.entry.decisions import pacing
from bramleyfork.entry.decisions import placement


class ConnectionLimits:
    """This host's share of the connection and rate limits of each target.

    Args:
      settings: Settings of the process.
      members: Entry hosts by name.
      routes: The route table in force.
    """

    __slots__ = (
        "_settings",
        "_region_count",
        "_has_seeds",
        "_members",
        "_routes",
        "_listing_table",
        "_listing_limits",
        "_rank",
        "_rank_version",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        members: blackboard.Table,
        routes: blackboard.Table,
    ):
        self._settings = settings
        self._region_count = len(set(settings.regions.values()))
        self._has_seeds = any(
            seed != settings.peer_address for seed in settings.seeds
        )
        self._members = members
        self._routes = routes
        self._listing_table: declarations.RouteTable | None = None
        self._listing_limits: dict[str, int] = {}
        self._rank = 0
        self._rank_version = -1

    def find(self, target: declarations.ListedTarget) -> int:
        """Returns the maximum number of connections to a target, at least 1."""
        service = self._find_service(target.service)
        if service is None:
            return 1
        return placement.compute_connections_per_host(
            service.connection_limit,
            host_count=len(self._members),
            region_count=self._region_count,
        )

    def knows_fleet(self) -> bool:
        """Returns whether this host has heard of another one.

        A host without seeds is the only host of its fleet.
        """
        return len(self._members) > 1 or not self._has_seeds

    def count_sending_hosts(self, name: str) -> int:
        """Returns how many hosts send to a service's targets, at least 1."""
        self._update_listing_limits()
        limit = self._listing_limits.get(name)
        if limit is None:
            return max(1, len(self._members))
        return placement.count_sending_hosts(
            limit,
            host_count=len(self._members),
            region_count=self._region_count,
        )

    def compute_fraction(self, name: str) -> float:
        """Returns the fraction that this host may use of a rate limit.

        Args:
          name: Name of the target's service.
        """
        self._update_listing_limits()
        known_hosts = max(1, len(self._members))
        limit = self._listing_limits.get(name)
        per_region = known_hosts
        if limit is not None:
            per_region = placement.count_listed_hosts(limit, self._region_count)
        return pacing.compute_fraction(
            is_listed=self._find_rank() < per_region,
            listed_hosts=per_region * self._region_count,
            known_hosts=known_hosts,
            knows_fleet=self.knows_fleet(),
        )

    def _find_rank(self) -> int:
        """Returns how many hosts of this region are listed before this one."""
        if self._members.version == self._rank_version:
            return self._rank
        self._rank_version = self._members.version
        regions = self._settings.regions
        updates = [
            member.update
            for member in self._members.list_records()
            if regions.get(member.update.data_centre) == self._settings.region
            and member.update.state == fleet.SERVING
        ]
        keys = {
            update.host: placement.compute_rank_key(
                "{}:{}".format(*update.caller_address), update.capacity
            )
            for update in updates
        }
        own = keys.get(self._settings.host)
        self._rank = sum(1 for k in keys.values() if own is None or k < own)
        return self._rank

    def _update_listing_limits(self) -> None:
        table = self._routes.get("current")
        if table is not None and table is not self._listing_table:
            self._listing_table = table
            self._listing_limits = placement.find_listing_limits(table)

    def _find_service(self, name: str) -> declarations.Service | None:
        table = self._routes.get("current")
        return table.services.get(name) if table else None
