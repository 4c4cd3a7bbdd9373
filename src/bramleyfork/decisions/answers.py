"""Builds the answer to a caller from the replies to its sub-requests."""

import collections.abc

from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import coverage


def is_valid_part(
    reply: replies.SubReply,
    *,
    snapshot: requests.Snapshot,
    key_range: ranges.KeyRange,
) -> bool:
    """Returns whether a reply is exactly what was requested.

    A reply of another snapshot or range, with a record outside its range or
    with duplicate keys must not become part of an answer.
    """
    if reply.snapshot != snapshot or reply.key_range != key_range:
        return False
    keys = [key for key, _ in reply.records]
    low, high = key_range.low, key_range.high
    return len(set(keys)) == len(keys) and all(low <= k < high for k in keys)


def reject_part(reply: replies.SubReply) -> replies.SubReply:
    """Returns an invalid reply as a failure without records.

    The reply does not show whether the target ran what was requested.
    """
    return reply.replace(
        code="bad_reply",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        records=(),
        detail="snapshot, key range or keys do not match the request",
    )


def build_answer(
    *,
    query_id: str,
    snapshot: requests.Snapshot | None,
    requested_ranges: collections.abc.Mapping[str, ranges.KeyRange],
    parts: collections.abc.Sequence[tuple[str, replies.SubReply]],
    attempts: collections.abc.Iterable[verdicts.Verdict],
    detail: str,
) -> replies.Answer:
    """Returns the answer to a query.

    Args:
      query_id: Id of the query.
      snapshot: Versions that all parts were read at.
      requested_ranges: Requested key range of each service.
      parts: Service and valid reply of each segment that was read.
      attempts: Verdict of each attempt, MAY_HAVE_RUN for unanswered ones.
      detail: What went wrong, for people.
    """
    measured = coverage.measure_coverage(
        requested_ranges, [(service, part.key_range) for service, part in parts]
    )
    code = "ok" if not measured.missing else "partial"
    return replies.Answer(
        query_id=query_id,
        verdict=verdicts.combine_verdicts(attempts),
        code=code if parts else "no_answer",
        snapshot=snapshot if parts else None,
        coverage=measured.fraction,
        missing=measured.missing,
        records=tuple(
            (service, key, value)
            for service, part in parts
            for key, value in part.records
        ),
        detail=detail,
    )


def build_refusal(
    query_id: str,
    code: str,
    *,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    detail: str = "",
    hosts: tuple[str, ...] = (),
    retry_after_ms: int | None = None,
) -> replies.Answer:
    """Returns an answer without records."""
    return replies.Answer(
        query_id=query_id,
        verdict=verdict,
        code=code,
        snapshot=None,
        coverage=0.0,
        missing=(),
        records=(),
        detail=detail,
        hosts=hosts,
        retry_after_ms=retry_after_ms,
    )
