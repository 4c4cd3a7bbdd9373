"""The feed of a host whose declaration is a file."""

import logging
import os

from bramleyfork.entry import components
from bramleyfork.entry import feeds
from bramleyfork.standalone import declaration

_LOG = logging.getLogger(__name__)

_FILE_CHECK_INTERVAL_S = 0.25  # How soon a change of the file is seen.


class _Wait:
    """A watch that waits for a change."""

    __slots__ = ("read", "until")

    def __init__(self, *, read: feeds.FeedRead, until: float):
        self.read = read
        self.until = until


@components.register(
    components.ADAPTERS,
    "declaration_file",
    writer_name="feed_source",
    reads=("feed_reads",),
    writes=("feed_results",),
)
class FileFeedSource(components.Component):
    """Answers listings and watches from a file that operators replace.

    A file that is refused, or whose revision is not above the present one,
    changes nothing.
    """

    __slots__ = (
        "_entries",
        "_revision",
        "_stamp",
        "_next_check_at",
        "_waits",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        # Removed entries stay, as a watch tells of them.
        self._entries: dict[str, feeds.Change] = {}
        self._revision = 0
        self._stamp: tuple[int, int, int] | None = None
        self._next_check_at = 0.0
        self._waits: list[_Wait] = []

    def step(self, now: float) -> float | None:
        """Looks at the file and answers reads."""
        if now >= self._next_check_at:
            self._next_check_at = now + _FILE_CHECK_INTERVAL_S
            self._reload_if_changed()
        for read in self.read_new_records("feed_reads"):
            if read.source is None:
                self._waits.append(_Wait(read=read, until=now + read.wait_s))
        still = []
        for wait in self._waits:
            result = self._find_result(wait, now)
            if result is None:
                still.append(wait)
            else:
                self.get_writer("feed_results").append(result)
        self._waits = still
        return min([self._next_check_at, *(wait.until for wait in still)])

    # The file.

    def _reload_if_changed(self) -> None:
        path = self.context.settings.declaration_file
        try:
            status = os.stat(path)
        except OSError as error:
            if self._stamp is not None:
                _LOG.error("declaration is gone", extra={"error": str(error)})
            self._stamp = None
            return
        stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
        if stamp == self._stamp:
            return
        self._stamp = stamp
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

    def _apply(self, declared: declaration.LoadedDeclaration) -> None:
        self._revision = declared.revision
        named = {change.key: change for change in declared.changes}
        for key, change in named.items():
            known = self._entries.get(key)
            if (
                known is None
                or known.is_removed
                or known.content != change.content
            ):
                self._entries[key] = change
        for key, known in list(self._entries.items()):
            if key not in named and not known.is_removed:
                self._entries[key] = known.replace(
                    revision=self._revision, content=None, is_removed=True
                )
        _LOG.info(
            "declaration accepted",
            extra={"revision": self._revision, "entries": len(named)},
        )

    # Reads.

    def _find_result(self, wait: _Wait, now: float) -> feeds.FeedResult | None:
        read = wait.read
        if not self._revision:
            return self._build_result(
                read, status=feeds.LOST, detail="no declaration was accepted"
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
        if not found and now < wait.until:
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
