"""Assembly of a caller's answer from the parts that were read."""

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
    """Returns whether a part is exactly what was asked.

    A part of another snapshot or range, or with a record outside its range,
    must not enter an answer.
    """
    if reply.snapshot != snapshot or reply.key_range != key_range:
        return False
    keys = [key for key, _ in reply.records]
    low, high = key_range.low, key_range.high
    return len(set(keys)) == len(keys) and all(low <= k < high for k in keys)


def reject_part(reply: replies.SubReply) -> replies.SubReply:
    """Returns an invalid part as a failure without records.

    That the target answered something does not show that it ran what was
    asked.
    """
    return reply.replace(
        code="bad_reply",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        records=(),
        detail="snapshot, range or keys differ from what was asked",
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
      query_id: The query.
      snapshot: Versions that all parts were read at.
      requested_ranges: The asked range of each service.
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
    """Returns an answer without any part."""
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
