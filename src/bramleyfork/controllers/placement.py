"""Keeps the list of hosts that callers may be sent to."""

import logging
import math

from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.decisions import placement

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

# Heartbeats change members many times a second; at 6,700 hosts each new view
# costs milliseconds, so changes are taken together.
_PERIOD_S = 0.25


@controllers.register(
    "placement",
    reads=("members", "declaration", "lifecycle", "peer_links", "lease"),
    writes=("placement",),
)
class PlacementController(controllers.Controller):
    """Writes fleet.PlacementView under the key "current"."""

    __slots__ = ("_next_at",)

    def start(self) -> None:
        """Makes the first step run at once."""
        self._next_at = -math.inf

    def step(self, now: float) -> float | None:
        """Builds the view again when something has changed."""
        if now < self._next_at:
            return self._next_at
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return None
        self._next_at = now + _PERIOD_S
        lease = self.get_table("lease").get("current")
        leased = lease is not None and now < lease.expires_at
        lifecycle = self.get_table("lifecycle").get("current")
        serving = lifecycle is not None and lifecycle.phase == "serving"
        view = placement.build_view(
            active.declaration,
            self.get_table("members").copy_records(),
            self.get_table("peer_links").copy_records(),
            own_host=self.settings.host,
            own_usable=serving and leased,
        )
        self._store(view)
        if leased and lease.expires_at < math.inf:
            return lease.expires_at
        return None

    def _store(self, view: fleet.PlacementView) -> None:
        old = self.get_table("placement").get("current")
        if view == old:
            return
        self.get_writer("placement").put("current", view)
        before = {host.name for host in old.hosts} if old else set()
        after = {host.name for host in view.hosts}
        if before != after:
            _DECISION_LOG.info(
                "placement changed",
                extra={
                    "added": sorted(after - before),
                    "removed": sorted(before - after),
                    "hosts": len(after),
                },
            )
