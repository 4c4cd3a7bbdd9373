"""Records of the feed that operators and targets are read from."""

from bramleyfork.core import records
from bramleyfork.entry import declarations

LIST = "list"
WATCH = "watch"

OK = "ok"
GONE = "gone"  # The history asked for is no longer kept.
REFUSED = "refused"  # The source turned the read away.
LOST = "lost"  # No whole reply came.

# Hosts between a host and the store when its last read failed.
UNREACHABLE_HOPS = 99


class FeedRead(records.Record):
    """A read that is to be made.

    Attributes:
      number: Identifies the read.
      kind: LIST or WATCH.
      after_key: LIST: where the next page begins; empty for the first.
      after_revision: WATCH: revision after which changes are wanted.
      wait_s: WATCH: longest time to wait for a change.
      limit_s: When the read counts as lost.
      source: Address of the host that is asked; None for the store.
      is_fresh: LIST: whether entries may not be older than the read.
    """

    __slots__ = (
        "number",
        "kind",
        "after_key",
        "after_revision",
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
        wait_s: float = 0.0,
        source: tuple[str, int] | None = None,
        is_fresh: bool = False,
    ):
        self.number = number
        self.kind = kind
        self.after_key = after_key
        self.after_revision = after_revision
        self.wait_s = wait_s
        self.limit_s = limit_s
        self.source = source
        self.is_fresh = is_fresh


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
    """

    __slots__ = ("key", "revision", "subject", "name", "content", "is_removed")

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
    ):
        self.key = key
        self.revision = revision
        self.subject = subject
        self.name = name
        self.content = content
        self.is_removed = is_removed


class FeedResult(records.Record):
    """What came of a read.

    Attributes:
      number: Number of the read.
      status: OK, GONE, REFUSED or LOST.
      revision: Revision of the feed at the read.
      changes: What was read.
      next_key: LIST: key after which the next page begins; None at the end.
      detail: Cause of a failure, for the log.
      lapse_s: Seconds for which the source takes removals for lapses.
      age_s: Seconds since the source itself heard from the store.
      hops: Hosts between the source and the store.
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


class FeedState(records.Record):
    """How current the feed is.

    Attributes:
      revision: Revision up to which changes are known.
      compact_revision: Revision after which removals are still known.
      synced_at: Monotonic time of the last good read.
      is_lost: Whether no source answers.
      removal_grace_until: Monotonic time until which removals count as lapses.
      hops: Hosts between this one and the store; UNREACHABLE_HOPS if the last
        read failed.
      hop_limit: Hosts between the store and one that tells others.
    """

    __slots__ = (
        "revision",
        "compact_revision",
        "synced_at",
        "is_lost",
        "removal_grace_until",
        "hops",
        "hop_limit",
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
    ):
        self.revision = revision
        self.compact_revision = compact_revision
        self.synced_at = synced_at
        self.is_lost = is_lost
        self.removal_grace_until = removal_grace_until
        self.hops = hops
        self.hop_limit = hop_limit

    @property
    def exceeds_hop_limit(self) -> bool:
        """Whether the host is too far from the store to tell others."""
        return self.hops > self.hop_limit
