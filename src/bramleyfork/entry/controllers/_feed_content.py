"""Applies the entries of the feed: route table, targets and evacuations."""

import collections
import logging
import typing

from bramleyfork.core import blackboard
from bramleyfork.entry import feeds
from bramleyfork.entry.decisions import eras

_LOG = logging.getLogger("bramleyfork.entry.controllers.feed")

# Maximum number of removals kept for hosts that read the feed from this one.
_MAX_KEPT_REMOVALS = 1000
# Grace period of removals after an outage of the source. Targets whose entries
# expired during the outage are listed again within about two seconds of its
# end.
_REMOVAL_GRACE_S = 2.5
_ROUTES_KEY = "routes:"
# Sections that FeedContent writes.
WRITTEN_SECTIONS = (
    "feed_entries",
    "route_table",
    "listed_targets",
    "evacuations",
)


class FeedContent:
    """Applies changes to the sections that hold the feed's content.

    Args:
      writers: Writers of the sections in WRITTEN_SECTIONS.
      tables: Tables of these sections.

    Attributes:
      now: Monotonic time of the current step, in seconds.
      compact_revision: Revision after which all removals are kept.
      removal_grace_until: Monotonic time until which the removal of a target
        is taken for an expiry caused by an outage, and is delayed.
    """

    __slots__ = (
        "now",
        "compact_revision",
        "removal_grace_until",
        "_writers",
        "_tables",
        "_positions",
        "_removals",
        "_removal_times",
        "_era",
        "_deferred",
    )

    def __init__(
        self,
        *,
        writers: dict[str, typing.Any],
        tables: dict[str, blackboard.Table],
    ):
        self.now = 0.0
        self.compact_revision = 0
        self.removal_grace_until = 0.0
        self._writers = writers
        self._tables = tables
        self._positions: dict[str, feeds.Position] = {}
        self._removals: collections.deque[tuple[feeds.Position, str]] = (
            collections.deque()
        )
        self._removal_times: dict[str, float] = {}
        self._era = 0
        # Changes that an older copy of the store shows, and the monotonic time
        # at which they take effect, by key.
        self._deferred: dict[str, tuple[float, feeds.Change]] = {}

    def start_removal_grace(self) -> None:
        """Starts the grace period of removals after an outage of the source."""
        self.removal_grace_until = self.now + _REMOVAL_GRACE_S

    def list_removal_times(self) -> list[float]:
        """Returns the monotonic times at which delayed removals are due."""
        return [
            *self._removal_times.values(),
            *(due for due, _ in self._deferred.values()),
        ]

    def apply_listing(
        self,
        changes: list[feeds.Change],
        position: feeds.Position,
    ) -> None:
        """Applies a complete listing.

        The first listing of a new era shows an older copy of the store. What
        it contradicts keeps its effect until it is written again, or for a
        time.

        Args:
          changes: Its entries.
          position: Position of its oldest page.
        """
        era, revision = position
        is_copy = era > self._era
        if is_copy:
            # Removals of earlier eras are in no order with this one's.
            self.compact_revision = revision
        self._era = era
        for change in changes:
            self.apply(change, is_copy=is_copy)
        self.remove_unlisted(
            {change.key for change in changes}, position, is_copy=is_copy
        )
        # A listing doesn't contain the removals made before it.
        self.compact_revision = max(self.compact_revision, revision)

    def remove_unlisted(
        self,
        listed: set[str],
        position: feeds.Position,
        *,
        is_copy: bool = False,
    ) -> None:
        """Removes entries that a complete listing doesn't contain.

        Args:
          listed: Keys of the listing.
          position: Position of its oldest page.
          is_copy: Whether it is the first listing of a new era.
        """
        for key in [key for key in self._positions if key not in listed]:
            # An entry written after that position may not be in the listing.
            if self._positions[key] > position:
                continue
            subject, _, name = key.partition(":")
            self.apply(
                feeds.Change(
                    key=key,
                    revision=position[1],
                    subject=subject,
                    name=name,
                    is_removed=True,
                    era=position[0],
                ),
                is_copy=is_copy,
            )

    def apply(self, change: feeds.Change, *, is_copy: bool = False) -> None:
        """Applies a change unless a newer one of the same entry is known.

        Removals are known as long as they are kept for other hosts, so that a
        listing that is older than a removal does not bring the entry back.

        Args:
          change: The change.
          is_copy: Whether it is of the first listing of a new era.
        """
        entry = self._tables["feed_entries"].get(change.key)
        known = entry.position if entry is not None else (0, 0)
        if change.position < known:
            return
        if change.position == known and not change.is_removed:
            return
        change = self._keep_newer_routes(change)
        self._positions[change.key] = change.position
        if is_copy:
            self._apply_copy(change, entry)
        else:
            self._deferred.pop(change.key, None)
            self._take_effect(change)
        self._writers["feed_entries"].put(change.key, change)
        if change.is_removed:
            del self._positions[change.key]
            self._removals.append((change.position, change.key))
            self._trim_removals()

    def _apply_copy(
        self, change: feeds.Change, entry: feeds.Change | None
    ) -> None:
        """Applies an entry of an older copy, or defers its effect."""
        if change.key in self._deferred:
            due, _ = self._deferred[change.key]
            self._deferred[change.key] = due, change
            return
        delay_s = eras.find_delay(entry, change)
        if delay_s is None:
            self._take_effect(change)
            return
        self._deferred[change.key] = self.now + delay_s, change
        _LOG.info(
            "entry of an older copy deferred",
            extra={
                "key": change.key,
                "era": change.era,
                "revision": change.revision,
                "is_removed": change.is_removed,
                "for_s": delay_s,
            },
        )

    def _keep_newer_routes(self, change: feeds.Change) -> feeds.Change:
        """Returns a change whose route table isn't older than the known one.

        Versions only rise, so an older one comes from an older copy of the
        store. Hosts that read the feed from this one get the newer table, too.
        """
        known = self._tables["route_table"].get("current")
        if change.subject != "routes" or known is None:
            return change
        if change.content is None or change.content.version >= known.version:
            return change
        _LOG.warning(
            "older route table ignored",
            extra={
                "version": change.content.version,
                "known_version": known.version,
                "era": change.era,
                "revision": change.revision,
            },
        )
        return change.replace(content=known)

    def apply_routes_of_host(self, changes: list[feeds.Change]) -> None:
        """Takes over the route table of another host if it is newer.

        Args:
          changes: The feed of that host.
        """
        known = self._tables["route_table"].get("current")
        entry = self._tables["feed_entries"].get(_ROUTES_KEY)
        for change in changes:
            if change.key != _ROUTES_KEY or change.content is None:
                continue
            if known is not None and change.content.version <= known.version:
                continue
            position = max(change.position, entry.position if entry else (0, 0))
            newer = change.replace(era=position[0], revision=position[1])
            self._take_effect(newer)
            self._positions[newer.key] = newer.position
            self._writers["feed_entries"].put(newer.key, newer)

    def _take_effect(self, change: feeds.Change) -> None:
        if change.subject == "routes":
            self._apply_routes(change)
        elif change.subject == "target":
            self._apply_target(change)
        elif change.subject == "evacuation":
            self._apply_evacuation(change)

    def _trim_removals(self) -> None:
        """Drops the oldest removals, which only slow readers still need."""
        while len(self._removals) > _MAX_KEPT_REMOVALS:
            position, key = self._removals.popleft()
            entry = self._tables["feed_entries"].get(key)
            if entry is not None and entry.position == position:
                self._writers["feed_entries"].remove(key)
            era, revision = position
            if era == self._era:
                self.compact_revision = max(self.compact_revision, revision)

    def _apply_routes(self, change: feeds.Change) -> None:
        if change.content is None:
            _LOG.error(
                "route table is unreadable; the previous one stays in force",
                extra={"revision": change.revision},
            )
            return
        self._writers["route_table"].put("current", change.content)
        _LOG.info(
            "route table in force",
            extra={
                "version": change.content.version,
                "revision": change.revision,
            },
        )

    def _apply_target(self, change: feeds.Change) -> None:
        name = change.name
        known = self._tables["listed_targets"].get(name)
        if change.content is not None:
            self._removal_times.pop(name, None)
            self._writers["listed_targets"].put(name, change.content)
            if known is None or known.is_draining != change.content.is_draining:
                self._log_target(
                    change,
                    "draining" if change.content.is_draining else "listed",
                )
            return
        if known is None:
            return
        if change.is_removed and self._is_in_removal_grace(known):
            self._removal_times.setdefault(name, self.now + _REMOVAL_GRACE_S)
            self._log_target(change, "lapsed")
            return
        self._writers["listed_targets"].remove(name)
        self._log_target(
            change, "removed" if change.is_removed else "unreadable"
        )

    def _apply_evacuation(self, change: feeds.Change) -> None:
        if change.is_removed:
            self._writers["evacuations"].remove(change.name)
        else:
            self._writers["evacuations"].put(change.name, change.revision)
        _LOG.info(
            "evacuation",
            extra={
                "data_centre": change.name,
                "is_out": not change.is_removed,
                "revision": change.revision,
            },
        )

    def _log_target(self, change: feeds.Change, state: str) -> None:
        _LOG.info(
            "target",
            extra={
                "target": change.name,
                "state": state,
                "revision": change.revision,
            },
        )

    # Delayed removals.

    def _is_in_removal_grace(self, known) -> bool:
        """Returns whether a removal may be an expiry caused by an outage."""
        return not known.is_draining and self.now < self.removal_grace_until

    def remove_expired(self) -> None:
        """Removes targets that were not listed again in the grace period.

        Entries of an older copy that were deferred take effect.
        """
        for key, (due, change) in list(self._deferred.items()):
            if due <= self.now:
                del self._deferred[key]
                self._take_effect(change)
        for name in [
            n for n, at in self._removal_times.items() if at <= self.now
        ]:
            del self._removal_times[name]
            self._writers["listed_targets"].remove(name)
            _LOG.info("target", extra={"target": name, "state": "removed"})
