"""How many connections this host may have to a target."""

from bramleyfork.core import blackboard
from bramleyfork.entry import declarations
from bramleyfork.entry import settings as settings_module
from bramleyfork.entry.decisions import placement


class ConnectionLimits:
    """This host's part of the connections that targets accept.

    Args:
      settings: Settings of the process.
      members: Hosts by name.
      routes: The route table in force.
    """

    __slots__ = ("_region_count", "_members", "_routes")

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        members: blackboard.Table,
        routes: blackboard.Table,
    ):
        self._region_count = len(set(settings.regions.values()))
        self._members = members
        self._routes = routes

    def find(self, target: declarations.ListedTarget) -> int:
        """Returns the most connections to a target, at least one."""
        service = self._find_service(target.service)
        if service is None:
            return 1
        return placement.compute_connections_per_host(
            service.connection_limit,
            host_count=len(self._members),
            region_count=self._region_count,
        )

    def count_sending_hosts(self, name: str) -> int:
        """Returns how many hosts send to a service's targets, at least one."""
        service = self._find_service(name)
        if service is None:
            return max(1, len(self._members))
        return placement.count_sending_hosts(
            service.connection_limit,
            host_count=len(self._members),
            region_count=self._region_count,
        )

    def _find_service(self, name: str) -> declarations.Service | None:
        table = self._routes.get("current")
        return table.services.get(name) if table else None
