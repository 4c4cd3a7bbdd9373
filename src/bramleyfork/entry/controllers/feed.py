"""The controller that follows what operators declare and targets list."""

import logging
import random

from bramleyfork.entry import components
from bramleyfork.entry import feeds
from bramleyfork.entry.controllers import _feed_content
from bramleyfork.entry.controllers import _feed_sources
from bramleyfork.entry.decisions import sources

_LOG = logging.getLogger(__name__)

# A watch that hears nothing is asked again after this time. A connection that
# has gone silent is noticed this late, so it is short beside the time in which
# a change has to be in force.
_WATCH_S = 2.0
# Pause after changes before more are asked for, as changes come in groups and
# each call to the source has its price.
_BATCH_S = 0.25
# Time beyond the wait after which a source counts as lost. Two hosts that stand
# still may be asked in turn before a change has to be in force.
_ANSWER_LIMIT_S = 1.0
_PEER_ANSWER_LIMIT_S = 0.5
# A store that failed is asked for an answer at once, within a limit that
# doubles with each failure: meanwhile the host hears nobody else.
_PROBE_LEAST_S = 0.5
_PROBE_MOST_S = 2.0
# Sources that are asked at once, one after the other, when all fail.
_FAILURES_AT_ONCE = 4
# A watch at another host is free and shows soon that the host stands still.
_PEER_WATCH_S = 1.0
_LIST_LIMIT_S = 2.0
_BACKOFF_LEAST_S = 0.1
_BACKOFF_MOST_S = 1.0


@components.register(
    components.CONTROLLERS,
    "feed",
    reads=("feed_results", "peer_feed_results"),
    passive_reads=("members",),
    writes=(*_feed_content.WRITTEN_SECTIONS, "feed_reads", "feed_state"),
)
class Feed(components.Component):
    """Lists the feed once, then watches it, and keeps its content."""

    __slots__ = (
        "_random",
        "_number",
        "_waiting",
        "_revision",
        "_after_key",
        "_page_revision",
        "_pages",
        "_is_listing",
        "_read_at",
        "_backoff_s",
        "_is_lost",
        "_synced_at",
        "_source",
        "_sources",
        "_is_current",
        "_lists_fresh",
        "_content",
        "_failures",
        "_store_failures",
        "_hops",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._random = random.Random(self.context.incarnation)
        self._number = 0
        self._waiting: int | None = None
        self._revision = 0
        self._after_key = ""
        self._page_revision = 0
        self._pages: list[feeds.Change] = []
        self._is_listing = True
        self._read_at = 0.0
        self._backoff_s = _BACKOFF_LEAST_S
        self._is_lost = False
        self._synced_at = 0.0
        self._source = sources.STORE
        self._sources = _feed_sources.FeedSources(
            settings=self.context.settings, members=self.get_table("members")
        )
        self._is_current = False
        self._lists_fresh = False
        self._content = _feed_content.FeedContent(
            writers={
                name: self.get_writer(name)
                for name in _feed_content.WRITTEN_SECTIONS
            },
            tables={
                name: self.get_table(name)
                for name in _feed_content.WRITTEN_SECTIONS
            },
        )
        self._failures = 0
        self._store_failures = 0
        self._hops = feeds.UNREACHABLE_HOPS
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Applies results, then makes the next read when its time has come."""
        self._now = self._content.now = now
        results = self.read_new_records("feed_results") + self.read_new_records(
            "peer_feed_results"
        )
        for result in results:
            if result.number == self._waiting:
                self._waiting = None
                self._take_result(result)
        self._content.remove_expired()
        if self._waiting is None and now >= self._read_at:
            self._read()
        times = self._content.list_removal_times()
        if self._waiting is None:
            times.append(self._read_at)
        return min(times, default=None)

    def _read(self) -> None:
        self._number += 1
        self._waiting = self._number
        if not self._after_key:
            self._source = self._sources.choose(self._now)
        address = self._sources.find_address(self._source)
        if self._is_listing:
            read = feeds.FeedRead(
                number=self._number,
                kind=feeds.LIST,
                after_key=self._after_key,
                limit_s=_LIST_LIMIT_S,
                source=address,
                is_fresh=self._lists_fresh,
            )
        else:
            wait_s, limit_s = self._find_wait(address)
            read = feeds.FeedRead(
                number=self._number,
                kind=feeds.WATCH,
                after_revision=self._revision,
                wait_s=wait_s,
                limit_s=limit_s,
                source=address,
            )
        self.context.metrics.count("feed_reads", read.kind)
        self.get_writer("feed_reads").append(read)

    def _find_wait(
        self, address: tuple[str, int] | None
    ) -> tuple[float, float]:
        """Returns how long a watch waits, and when it counts as lost."""
        wait_s, spare_s = _WATCH_S, _ANSWER_LIMIT_S
        if address is not None:
            wait_s, spare_s = _PEER_WATCH_S, _PEER_ANSWER_LIMIT_S
        elif self._store_failures:
            wait_s = 0.0
            spare_s = min(
                _PROBE_MOST_S,
                _PROBE_LEAST_S * 2 ** (self._store_failures - 1),
            )
        if not self._is_current:
            wait_s = 0.0
        return wait_s, wait_s + spare_s

    # Results.

    def _take_result(self, result: feeds.FeedResult) -> None:
        if result.status == feeds.GONE:
            _LOG.info("feed history is gone", extra={"detail": result.detail})
            self._content.start_removal_grace()
            # A listing that is older than the history kept can't be followed
            # by a watch.
            self._lists_fresh = True
            self._begin_listing()
            return
        if result.status != feeds.OK:
            self._note_failure(result)
            return
        self._note_success(result)
        if result.lapse_s:
            self._content.removal_grace_until = max(
                self._content.removal_grace_until, self._now + result.lapse_s
            )
        if self._is_listing:
            self._take_page(result)
            return
        self._is_current = True
        self._lists_fresh = False
        for change in result.changes:
            self._content.apply(change)
        if result.changes:
            self._read_at = self._now + _BATCH_S
        self._advance(result.revision)

    def _begin_listing(self) -> None:
        self._is_listing = True
        self._after_key = ""
        self._pages = []

    def _take_page(self, result: feeds.FeedResult) -> None:
        # Pages are read at different revisions, and a stale one may be older
        # than those before it. The watch begins at the oldest, so that it
        # repeats what changed between them.
        if not self._after_key:
            self._page_revision = result.revision
        self._page_revision = min(self._page_revision, result.revision)
        self._pages.extend(result.changes)
        if result.next_key is not None:
            self._after_key = result.next_key
            return
        listed = {change.key for change in self._pages}
        for change in self._pages:
            self._content.apply(change)
        self._content.remove_unlisted(listed, self._page_revision)
        self._is_listing = False
        self._after_key = ""
        self._is_current = False
        _LOG.info(
            "feed listed",
            extra={
                "entries": len(self._pages),
                "revision": self._page_revision,
                "source": self._source or "store",
            },
        )
        self._pages = []
        # What was removed before is not known any more.
        self._content.compact_revision = max(
            self._content.compact_revision, self._page_revision
        )
        self._revision = max(self._revision, self._page_revision)

    def _advance(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        self._put_state()

    def _put_state(self) -> None:
        self.get_writer("feed_state").put(
            "current",
            feeds.FeedState(
                revision=self._revision,
                compact_revision=self._content.compact_revision,
                synced_at=self._synced_at,
                is_lost=self._is_lost,
                removal_grace_until=self._content.removal_grace_until,
                hops=self._hops,
                hop_limit=self._sources.compute_hop_limit(),
            ),
        )

    def _note_success(self, result: feeds.FeedResult) -> None:
        self._synced_at = max(self._synced_at, self._now - result.age_s)
        self._failures = 0
        self._hops = result.hops + 1
        if self._source == sources.STORE:
            self._hops = 0
            self._store_failures = 0
        self._backoff_s = _BACKOFF_LEAST_S
        self._read_at = self._now
        if self._is_lost:
            self._is_lost = False
            _LOG.info(
                "feed regained",
                extra={
                    "revision": self._revision,
                    "source": self._source or "store",
                },
            )

    def _note_failure(self, result: feeds.FeedResult) -> None:
        self.context.metrics.count("feed_failures", result.status)
        source = self._source or "store"
        _LOG.log(
            logging.INFO if self._is_lost else logging.WARNING,
            "feed lost",
            extra={
                "source": source,
                "status": result.status,
                "detail": result.detail,
                "revision": self._revision,
                "heard_s_ago": (
                    round(self._now - self._synced_at, 2)
                    if self._synced_at
                    else None
                ),
            },
        )
        self._sources.avoid(self._source, self._now)
        if self._is_listing:
            self._begin_listing()
        if self._source == sources.STORE:
            self._store_failures += 1
            self._content.start_removal_grace()
        self._failures += 1
        self._hops = feeds.UNREACHABLE_HOPS
        if self.get_table("feed_state").get("current") is not None:
            # Hosts that read from this one look for another at once.
            self._put_state()
        is_early = self._failures <= _FAILURES_AT_ONCE
        if is_early and self._sources.has_another(self._now):
            # Another source is asked at once.
            self._read_at = self._now
            return
        if not self._is_lost:
            self._is_lost = True
            self._put_state()
        pause = self._backoff_s * (0.5 + self._random.random())
        self._read_at = self._now + pause
        self._backoff_s = min(_BACKOFF_MOST_S, 2 * self._backoff_s)
