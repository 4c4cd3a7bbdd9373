"""Applies the entries of the feed: route table, targets and evacuations."""

import collections
import logging
import typing

from bramleyfork.core import blackboard
from bramleyfork.entry import feeds

_LOG = logging.getLogger("bramleyfork.entry.controllers.feed")

# Maximum number of removals kept for hosts that read the feed from this one.
_MAX_KEPT_REMOVALS = 1000
# Grace period of removals after an outage of the source. Targets whose entries
# expired during the outage are listed again within about two seconds of its
# end.
_REMOVAL_GRACE_S = 2.5
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
        "_revisions",
        "_removals",
        "_removal_times",
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
        self._revisions: dict[str, int] = {}
        self._removals: collections.deque[tuple[int, str]] = collections.deque()
        self._removal_times: dict[str, float] = {}

    def start_removal_grace(self) -> None:
        """Starts the grace period of removals after an outage of the source."""
        self.removal_grace_until = self.now + _REMOVAL_GRACE_S

    def list_removal_times(self) -> list[float]:
        """Returns the monotonic times at which delayed removals are due."""
        return list(self._removal_times.values())

    def remove_unlisted(self, listed: set[str], revision: int) -> None:
        """Removes entries that a complete listing doesn't contain.

        Args:
          listed: Keys of the listing.
          revision: Revision of its oldest page.
        """
        for key in [key for key in self._revisions if key not in listed]:
            # An entry written after that revision may not be in the listing.
            if self._revisions[key] > revision:
                continue
            subject, _, name = key.partition(":")
            self.apply(
                feeds.Change(
                    key=key,
                    revision=revision,
                    subject=subject,
                    name=name,
                    is_removed=True,
                )
            )

    def apply(self, change: feeds.Change) -> None:
        """Applies a change unless a newer one of the same entry is known.

        Removals are known as long as they are kept for other hosts, so that a
        listing that is older than a removal does not bring the entry back.
        """
        known = self._revisions.get(change.key, 0)
        if not known:
            removal = self._tables["feed_entries"].get(change.key)
            known = removal.revision if removal is not None else 0
        if change.revision < known:
            return
        if change.revision == known and not change.is_removed:
            return
        self._revisions[change.key] = change.revision
        if change.subject == "routes":
            self._apply_routes(change)
        elif change.subject == "target":
            self._apply_target(change)
        elif change.subject == "evacuation":
            self._apply_evacuation(change)
        self._writers["feed_entries"].put(change.key, change)
        if change.is_removed:
            del self._revisions[change.key]
            self._removals.append((change.revision, change.key))
            self._trim_removals()

    def _trim_removals(self) -> None:
        """Drops the oldest removals, which only slow readers still need."""
        while len(self._removals) > _MAX_KEPT_REMOVALS:
            revision, key = self._removals.popleft()
            entry = self._tables["feed_entries"].get(key)
            if entry is not None and entry.revision == revision:
                self._writers["feed_entries"].remove(key)
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
        """Removes targets that were not listed again in the grace period."""
        for name in [
            n for n, at in self._removal_times.items() if at <= self.now
        ]:
            del self._removal_times[name]
            self._writers["listed_targets"].remove(name)
            _LOG.info("target", extra={"target": name, "state": "removed"})
