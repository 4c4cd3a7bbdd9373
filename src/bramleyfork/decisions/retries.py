"""Whether a failed attempt is followed by another one."""

import collections.abc

from bramleyfork.core import replies
from bramleyfork.core import verdicts

# Attempts at one segment beyond the first, hedges included.
MAX_EXTRA_ATTEMPTS = 2

# Refusals by the owner host, which another owner of the target may not share.
_OWNER_CODES = frozenset({"no_share", "owner_lost", "no_lease"})
# Refusals that cost the target nothing and so are not charged to the budget.
_BUDGET_EXEMPT_CODES = _OWNER_CODES | {
    "connect_failed",
    "wrong_snapshot",
    "target_out",
    "leaving",
    "expired",
}


def may_repeat(reply: replies.SubReply, *, idempotent: bool) -> bool:
    """Returns whether running the request again can do no harm."""
    return idempotent or reply.verdict is verdicts.Verdict.NOT_RUN


def is_exempt_from_budget(reply: replies.SubReply) -> bool:
    """Returns whether a retry adds nothing to the load of targets."""
    return (
        reply.code in _BUDGET_EXEMPT_CODES
        and reply.verdict is verdicts.Verdict.NOT_RUN
    )


def is_owner_refusal(reply: replies.SubReply) -> bool:
    """Returns whether another owner of the same target may accept."""
    return reply.code in _OWNER_CODES


def should_avoid_target(reply: replies.SubReply) -> bool:
    """Returns whether the target should be avoided for a while."""
    return reply.code in {
        "connect_failed",
        "died",
        "timeout",
        "shed",
        "leaving",
        "queue_full",
        "bad_reply",
    }


def find_retry_time(
    reply: replies.SubReply, *, has_choice: bool, now: float
) -> float | None:
    """Returns when to try again, or None for never.

    Args:
      reply: The failed attempt.
      has_choice: Whether an untried target or owner is left.
      now: Monotonic seconds.

    Returns:
      ``now`` if there is another choice; the time that the refusing target
      asked for if nothing ran; else None.
    """
    if has_choice:
        return now
    if reply.verdict is not verdicts.Verdict.NOT_RUN:
        return None
    if reply.retry_after_ms is None:
        return None
    return now + reply.retry_after_ms / 1000


def may_restart(
    attempts: collections.abc.Iterable[verdicts.Verdict], *, idempotent: bool
) -> bool:
    """Returns whether a whole query may be started again."""
    return (
        idempotent
        or verdicts.combine_verdicts(attempts) is verdicts.Verdict.NOT_RUN
    )
