"""The controller that keeps the platform's list of targets."""

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
_INTERVAL_S = 1.0  # Between reads of a host that holds the watch.
# Between reads of any other host: it gets changes from watchers, and this
# makes up for changes that it missed.
_REFRESH_S = 60.0
_TIMEOUT_S = 2.0
_RESULT_TIMEOUT_S = _TIMEOUT_S + 2.0
# A watcher takes rows from peers only when its own reads have failed for this
# long, so that a peer with an older list does not undo newer rows.
_FRESH_S = 3.0


@controllers.register(
    "listing",
    reads=("platform_results", "peer_control", "declaration", "members"),
    writes=("listing_reads", "listing", "listing_out"),
)
class ListingController(controllers.Controller):
    """Reads the list on watchers and passes changed rows along the tree."""

    __slots__ = (
        "_schedule",
        "_read_at",
        "_rows",
        "_tree",
        "_version",
        "_watching",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._tree = _distribution_tree.DistributionTree(
            host=self.settings.host,
            data_centre=self.settings.data_centre,
            find_member=self.get_table("members").get,
        )
        self._schedule = platform_polling.ReadSchedule()
        # The rows of the last reading while the table still equals them.
        self._rows: tuple[fleet.ListedTarget, ...] | None = None
        self._read_at = -math.inf
        self._version = revisions.NO_VERSION
        self._watching = False

    def step(self, now: float) -> float | None:
        """Takes rows from platform and peers, then reads when it is time."""
        active = self.get_table("declaration").get("in_force")
        if active is None:
            return None
        version = revisions.read_version(active.declaration)
        if version != self._version:
            self._version = version
            self._tree.use_hosts(active.declaration.hosts)
        self._note_watchers(now)
        for result in self.read_new_records("platform_results"):
            if result.purpose == "listing":
                self._take_result(result, now)
        for received in self.read_new_records("peer_control"):
            if isinstance(received.message, messages.ListingUpdate):
                self._take_update(received.message, now)
        self._read(now)
        return platform_polling.find_wake_time(self._schedule)

    def _note_watchers(self, now: float) -> None:
        watching = self.settings.host in self._tree.choose_watchers()
        if watching and not self._watching and not self._schedule.failures:
            self._schedule = self._schedule.replace(next_at=now)
        self._watching = watching

    def _take_result(
        self, result: platform_calls.PlatformResult, now: float
    ) -> None:
        if result.status != 200:
            self._note_failed_read(now)
            return
        self._schedule = platform_polling.finish_read(
            self._schedule, result.sent_at + self._choose_interval()
        )
        # The transport answers with the same rows while the list is the same.
        if result.rows is self._rows:
            self._read_at = now
            return
        self._rows = result.rows
        present = self.get_table("listing").copy_records()
        changed = listings.find_changed(present, result.rows)
        for row in changed:
            self.get_writer("listing").put(row.target, row)
        for target in listings.find_vanished(present, result.rows):
            self.get_writer("listing").remove(target)
        # Each host reads the whole list at start, so a watcher's first read
        # holds no news for the others.
        if self._watching and self._read_at > -math.inf:
            self._pass_on(changed)
        self._read_at = now

    def _note_failed_read(self, now: float) -> None:
        max_backoff_s = platform_polling.MAX_BACKOFF_S
        if self._watching:
            max_backoff_s = platform_polling.MAX_WATCHER_BACKOFF_S
        self._schedule = platform_polling.fail_read(
            self._schedule, now, self.settings.host, max_backoff_s
        )

    def _pass_on(self, rows: list[fleet.ListedTarget]) -> None:
        """Sends rows to the hosts below this one in its data centre."""
        self.get_writer("listing_out").extend(
            listings.build_updates(rows, self._tree.list_children())
        )

    def _choose_interval(self) -> float:
        if self._watching:
            return _INTERVAL_S
        jitter = revisions.compute_fraction(self.settings.host, "listing")
        return _REFRESH_S * (1 + jitter / 2)

    def _take_update(self, update: messages.ListingUpdate, now: float) -> None:
        if self._watching and now - self._read_at < _FRESH_S:
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
        # Rows that are known already have been passed on, which ends the way
        # of an update while hosts differ about the tree.
        if changed:
            self._pass_on(changed)

    def _read(self, now: float) -> None:
        if platform_polling.is_overdue(self._schedule, now):
            self._note_failed_read(now)
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
