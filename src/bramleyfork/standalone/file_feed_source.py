"""Feed source that reads the declaration from a local file.

It polls the file for changes and serves listings and watches from it.
"""

import logging
import os

from bramleyfork.entry import components
from bramleyfork.entry import feeds
from bramleyfork.standalone import declaration

_LOG = logging.getLogger(__name__)

# Seconds between checks; the longest delay until a change is detected.
_FILE_CHECK_INTERVAL_S = 0.25


class _PendingRead:
    """A read that has not been answered yet.

    Attributes:
      read: The read.
      expires_at: Monotonic time in seconds at which a watch is answered even
        if nothing has changed.
    """

    __slots__ = ("read", "expires_at")

    def __init__(self, *, read: feeds.FeedRead, expires_at: float):
        self.read = read
        self.expires_at = expires_at


@components.register(
    components.ADAPTERS,
    "declaration_file",
    writer_name="feed_source",
    reads=("feed_reads",),
    writes=("feed_results",),
)
class FileFeedSource(components.Component):
    """Serves listings and watches from a file that operators replace.

    A file that is invalid, or whose revision is not higher than the current
    one, is ignored with a log line.
    """

    __slots__ = (
        "_entries",
        "_revision",
        "_file_version",
        "_next_check_at",
        "_pending_reads",
    )

    def start(self) -> None:
        """Initialises state; called once, before the first step."""
        # Removed entries are kept, because watches report removals.
        self._entries: dict[str, feeds.Change] = {}
        self._revision = 0
        self._file_version: tuple[int, int, int] | None = None
        self._next_check_at = 0.0
        self._pending_reads: list[_PendingRead] = []

    def step(self, now: float) -> float | None:
        """Checks the file for changes if due, then answers pending reads.

        Reads with a ``source`` are addressed to other hosts and ignored.
        """
        if now >= self._next_check_at:
            self._next_check_at = now + _FILE_CHECK_INTERVAL_S
            self._reload_if_changed()
        for read in self.read_new_records("feed_reads"):
            if read.source is None:
                self._pending_reads.append(
                    _PendingRead(read=read, expires_at=now + read.wait_s)
                )
        remaining = []
        for pending in self._pending_reads:
            result = self._build_result_if_ready(pending, now)
            if result is None:
                remaining.append(pending)
            else:
                self.get_writer("feed_results").append(result)
        self._pending_reads = remaining
        return min(
            [
                self._next_check_at,
                *(pending.expires_at for pending in remaining),
            ]
        )

    def _reload_if_changed(self) -> None:
        path = self.context.settings.declaration_file
        try:
            file_status = os.stat(path)
        except OSError as error:
            if self._file_version is not None:
                _LOG.error(
                    "declaration file can't be accessed",
                    extra={"error": str(error)},
                )
            self._file_version = None
            return
        file_version = (
            file_status.st_mtime_ns,
            file_status.st_size,
            file_status.st_ino,
        )
        if file_version == self._file_version:
            return
        self._file_version = file_version
        loaded = declaration.load_declaration(path)
        if loaded.is_error():
            _LOG.error(
                "declaration refused",
                extra={
                    "problems": [p.describe() for p in loaded.error],
                    "revision": self._revision,
                },
            )
            return
        if loaded.ok.revision <= self._revision:
            _LOG.warning(
                "declaration is not newer",
                extra={
                    "found": loaded.ok.revision,
                    "revision": self._revision,
                },
            )
            return
        self._apply(loaded.ok)

    def _apply(self, loaded: declaration.LoadedDeclaration) -> None:
        self._revision = loaded.revision
        changes_by_key = {change.key: change for change in loaded.changes}
        for key, change in changes_by_key.items():
            entry = self._entries.get(key)
            if (
                entry is None
                or entry.is_removed
                or entry.content != change.content
            ):
                self._entries[key] = change
        for key, entry in list(self._entries.items()):
            if key not in changes_by_key and not entry.is_removed:
                self._entries[key] = entry.replace(
                    revision=self._revision, content=None, is_removed=True
                )
        _LOG.info(
            "declaration accepted",
            extra={"revision": self._revision, "entries": len(changes_by_key)},
        )

    def _build_result_if_ready(
        self, pending: _PendingRead, now: float
    ) -> feeds.FeedResult | None:
        read = pending.read
        if not self._revision:
            return self._build_result(
                read,
                status=feeds.LOST,
                detail="no declaration has been accepted yet",
            )
        if read.kind == feeds.LIST:
            found = [c for c in self._entries.values() if not c.is_removed]
            return self._build_result(read, changes=tuple(found))
        if read.after_revision > self._revision:
            return self._build_result(read, status=feeds.GONE)
        found = [
            change
            for change in self._entries.values()
            if change.revision > read.after_revision
        ]
        if not found and now < pending.expires_at:
            return None
        return self._build_result(read, changes=tuple(found))

    def _build_result(
        self,
        read: feeds.FeedRead,
        *,
        status: str = feeds.OK,
        changes: tuple[feeds.Change, ...] = (),
        detail: str = "",
    ) -> feeds.FeedResult:
        return feeds.FeedResult(
            number=read.number,
            status=status,
            revision=self._revision,
            changes=changes,
            detail=detail,
        )
