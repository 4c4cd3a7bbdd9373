"""The controller that reads the feed of declarations and targets.

The feed holds the route table and evacuations, which operators declare, and the
listed targets. It is read from the platform's store or from another host.
"""

import logging
import random

from bramleyfork.entry import components
from bramleyfork.entry import feeds
from bramleyfork.entry.controllers import _feed_comparison
from bramleyfork.entry.controllers import _feed_content
from bramleyfork.entry.controllers import _feed_listing
from bramleyfork.entry.controllers import _feed_sources
from bramleyfork.entry.decisions import feed_times
from bramleyfork.entry.decisions import sources

_LOG = logging.getLogger(__name__)

# Interval at which a starting host looks for a host to list the feed from.
_JOIN_CHECK_INTERVAL_S = 0.05
# Number of consecutive failures up to which another source is tried at once.
_MAX_IMMEDIATE_RETRIES = 4
_LIST_TIMEOUT_S = 2.0  # Time limit of one page of a listing.


@components.register(
    components.CONTROLLERS,
    "feed",
    reads=("feed_results", "peer_feed_results"),
    passive_reads=("members",),
    writes=(*_feed_content.WRITTEN_SECTIONS, "feed_reads", "feed_state"),
)
class Feed(components.Component):
    """Lists the feed, watches it for changes and applies its content."""

    __slots__ = (
        "_random",
        "_number",
        "_pending_read",
        "_revision",
        "_era",
        "_listing",
        "_is_listing",
        "_listings_in_row",
        "_comparison",
        "_is_listed",
        "_read_at",
        "_backoff_s",
        "_is_lost",
        "_synced_at",
        "_source",
        "_sources",
        "_is_current",
        "_needs_fresh_listing",
        "_content",
        "_failures",
        "_store_failures",
        "_hops",
        "_unsettled_at",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._random = random.Random(self.context.incarnation)
        self._number = 0
        self._pending_read: int | None = None
        self._revision = 0
        self._era = 0
        self._listing = _feed_listing.Listing()
        self._is_listing = True
        # Listings since the last successful watch.
        self._listings_in_row = 0
        self._comparison = _feed_comparison.Comparison()
        self._is_listed = False
        self._read_at = 0.0
        self._backoff_s = feed_times.BACKOFF_MIN_S
        self._is_lost = False
        self._synced_at = 0.0
        self._source = sources.STORE
        self._sources = _feed_sources.FeedSources(
            settings=self.context.settings, members=self.get_table("members")
        )
        self._is_current = False
        self._needs_fresh_listing = False
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
        self._unsettled_at = 0.0
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Applies results of reads, then starts the next read when due."""
        self._now = self._content.now = now
        results = self.read_new_records("feed_results") + self.read_new_records(
            "peer_feed_results"
        )
        for result in results:
            if result.number == self._pending_read:
                self._pending_read = None
                self._handle_result(result)
        self._content.remove_expired()
        if self._pending_read is None and now >= self._read_at:
            self._read()
        times = self._content.list_removal_times()
        if self._pending_read is None:
            times.append(self._read_at)
        return min(times, default=None)

    def _read(self) -> None:
        if not self._listing.after_key:
            source = self._choose_source()
            if source is None:
                self._read_at = self._now + _JOIN_CHECK_INTERVAL_S
                return
            self._source = source
        self._number += 1
        self._pending_read = self._number
        address = self._sources.find_address(self._source)
        if self._is_listing or self._comparison.is_active:
            read = feeds.FeedRead(
                number=self._number,
                kind=feeds.LIST,
                after_key=self._listing.after_key,
                limit_s=_LIST_TIMEOUT_S,
                source=address,
                is_fresh=self._needs_fresh_listing,
            )
        else:
            wait_s, limit_s = self._compute_watch_times(address)
            read = feeds.FeedRead(
                number=self._number,
                kind=feeds.WATCH,
                after_revision=self._revision,
                after_era=self._era,
                wait_s=wait_s,
                limit_s=limit_s,
                source=address,
            )
        self.context.metrics.count("feed_reads", read.kind)
        self.get_writer("feed_reads").append(read)

    def _choose_source(self) -> str | None:
        """Returns the source of the next read; None to wait for one."""
        host = None
        if not self._is_listing:
            host = self._comparison.choose_host(
                self._sources.find_host(self._now), self._now
            )
        if host is not None:
            return host
        return self._sources.choose_at_start(
            self._now, is_listed=self._synced_at > 0.0
        )

    def _compute_watch_times(
        self, address: tuple[str, int] | None
    ) -> tuple[float, float]:
        """Returns the wait of a watch and its time limit, both in seconds."""
        return feed_times.compute_watch_times(
            is_store=address is None,
            store_failures=self._store_failures,
            is_current=self._is_current,
        )

    def _compute_batch_delay(self) -> float:
        return feed_times.compute_batch_delay(
            is_store=self._source == sources.STORE,
            settled_s=self._now - self._unsettled_at,
            reads_for_others=self._sources.reads_for_others(),
        )

    # Results.

    def _handle_result(self, result: feeds.FeedResult) -> None:
        if result.status == feeds.GONE:
            _LOG.info(
                "feed history is gone; listing the feed again",
                extra={"detail": result.detail},
            )
            # A stale listing may be older than the history that the source
            # keeps, and a watch can't continue from it.
            self._list_again()
            return
        if self._comparison.is_active:
            self._compare(result)
            return
        if result.status == feeds.OK and result.era < self._era:
            # A late answer, or a host that hasn't heard of the new era.
            result = result.replace(status=feeds.REFUSED, detail="older era")
        if result.status != feeds.OK:
            self._handle_failure(result)
            return
        if not self._is_listing and result.era > self._era:
            self._begin_era(result.era)
            return
        self._handle_success(result)
        if result.lapse_s:
            self._content.removal_grace_until = max(
                self._content.removal_grace_until, self._now + result.lapse_s
            )
        if self._is_listing:
            self._handle_page(result)
            return
        self._is_current = True
        self._needs_fresh_listing = False
        self._listings_in_row = 0
        for change in result.changes:
            self._content.apply(change)
        if result.changes:
            self._read_at = self._now + self._compute_batch_delay()
        self._advance(result.revision)

    def _begin_era(self, era: int) -> None:
        """Lists the feed anew, as revisions of two eras are in no order."""
        _LOG.warning(
            "store came back from an older copy; listing the feed again",
            extra={
                "era": era,
                "known_era": self._era,
                "known_revision": self._revision,
                "source": self._source or "store",
            },
        )
        self.context.metrics.count("feed_eras_begun")
        self._list_again()

    def _list_again(self) -> None:
        """Lists the feed anew; the targets that are missing then may be back.

        Listings that follow each other without a successful watch between them
        have growing pauses.
        """
        self._content.start_removal_grace()
        self._needs_fresh_listing = True
        self._start_listing()

    def _start_listing(self) -> None:
        self._is_listing = True
        self._listing = _feed_listing.Listing()
        self._listings_in_row += 1
        pause_s = feed_times.compute_listing_pause(self._listings_in_row)
        if pause_s:
            self._read_at = self._now + pause_s * (0.5 + self._random.random())

    def _handle_page(self, result: feeds.FeedResult) -> None:
        listing = self._listing
        if not listing.add(result):
            return
        if listing.is_mixed or listing.position < (self._era, self._revision):
            self._reject_listing()
            return
        era, revision = listing.position
        is_first = not self._is_listed
        self._content.apply_listing(listing.changes, listing.position)
        self._is_listing = False
        self._listing = _feed_listing.Listing()
        self._is_current = False
        self._unsettled_at = self._now
        self._era, self._revision = listing.position
        _LOG.info(
            "feed listed",
            extra={
                "entries": len(listing.changes),
                "era": era,
                "revision": revision,
                "source": self._source or "store",
            },
        )
        if is_first and era and self._source == sources.STORE:
            self._comparison.start(self._now)
        self._is_listed = True

    def _reject_listing(self) -> None:
        """Discards a listing that is older than what is already known.

        The removals made since then are not repeated by the following watch,
        so entries that have been removed would stay. One whose pages are of
        different eras is discarded, too.
        """
        _LOG.warning(
            "feed listing discarded: it is older than the known feed",
            extra={
                "source": self._source or "store",
                "era": self._listing.position[0],
                "revision": self._listing.position[1],
                "is_mixed": self._listing.is_mixed,
                "known_era": self._era,
                "known_revision": self._revision,
            },
        )
        self._needs_fresh_listing = True
        if self._source != sources.STORE:
            self._sources.avoid(self._source, self._now)
        self._start_listing()

    def _compare(self, result: feeds.FeedResult) -> None:
        """Takes over the route table of another host if it is newer."""
        self._read_at = self._now
        if result.status != feeds.OK:
            self._comparison.stop()
            self._listing = _feed_listing.Listing()
            return
        if not self._listing.add(result):
            return
        self._content.apply_routes_of_host(self._listing.changes)
        self._comparison.stop()
        self._listing = _feed_listing.Listing()

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
                era=self._era,
            ),
        )

    def _handle_success(self, result: feeds.FeedResult) -> None:
        self._synced_at = max(self._synced_at, self._now - result.age_s)
        self._failures = 0
        self._hops = result.hops + 1
        if self._source == sources.STORE:
            self._hops = 0
            self._store_failures = 0
        self._backoff_s = feed_times.BACKOFF_MIN_S
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

    def _handle_failure(self, result: feeds.FeedResult) -> None:
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
            self._start_listing()
        if self._source == sources.STORE:
            self._store_failures += 1
            self._content.start_removal_grace()
        self._failures += 1
        self._unsettled_at = self._now
        self._hops = feeds.UNREACHABLE_HOPS
        if self.get_table("feed_state").get("current") is not None:
            # Hosts that read from this one switch to another source at once.
            self._put_state()
        may_retry_now = self._failures <= _MAX_IMMEDIATE_RETRIES
        if may_retry_now and self._sources.has_another(self._now):
            self._read_at = self._now
            return
        if not self._is_lost:
            self._is_lost = True
            self._put_state()
        delay_s = self._backoff_s * (0.5 + self._random.random())
        self._read_at = self._now + delay_s
        limit_s = (
            feed_times.BACKOFF_MAX_S
            if self._synced_at
            else feed_times.FIRST_BACKOFF_MAX_S
        )
        self._backoff_s = min(limit_s, 2 * self._backoff_s)
