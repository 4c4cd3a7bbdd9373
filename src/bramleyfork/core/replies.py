"""Records of the way back: attempts, their results and answers."""

from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts

# Outcomes of an attempt. Only "ok" carries records. "died" means that the
# connection broke after the request was sent and before a reply began.
REPLY_CODES = (
    "ok",
    "wrong_snapshot",  # The target does not serve that snapshot or segment.
    "shed",  # The target refused for load.
    "leaving",  # The target drains.
    "connect_failed",
    "died",
    "timeout",
    "cancelled",
    "expired",  # The deadline passed before the send.
    "no_lease",  # The host may not start work on targets.
    "queue_full",
    "no_share",  # The host has no share of the target.
    "target_out",
    "quarantined",
    "owner_lost",
    "bad_reply",  # Wrong attempt id, segment or snapshot; cut; not decodable.
    "rejected",  # The target found the request invalid.
)


class Answer(records.Record):
    """What a caller gets.

    Attributes:
      query_id: The query that is answered.
      verdict: Whether the request may have run.
      code: "ok", "partial" or the reason of a refusal.
      snapshot: Versions of every record in the answer.
      coverage: Covered share of the requested keys, 0 to 1.
      missing: Service and keys that were not read.
      records: Records read: service, key, value.
      detail: Explanation for people.
      retry_after_ms: When to come back, if refused.
      hosts: Other hosts to ask, as address:port.
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
    """The outcome of a sub-request, from owner to router.

    Attributes:
      attempt_id: Attempt that is answered.
      query_id: Query of the attempt.
      router: Host that waits for it.
      owner: Host that sent the attempt.
      target: Name of the target.
      verdict: Whether the attempt may have run.
      code: One of REPLY_CODES.
      key_range: Segment really read.
      snapshot: Versions really read.
      records: Key and value of each record.
      report: What the target said of itself.
      queue_length: Sub-requests the owner holds for the target.
      service_time_s: Time spent at the target, seconds.
      retry_after_ms: When to come back, if refused.
      detail: Explanation for people.
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
    """An order to the target transport to send one request.

    Attributes:
      attempt_id: Attempt to send.
      address: address:port of the target.
      connection_limit: Most connections this host may open to it.
      request: What to ask.
      is_cancellation: Whether this cancels the attempt instead.
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
    """What became of an attempt on the network.

    Attributes:
      attempt_id: The attempt.
      target: Name of the target.
      verdict: Whether it may have run.
      code: One of REPLY_CODES.
      elapsed_s: From send to result, seconds.
      key_range: Segment really read.
      snapshot: Versions really read.
      records: Key and value of each record.
      report: What the target said of itself.
      retry_after_ms: When to come back, if refused.
      detail: Explanation for people.
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
