"""Names of the header fields that an entry host reads and writes."""

from bramleyfork.core import records

_MAX_COUNT_DIGITS = 15  # So that a count is exact as a floating-point number.


def parse_count(value: bytes) -> int:
    """Returns the number that a header field of decimal digits holds.

    A number with too many digits counts as the largest one, as it can't be
    used in calculations with times.
    """
    digits = value.strip().lstrip(b"0") or b"0"
    if len(digits) > _MAX_COUNT_DIGITS:
        return 10**_MAX_COUNT_DIGITS - 1
    return int(digits)


class HeaderNames(records.Record):
    """Header names, in lower case, used with callers and targets.

    Attributes:
      request_id: Identifies one attempt of a caller; targets echo it.
      deadline_ms: Milliseconds after which the sender stops waiting.
      expected_target: Id of the only target that may run the request.
      stamp: A target's signature of its reply.
      not_run: Present if the target did not run the request.
      target: Id of the target that sent a health reply.
      warmup_ms: Milliseconds for which a target stays cold.
      part_stamps: Signatures of the parts that an answer contains.
      missing_parts: Number of shards that an answer lacks.
      rate_limit: Requests per second that a target takes from all hosts.
      leaving: 1 in the answers of a target that is about to leave.
      retry_after: Seconds for which a target that refused a request with 503
        wants none from the host that sent it.
    """

    __slots__ = (
        "request_id",
        "deadline_ms",
        "expected_target",
        "stamp",
        "not_run",
        "target",
        "warmup_ms",
        "part_stamps",
        "missing_parts",
        "rate_limit",
        "leaving",
        "retry_after",
    )

    def __init__(
        self,
        *,
        request_id: bytes = b"request-id",
        deadline_ms: bytes = b"deadline-ms",
        expected_target: bytes = b"expected-target",
        stamp: bytes = b"stamp",
        not_run: bytes = b"not-run",
        target: bytes = b"target",
        warmup_ms: bytes = b"warmup-ms",
        part_stamps: bytes = b"part-stamps",
        missing_parts: bytes = b"missing-parts",
        rate_limit: bytes = b"rate-limit",
        leaving: bytes = b"leaving",
        retry_after: bytes = b"retry-after",
    ):
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.expected_target = expected_target
        self.stamp = stamp
        self.not_run = not_run
        self.target = target
        self.warmup_ms = warmup_ms
        self.part_stamps = part_stamps
        self.missing_parts = missing_parts
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.retry_after = retry_after
