"""The directory, which lists entry hosts for callers.

It is computed from this host's view of the fleet, the routes and the targets.
"""

import collections.abc

from bramleyfork.core import blackboard
from bramleyfork.entry import declarations
from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import placement


class Directory:
    """Chooses hosts for callers and reports whether this host is ready.

    Args:
      regions: Region by data centre.
      tables: Tables of the blackboard by name, at least those in TABLES.
    """

    TABLES = ("members", "usable", "route_table", "lifecycle", "feed_state")

    __slots__ = ("_regions", "_tables")

    def __init__(
        self,
        *,
        regions: collections.abc.Mapping[str, str],
        tables: collections.abc.Mapping[str, blackboard.Table],
    ):
        self._regions = regions
        self._tables = tables

    def is_ready(self) -> bool:
        """Returns whether this host serves and has read feed and routes."""
        phase = self._tables["lifecycle"].get("current")
        return (
            phase is not None
            and phase.phase == "serving"
            and self._tables["feed_state"].get("current") is not None
            and self._find_routes() is not None
        )

    def choose_hosts(self, name: str, region: str) -> list[str]:
        """Returns addresses of hosts for a caller.

        Args:
          name: Host name of the caller's requests, in lower case.
          region: Region of the caller.
        """
        services = self._list_services(name)
        return placement.choose_hosts(
            hosts=self._list_hosts(),
            caller_region=region,
            regions=placement.choose_regions(
                caller_region=region,
                services=services,
                services_by_region=self._list_services_by_region(),
                allowed_regions=self._find_allowed_regions(name),
            ),
            per_region=placement.count_listed_hosts(
                self._find_connection_limit(services),
                len(set(self._regions.values())),
            ),
        )

    def _find_routes(self) -> declarations.RouteTable | None:
        return self._tables["route_table"].get("current")

    def _list_hosts(self) -> list[placement.Host]:
        return [
            placement.Host(
                address="{}:{}".format(*member.update.caller_address),
                region=self._regions.get(member.update.data_centre, ""),
                capacity=member.update.capacity,
            )
            for member in self._tables["members"].list_records()
            if member.update.state == fleet.SERVING
        ]

    def _find_connection_limit(self, services: set[str]) -> int:
        """Returns the lowest connection limit of the services, or 0."""
        table = self._find_routes()
        return placement.find_listing_limit(table, services) if table else 0

    def _find_allowed_regions(self, name: str) -> frozenset[str] | None:
        """Returns the regions that may serve all routes of a host name.

        Returns None if no route of it is restricted to regions.
        """
        table = self._find_routes()
        region_sets = [
            route.regions
            for route in (table.routes.get(name, ()) if table else ())
            if route.regions
        ]
        return frozenset.intersection(*region_sets) if region_sets else None

    def _list_services(self, name: str) -> set[str]:
        table = self._find_routes()
        if table is None:
            return set()
        return {
            service
            for route in table.routes.get(name, ())
            for service in route.list_services()
        }

    def _list_services_by_region(self) -> dict[str, set[str]]:
        """Returns the services that have a usable target, by region."""
        services_by_region: dict[str, set[str]] = {
            region: set() for region in self._regions.values()
        }
        for service, targets in self._tables["usable"].copy_records().items():
            for target in targets:
                region = self._regions.get(target.data_centre)
                if region is not None:
                    services_by_region[region].add(service)
        return services_by_region
