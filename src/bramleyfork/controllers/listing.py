"""The controller that replicates the platform's list of targets.

Watchers poll the list every second and forward changed rows along the
distribution tree. The other hosts apply those rows and poll rarely.
"""

import math

from bramleyfork.controllers import _distribution_tree
from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.decisions import listings
from bramleyfork.decisions import platform_polling
from bramleyfork.decisions import revisions

_PATH = "/v1/targets"
_WATCHER_INTERVAL_S = 1.0  # Between reads of a watcher.
# Between reads of other hosts, plus jitter of up to half of it. They receive
# changes from watchers; their reads make up for updates that were lost.
_REFRESH_INTERVAL_S = 60.0
_TIMEOUT_S = 2.0  # Timeout of one read in the transport.
# After this time the transport's result counts as lost.
_RESULT_TIMEOUT_S = _TIMEOUT_S + 2.0
# A watcher applies rows from peers only when its own reads have failed for
# this long, so that a peer with an older list does not undo newer rows.
_PEER_ROWS_DELAY_S = 3.0


@controllers.register(
    "listing",
    reads=("platform_results", "peer_control", "declaration", "members"),
    writes=("listing_reads", "listing", "listing_out"),
)
class ListingController(controllers.Controller):
    """Writes fleet.ListedTarget by target, from the platform and peers."""

    __slots__ = (
        "_schedule",
        "_read_at",
        "_rows",
        "_tree",
        "_version",
        "_watching",
    )

    def start(self) -> None:
        """Sets the initial state."""
        self._tree = _distribution_tree.DistributionTree(
            host=self.settings.host,
            data_centre=self.settings.data_centre,
            find_member=self.get_table("members").get,
        )
        self._schedule = platform_polling.ReadSchedule()
        # Rows of the last read. None if a peer's rows have changed the table
        # since, so that the next read is compared with the table.
        self._rows: tuple[fleet.ListedTarget, ...] | None = None
        self._read_at = -math.inf
        self._version = revisions.NO_VERSION
        self._watching = False

    def step(self, now: float) -> float | None:
        """Applies rows from platform and peers and orders a read if due.

        Returns:
          When to run again, monotonic seconds; None without a declaration.
        """
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return None
        version = revisions.read_version(active.declaration)
        if version != self._version:
            self._version = version
            self._tree.set_hosts(active.declaration.hosts)
        self._update_watching(now)
        for result in self.read_new_records("platform_results"):
            if result.purpose == "listing":
                self._handle_result(result, now)
        for received in self.read_new_records("peer_control"):
            if isinstance(received.message, messages.ListingUpdate):
                self._handle_update(received.message, now)
        self._order_read(now)
        return platform_polling.find_wake_time(self._schedule)

    def _update_watching(self, now: float) -> None:
        """Makes a read due when this host becomes a watcher.

        The backoff after failed reads is kept.
        """
        watching = self.settings.host in self._tree.choose_watchers()
        if watching and not self._watching and not self._schedule.failures:
            self._schedule = self._schedule.replace(next_at=now)
        self._watching = watching

    def _handle_result(
        self, result: platform_calls.PlatformResult, now: float
    ) -> None:
        if result.status != 200:
            self._record_failed_read(now)
            return
        self._schedule = platform_polling.finish_read(
            self._schedule, result.sent_at + self._choose_interval()
        )
        # The transport returns the same object while the list is unchanged.
        if result.rows is self._rows:
            self._read_at = now
            return
        self._rows = result.rows
        previous = self.get_table("listing").copy_records()
        changed = listings.find_changed(previous, result.rows)
        for row in changed:
            self.get_writer("listing").put(row.target, row)
        for target in listings.find_vanished(previous, result.rows):
            self.get_writer("listing").remove(target)
        # Every host reads the whole list at startup, so the rows of a
        # watcher's first read are not forwarded.
        if self._watching and self._read_at > -math.inf:
            self._forward(changed)
        self._read_at = now

    def _record_failed_read(self, now: float) -> None:
        max_backoff_s = platform_polling.MAX_BACKOFF_S
        if self._watching:
            max_backoff_s = platform_polling.MAX_WATCHER_BACKOFF_S
        self._schedule = platform_polling.fail_read(
            self._schedule, now, self.settings.host, max_backoff_s
        )

    def _forward(self, rows: list[fleet.ListedTarget]) -> None:
        """Sends rows to this host's children in the distribution tree."""
        self.get_writer("listing_out").extend(
            listings.build_updates(rows, self._tree.list_children())
        )

    def _choose_interval(self) -> float:
        """Returns the time between two successful reads, seconds."""
        if self._watching:
            return _WATCHER_INTERVAL_S
        jitter = revisions.compute_fraction(self.settings.host, "listing")
        return _REFRESH_INTERVAL_S * (1 + jitter / 2)

    def _handle_update(
        self, update: messages.ListingUpdate, now: float
    ) -> None:
        if self._watching and now - self._read_at < _PEER_ROWS_DELAY_S:
            return
        rows = [
            fleet.ListedTarget(target=target, state=state, holdings=holdings)
            for target, state, holdings in update.rows
        ]
        find = self.get_table("listing").get
        changed = [row for row in rows if find(row.target) != row]
        for row in changed:
            self._rows = None
            self.get_writer("listing").put(row.target, row)
        # Unchanged rows are not forwarded. Otherwise an update could circulate
        # without end while the hosts' views of the tree differ.
        if changed:
            self._forward(changed)

    def _order_read(self, now: float) -> None:
        """Orders a read if one is due, after giving up an overdue one."""
        if platform_polling.is_overdue(self._schedule, now):
            self._record_failed_read(now)
        if not platform_polling.is_due(self._schedule, now):
            return
        self.get_writer("listing_reads").append(
            platform_calls.PlatformRead(
                purpose="listing", path=_PATH, timeout_s=_TIMEOUT_S
            )
        )
        self._schedule = platform_polling.begin_read(
            self._schedule, now, _RESULT_TIMEOUT_S
        )
