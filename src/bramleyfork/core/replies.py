"""Records of attempts, their results, and the answers built from them."""

from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts

# Outcomes of an attempt. Only "ok" comes with records. "died" means that the
# target's process ended before its reply was complete.
REPLY_CODES = (
    "ok",
    "wrong_snapshot",  # The target does not serve that snapshot or segment.
    "shed",  # The target refused the request because of overload.
    "leaving",  # The target is draining.
    "connect_failed",
    "died",
    "timeout",
    "cancelled",
    "expired",  # The deadline passed before the send.
    "no_lease",  # The host holds no control lease to start work on targets.
    "queue_full",
    "no_share",  # The host has no share of the target's capacity.
    "target_out",
    "quarantined",
    "owner_lost",
    # The reply has another attempt id, segment or snapshot than requested, is
    # truncated or lost though the target has not ended, or can't be decoded.
    "bad_reply",
    "rejected",  # The target rejected the request as invalid.
)


class Answer(records.Record):
    """The answer to a caller's query.

    Attributes:
      query_id: Query that is answered.
      verdict: Whether the request may have run.
      code: "ok", "partial" or the reason for a refusal.
      snapshot: Snapshot that all records of the answer were read at.
      coverage: Fraction of the requested keys that was read, 0 to 1.
      missing: Service and key range of each segment that was not read.
      records: Records read, each as service, key and value.
      detail: Human-readable explanation.
      retry_after_ms: Delay before a retry in milliseconds, if refused.
      hosts: Alternative hosts, as address:port.
    """

    __slots__ = (
        "query_id",
        "verdict",
        "code",
        "snapshot",
        "coverage",
        "missing",
        "records",
        "detail",
        "retry_after_ms",
        "hosts",
    )

    def __init__(
        self,
        *,
        query_id: str,
        verdict: verdicts.Verdict,
        code: str,
        snapshot: requests.Snapshot | None,
        coverage: float,
        missing: tuple[tuple[str, ranges.KeyRange], ...],
        records: tuple[tuple[str, int, object], ...],
        detail: str = "",
        retry_after_ms: int | None = None,
        hosts: tuple[str, ...] = (),
    ):
        self.query_id = query_id
        self.verdict = verdict
        self.code = code
        self.snapshot = snapshot
        self.coverage = coverage
        self.missing = missing
        self.records = records
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.hosts = hosts


class SubReply(records.Record):
    """Outcome of a sub-request, sent from the owner to the router.

    Attributes:
      attempt_id: Attempt that is answered.
      query_id: Query of the attempt.
      router: Host that waits for this reply.
      owner: Host that sent the attempt to the target.
      target: Name of the target.
      verdict: Whether the attempt may have run.
      code: One of REPLY_CODES.
      key_range: Segment that the target read.
      snapshot: Snapshot that the target read at.
      records: Records read, each as key and value.
      report: State that the target reported in its reply.
      queue_length: Sub-requests queued at the owner for the target.
      service_time_s: Time from sending the attempt to its result, seconds.
      retry_after_ms: Delay before a retry in milliseconds, if refused.
      detail: Human-readable explanation.
    """

    __slots__ = (
        "attempt_id",
        "query_id",
        "router",
        "owner",
        "target",
        "verdict",
        "code",
        "key_range",
        "snapshot",
        "records",
        "report",
        "queue_length",
        "service_time_s",
        "retry_after_ms",
        "detail",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        query_id: str,
        router: str,
        owner: str,
        target: str,
        verdict: verdicts.Verdict,
        code: str,
        key_range: ranges.KeyRange | None,
        snapshot: requests.Snapshot | None,
        records: tuple[tuple[int, object], ...] = (),
        report: requests.TargetReport | None = None,
        queue_length: int = 0,
        service_time_s: float = 0.0,
        retry_after_ms: int | None = None,
        detail: str = "",
    ):
        self.attempt_id = attempt_id
        self.query_id = query_id
        self.router = router
        self.owner = owner
        self.target = target
        self.verdict = verdict
        self.code = code
        self.key_range = key_range
        self.snapshot = snapshot
        self.records = records
        self.report = report
        self.queue_length = queue_length
        self.service_time_s = service_time_s
        self.retry_after_ms = retry_after_ms
        self.detail = detail


class Attempt(records.Record):
    """Instructs the target transport to send or cancel one request.

    Attributes:
      attempt_id: Attempt to send or cancel.
      address: address:port of the target.
      connection_limit: Largest number of connections from this host to the
        target.
      request: Request to send.
      is_cancellation: Whether to cancel the attempt instead of sending it.
    """

    __slots__ = (
        "attempt_id",
        "address",
        "connection_limit",
        "request",
        "is_cancellation",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        address: str,
        connection_limit: int,
        request: requests.SubRequest,
        is_cancellation: bool = False,
    ):
        self.attempt_id = attempt_id
        self.address = address
        self.connection_limit = connection_limit
        self.request = request
        self.is_cancellation = is_cancellation


class AttemptResult(records.Record):
    """Result of an attempt, reported by the target transport.

    Attributes:
      attempt_id: The attempt.
      target: Name of the target.
      verdict: Whether the attempt may have run.
      code: One of REPLY_CODES.
      elapsed_s: Time from sending to the result, seconds.
      key_range: Segment that the target read.
      snapshot: Snapshot that the target read at.
      records: Records read, each as key and value.
      report: State that the target reported in its reply.
      retry_after_ms: Delay before a retry in milliseconds, if refused.
      detail: Human-readable explanation.
    """

    __slots__ = (
        "attempt_id",
        "target",
        "verdict",
        "code",
        "elapsed_s",
        "key_range",
        "snapshot",
        "records",
        "report",
        "retry_after_ms",
        "detail",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        target: str,
        verdict: verdicts.Verdict,
        code: str,
        elapsed_s: float,
        key_range: ranges.KeyRange | None = None,
        snapshot: requests.Snapshot | None = None,
        records: tuple[tuple[int, object], ...] = (),
        report: requests.TargetReport | None = None,
        retry_after_ms: int | None = None,
        detail: str = "",
    ):
        self.attempt_id = attempt_id
        self.target = target
        self.verdict = verdict
        self.code = code
        self.elapsed_s = elapsed_s
        self.key_range = key_range
        self.snapshot = snapshot
        self.records = records
        self.report = report
        self.retry_after_ms = retry_after_ms
        self.detail = detail
