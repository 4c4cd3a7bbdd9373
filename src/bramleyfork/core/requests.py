"""Records of the request path.

Times named ``deadline`` or ``_at`` are seconds on the monotonic clock of the
process that holds the record; they never travel between hosts.
"""

from bramleyfork.core import ranges
from bramleyfork.core import records


class Snapshot(records.Record):
    """Versions that a whole answer is read at; ordered, newest largest.

    Attributes:
      index_version: Version of the index.
      map_version: Version of the shard map.
    """

    __slots__ = (
        "index_version",
        "map_version",
    )

    def __init__(
        self,
        *,
        index_version: int,
        map_version: int,
    ):
        self.index_version = index_version
        self.map_version = map_version

    def __lt__(self, other: "Snapshot") -> bool:
        return (self.index_version, self.map_version) < (
            other.index_version,
            other.map_version,
        )


class Holding(records.Record):
    """A key range that a target can serve at a snapshot.

    Attributes:
      snapshot: Versions it is served at.
      key_range: Keys held at that snapshot.
    """

    __slots__ = (
        "snapshot",
        "key_range",
    )

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        key_range: ranges.KeyRange,
    ):
        self.snapshot = snapshot
        self.key_range = key_range


class TargetReport(records.Record):
    """What a target says of itself in a reply.

    Attributes:
      epoch: Incarnation of the target's process.
      state: "cold", "warm" or "leaving".
      load: Busy slots plus waiting requests, per slot.
      holdings: What it can serve.
    """

    __slots__ = (
        "epoch",
        "state",
        "load",
        "holdings",
    )

    def __init__(
        self,
        *,
        epoch: str,
        state: str,
        load: float,
        holdings: tuple[Holding, ...],
    ):
        self.epoch = epoch
        self.state = state
        self.load = load
        self.holdings = holdings


class Query(records.Record):
    """A caller's request as it arrived.

    Attributes:
      query_id: Unique within the process.
      lookup: Name of the declared lookup.
      key: The key of a keyed lookup, else None.
      parameters: Opaque parameters passed to the targets.
      deadline: When the caller stops waiting, seconds.
      received_at: When it arrived, seconds.
      caller: Name or address of the caller.
      ticket: Ticket of a request that is not idempotent.
    """

    __slots__ = (
        "query_id",
        "lookup",
        "key",
        "parameters",
        "deadline",
        "received_at",
        "caller",
        "ticket",
    )

    def __init__(
        self,
        *,
        query_id: str,
        lookup: str,
        key: int | None,
        parameters: str,
        deadline: float,
        received_at: float,
        caller: str,
        ticket: str | None = None,
    ):
        self.query_id = query_id
        self.lookup = lookup
        self.key = key
        self.parameters = parameters
        self.deadline = deadline
        self.received_at = received_at
        self.caller = caller
        self.ticket = ticket


class SubRequest(records.Record):
    """One attempt to read or write one segment at one target.

    Attributes:
      attempt_id: Unique in the fleet; echoed in every reply.
      query_id: The query it is part of.
      router: Host that waits for the reply.
      owner: Host that sends it to the target.
      target: Name of the target.
      service: Name of the service.
      lookup: Name of the lookup.
      key_range: Segment that is asked for.
      snapshot: Versions to read at.
      parameters: Opaque parameters.
      urgent: Whether it goes before ordinary requests.
      idempotent: Whether running it twice is harmless.
      deadline: When its reply is of no use, seconds.
      fingerprint: Hash of what is asked, the same for repeats.
      exclusive: Whether it must run alone on its target.
    """

    __slots__ = (
        "attempt_id",
        "query_id",
        "router",
        "owner",
        "target",
        "service",
        "lookup",
        "key_range",
        "snapshot",
        "parameters",
        "urgent",
        "idempotent",
        "deadline",
        "fingerprint",
        "exclusive",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        query_id: str,
        router: str,
        owner: str,
        target: str,
        service: str,
        lookup: str,
        key_range: ranges.KeyRange,
        snapshot: Snapshot,
        parameters: str,
        urgent: bool,
        idempotent: bool,
        deadline: float,
        fingerprint: str,
        exclusive: bool,
    ):
        self.attempt_id = attempt_id
        self.query_id = query_id
        self.router = router
        self.owner = owner
        self.target = target
        self.service = service
        self.lookup = lookup
        self.key_range = key_range
        self.snapshot = snapshot
        self.parameters = parameters
        self.urgent = urgent
        self.idempotent = idempotent
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.exclusive = exclusive


class Cancel(records.Record):
    """The reply to an attempt is no longer wanted.

    Attributes:
      attempt_id: The attempt to cancel.
      owner: Host that holds the attempt.
    """

    __slots__ = (
        "attempt_id",
        "owner",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        owner: str,
    ):
        self.attempt_id = attempt_id
        self.owner = owner
