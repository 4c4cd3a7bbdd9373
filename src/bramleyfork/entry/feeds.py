"""Records of the feed, from which a host reads routes, targets and evacuations.

A host lists the feed page by page once, then watches it for changes.
"""

from bramleyfork.core import records
from bramleyfork.entry import declarations

LIST = "list"
WATCH = "watch"

OK = "ok"
GONE = "gone"  # The requested history is no longer kept.
REFUSED = "refused"  # The source refused the read.
LOST = "lost"  # No complete reply was received.

# Era and revision. The store begins a new era when it comes back from an older
# copy: revisions go back then, and the era rises. Tuples compare in this order.
Position = tuple[int, int]

# Hops of a host whose last read failed; more than any hop limit.
UNREACHABLE_HOPS = 99


class FeedRead(records.Record):
    """A read that is to be made.

    Attributes:
      number: Identifies the read.
      kind: LIST or WATCH.
      after_key: LIST: key after which the page begins; empty for the first.
      after_revision: WATCH: revision after which changes are returned.
      after_era: WATCH: era of that revision.
      wait_s: WATCH: maximum time in seconds to wait for a change.
      limit_s: Timeout in seconds, after which the read counts as lost.
      source: Address of the host to read from; None for the store.
      is_fresh: LIST: whether the entries must not be older than the read.
    """

    __slots__ = (
        "number",
        "kind",
        "after_key",
        "after_revision",
        "after_era",
        "wait_s",
        "limit_s",
        "source",
        "is_fresh",
    )

    def __init__(
        self,
        *,
        number: int,
        kind: str,
        limit_s: float,
        after_key: str = "",
        after_revision: int = 0,
        after_era: int = 0,
        wait_s: float = 0.0,
        source: tuple[str, int] | None = None,
        is_fresh: bool = False,
    ):
        self.number = number
        self.kind = kind
        self.after_key = after_key
        self.after_revision = after_revision
        self.after_era = after_era
        self.wait_s = wait_s
        self.limit_s = limit_s
        self.source = source
        self.is_fresh = is_fresh

    @property
    def after(self) -> Position:
        """Position after which a watch returns changes."""
        return self.after_era, self.after_revision


class Change(records.Record):
    """The current state of one entry of the feed.

    Attributes:
      key: Key of the entry.
      revision: Revision of its last change.
      subject: What it is about: "routes", "target", "evacuation" or "other".
      name: Id of the target or name of the data centre.
      content: RouteTable or ListedTarget; None if the entry was removed or
        can't be read.
      is_removed: Whether the entry was removed.
      era: Era of the store in which the entry was read.
    """

    __slots__ = (
        "key",
        "revision",
        "subject",
        "name",
        "content",
        "is_removed",
        "era",
    )

    def __init__(
        self,
        *,
        key: str,
        revision: int,
        subject: str,
        name: str = "",
        content: declarations.RouteTable
        | declarations.ListedTarget
        | None = None,
        is_removed: bool = False,
        era: int = 0,
    ):
        self.key = key
        self.revision = revision
        self.subject = subject
        self.name = name
        self.content = content
        self.is_removed = is_removed
        self.era = era

    @property
    def position(self) -> Position:
        """Its place in the order of the changes of an entry."""
        return self.era, self.revision


class FeedResult(records.Record):
    """Result of a read.

    Attributes:
      number: Number of the read.
      status: OK, GONE, REFUSED or LOST.
      revision: Revision of the feed at the read.
      changes: Entries or changes that were read.
      next_key: LIST: key after which the next page begins; None at the end.
      detail: Cause of a failure, for the log.
      lapse_s: Seconds for which the source still delays removals, as entries
        may have expired because the store was unavailable (removal grace).
      age_s: Seconds since the source was last in sync with the store.
      hops: Number of hosts between the source and the store.
      era: Era of the store at the read.
    """

    __slots__ = (
        "number",
        "status",
        "revision",
        "changes",
        "next_key",
        "detail",
        "lapse_s",
        "age_s",
        "hops",
        "era",
    )

    def __init__(
        self,
        *,
        number: int,
        status: str,
        revision: int = 0,
        changes: tuple[Change, ...] = (),
        next_key: str | None = None,
        detail: str = "",
        lapse_s: float = 0.0,
        age_s: float = 0.0,
        hops: int = 0,
        era: int = 0,
    ):
        self.number = number
        self.status = status
        self.revision = revision
        self.changes = changes
        self.next_key = next_key
        self.detail = detail
        self.lapse_s = lapse_s
        self.age_s = age_s
        self.hops = hops
        self.era = era


class FeedState(records.Record):
    """How current this host's copy of the feed is.

    Attributes:
      revision: Revision up to which changes are known.
      compact_revision: Revision after which removals are still known.
      synced_at: Monotonic time at which the copy was last in sync with the
        store, by the last successful read.
      is_lost: Whether no source answers.
      removal_grace_until: Monotonic time until which removals are delayed, as
        entries may have expired because the store was unavailable (removal
        grace).
      hops: Number of hosts between this one and the store;
        ``UNREACHABLE_HOPS`` if the last read failed.
      hop_limit: Maximum number of hops with which a host serves the feed to
        others.
      era: Era of the store to which the revisions belong.
    """

    __slots__ = (
        "revision",
        "compact_revision",
        "synced_at",
        "is_lost",
        "removal_grace_until",
        "hops",
        "hop_limit",
        "era",
    )

    def __init__(
        self,
        *,
        revision: int,
        synced_at: float,
        is_lost: bool,
        compact_revision: int = 0,
        removal_grace_until: float = 0.0,
        hops: int = 0,
        hop_limit: int = 0,
        era: int = 0,
    ):
        self.revision = revision
        self.compact_revision = compact_revision
        self.synced_at = synced_at
        self.is_lost = is_lost
        self.removal_grace_until = removal_grace_until
        self.hops = hops
        self.hop_limit = hop_limit
        self.era = era

    @property
    def position(self) -> Position:
        """Position up to which changes are known."""
        return self.era, self.revision

    @property
    def compact_position(self) -> Position:
        """Position after which removals are still known."""
        return self.era, self.compact_revision

    @property
    def exceeds_hop_limit(self) -> bool:
        """Whether the host is too far from the store to serve the feed."""
        return self.hops > self.hop_limit
