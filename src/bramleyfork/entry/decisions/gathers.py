"""What an answer over many shards contains and when it is given."""

import collections.abc
import heapq

RECORD_BYTES = 16

ANSWER = "answer"
WAIT = "wait"
GIVE_UP = "give_up"


def merge_records(bodies: collections.abc.Iterable[bytes], limit: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of RECORD_BYTES bytes in any order; a shorter remainder
        is no record.
      limit: Most records to return. Equal records all count.
    """
    found = [
        body[begin : begin + RECORD_BYTES]
        for body in bodies
        for begin in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(limit, found))


def compute_min_shards(shard_count: int, least_share: float) -> int:
    """Returns the fewest shards that make an answer, at least one."""
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
    """Returns ANSWER, WAIT or GIVE_UP, and when to ask again.

    An answer's worth falls to a fraction when the aim has passed, while a
    missing shard costs little. So the aim ends the wait if the least share is
    in. Past the aim the wait for the rest goes on until ``late_cutoff_at``.

    Args:
      now: Monotonic seconds.
      included: Shards whose part is in.
      pending: Shards whose part may still come.
      total: Shards of the query.
      min_shards: Fewest shards that make an answer.
      aim_at: When an answer must leave to arrive within the aim.
      late_cutoff_at: When an answer that missed the aim waits no longer for
        more.
      deadline_at: When the caller stops waiting.
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
    if now - aim_at < _AIM_SLACK_S:
        return ANSWER, None
    return WAIT, min(late_cutoff_at, deadline_at)


# An answer given this soon after the aim's time still meets the aim.
_AIM_SLACK_S = 0.005
