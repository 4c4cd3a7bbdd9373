"""Merges the replies of many shards and decides when to answer the caller."""

import collections.abc
import heapq

RECORD_BYTES = 16

ANSWER = "answer"
WAIT = "wait"
GIVE_UP = "give_up"


def merge_records(bodies: collections.abc.Iterable[bytes], limit: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Concatenated records of RECORD_BYTES bytes each, in any order; a
        shorter remainder is ignored.
      limit: Maximum number of records to return. Equal records count
        separately.
    """
    merged = [
        body[begin : begin + RECORD_BYTES]
        for body in bodies
        for begin in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(limit, merged))


def compute_min_shards(shard_count: int, least_share: float) -> int:
    """Returns the minimum number of shards that an answer needs.

    Args:
      shard_count: Number of shards of the request.
      least_share: Minimum fraction of the shards, 0 to 1. The result is at
        least one shard.
    """
    min_shards = max(1, int(shard_count * least_share))
    while min_shards < shard_count and min_shards / shard_count < least_share:
        min_shards += 1
    return min_shards


def decide(
    *,
    now: float,
    included: int,
    pending: int,
    total: int,
    min_shards: int,
    aim_at: float,
    late_cutoff_at: float,
    deadline_at: float,
) -> tuple[str, float | None]:
    """Returns ANSWER, WAIT or GIVE_UP, and for WAIT when to decide again.

    An answer loses most of its value once it misses the latency target, while
    a missing shard costs little. So at ``aim_at`` an answer is given if it has
    the minimum number of shards. An answer that has missed the target waits
    for the missing shards until ``late_cutoff_at``.

    All times are monotonic and in seconds.

    Args:
      now: Current time.
      included: Number of shards that have replied.
      pending: Number of shards that may still reply.
      total: Number of shards of the request.
      min_shards: Minimum number of shards that an answer needs.
      aim_at: Latest time to send an answer that meets the latency target.
      late_cutoff_at: Time until which an answer that has missed the target
        waits for missing shards.
      deadline_at: Time at which the caller stops waiting.
    """
    if included == total:
        return ANSWER, None
    if included + pending < min_shards:
        return GIVE_UP, None
    if not pending:
        return ANSWER, None
    if included < min_shards:
        if now >= deadline_at:
            return GIVE_UP, None
        return WAIT, deadline_at
    if now >= late_cutoff_at or now >= deadline_at:
        return ANSWER, None
    if now < aim_at:
        return WAIT, aim_at
    if now - aim_at < _LATENCY_TARGET_SLACK_S:
        return ANSWER, None
    return WAIT, min(late_cutoff_at, deadline_at)


# An answer given up to this long after ``aim_at`` still meets the latency
# target.
_LATENCY_TARGET_SLACK_S = 0.005
