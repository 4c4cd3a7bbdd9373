"""Schedules reads from the platform so that its rate limit is kept.

Watchers read the manifest by long polls. Other hosts read it when they have
received nothing from a watcher for a while. Failed reads are repeated after a
backoff.
"""

import math

from bramleyfork.core import platform_calls
from bramleyfork.core import records
from bramleyfork.decisions import revisions

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 30.0
# Maximum backoff of a host that is a watcher by its declaration. Few hosts are,
# and after an outage a new configuration must be in force on every host within
# 4 s. Up to half of the backoff is jitter, so that in an outage a watcher calls
# no more often than in normal operation.
LONGEST_WATCHER_PAUSE_S = 2.0
# A host reads the manifest itself after this time without a watcher's message.
FALLBACK_S = 30.0

CALL_TIMEOUT_S = 3.0
# After this time the transport's result counts as lost.
PATIENCE_S = CALL_TIMEOUT_S + 2.0
# Maximum wait of a long poll. The lease of 2.5 s runs from the sending of an
# answered call, so a longer wait could not renew it.
WATCH_WAIT_MS = 1000
# Limits the read rate if the platform answers watches without waiting.
WATCH_SPACING_S = 0.25

WATCH_PATH = "/v1/watch/manifest"
VALUES_PATH = "/v1/values/"
MANIFEST_PATH = VALUES_PATH + "manifest"


class Pace(records.Record):
    """Schedule of one kind of platform read.

    Attributes:
      next_at: Earliest time of the next read, monotonic seconds.
      answer_by: When the pending read counts as lost, monotonic seconds; None
        if no read is pending.
      failures: Number of consecutive failed reads.
    """

    __slots__ = ("next_at", "answer_by", "failures")

    def __init__(
        self,
        *,
        next_at: float = 0.0,
        answer_by: float | None = None,
        failures: int = 0,
    ):
        self.next_at = next_at
        self.answer_by = answer_by
        self.failures = failures


def compute_pause(
    failures: int, host: str, longest_s: float = LONGEST_PAUSE_S
) -> float:
    """Returns the backoff after failed reads, seconds.

    The backoff doubles up to a maximum. Jitter of up to half of it keeps hosts
    from reading at the same time after an outage.

    Args:
      failures: Number of consecutive failed reads, at least 1.
      host: Name of the host that waits; the jitter depends on it.
      longest_s: Maximum backoff, seconds.
    """
    exponent = min(failures - 1, 16)
    pause = min(longest_s, FIRST_PAUSE_S * 2**exponent)
    return pause * (1 - revisions.compute_fraction(host, str(failures)) / 2)


def compute_fallback(host: str, reads: int) -> float:
    """Returns how long a host waits for a message from a watcher, seconds.

    Args:
      host: Name of the host that waits; the jitter depends on it.
      reads: Number of reads made so far; changes the jitter.
    """
    return FALLBACK_S * (
        1 + revisions.compute_fraction(host, "fallback", str(reads)) / 2
    )


def is_due(pace: Pace, now: float) -> bool:
    """Returns whether the next read may be started."""
    return pace.answer_by is None and pace.next_at <= now


def is_lost(pace: Pace, now: float) -> bool:
    """Returns whether the result of the pending read is overdue."""
    return pace.answer_by is not None and pace.answer_by <= now


def find_wake_time(pace: Pace) -> float:
    """Returns the time of the next read or timeout, monotonic seconds."""
    return pace.next_at if pace.answer_by is None else pace.answer_by


def begin_read(pace: Pace, now: float, patience_s: float) -> Pace:
    """Returns the schedule after a read was started.

    Args:
      pace: The schedule.
      now: Monotonic seconds.
      patience_s: Time after which the result counts as lost, seconds.
    """
    return pace.replace(answer_by=now + patience_s)


def finish_read(pace: Pace, next_at: float) -> Pace:
    """Returns the schedule after a successful read."""
    return pace.replace(next_at=next_at, answer_by=None, failures=0)


def fail_read(
    pace: Pace, now: float, host: str, longest_s: float = LONGEST_PAUSE_S
) -> Pace:
    """Returns the schedule after a read failed or its result was lost."""
    failures = pace.failures + 1
    next_at = now + compute_pause(failures, host, longest_s)
    return pace.replace(next_at=next_at, answer_by=None, failures=failures)


class ReadPlan(records.Record):
    """Schedule of the reads of the manifest.

    Attributes:
      watch: Schedule of the watch, a long poll.
      poll: Schedule of reads that do not wait.
      poll_wanted: Whether to read the manifest again after a failed fetch.
      polls: Number of reads without a wait started so far.
      etag: ETag of the manifest read last.
      longest_watch_pause_s: Maximum backoff of the watch, seconds. It is longer
        before a declaration is in force, because every host watches then.
    """

    __slots__ = (
        "watch",
        "poll",
        "poll_wanted",
        "polls",
        "etag",
        "longest_watch_pause_s",
    )

    def __init__(
        self,
        *,
        watch: Pace,
        poll: Pace,
        poll_wanted: bool = False,
        polls: int = 0,
        etag: str = "",
        longest_watch_pause_s: float = LONGEST_PAUSE_S,
    ):
        self.watch = watch
        self.poll = poll
        self.poll_wanted = poll_wanted
        self.polls = polls
        self.etag = etag
        self.longest_watch_pause_s = longest_watch_pause_s


def holds_news(plan: ReadPlan, result: platform_calls.PlatformResult) -> bool:
    """Returns whether a result contains a manifest that should be fetched.

    A watch that returns an unchanged manifest would otherwise restart the
    fetch of invalid parts without a backoff.
    """
    if result.status != 200:
        return False
    watched = result.path.startswith(WATCH_PATH)
    return not (watched and result.etag and result.etag == plan.etag)


def note_result(
    plan: ReadPlan,
    result: platform_calls.PlatformResult,
    now: float,
    host: str,
) -> ReadPlan:
    """Returns the plan after the result of a watch or read of the manifest."""
    etag = result.etag if result.status == 200 else plan.etag
    if result.path.startswith(WATCH_PATH):
        if result.status not in (200, 304):
            return _fail_watch(plan, now, host)
        next_at = max(now, result.sent_at + WATCH_SPACING_S)
        return plan.replace(etag=etag, watch=finish_read(plan.watch, next_at))
    if result.status != 200:
        return plan.replace(poll=fail_read(plan.poll, now, host))
    quiet_s = compute_fallback(host, plan.polls)
    poll = finish_read(plan.poll, now + quiet_s)
    if plan.poll_wanted:
        # The parts may be invalid again, so the backoff must keep growing.
        poll = poll.replace(failures=plan.poll.failures)
    return plan.replace(etag=etag, poll=poll, poll_wanted=False)


def note_failed_fetch(plan: ReadPlan, now: float, host: str) -> ReadPlan:
    """Returns the plan after parts on the platform were missing or invalid.

    The manifest is read again, because it and the parts are published one
    after another.
    """
    poll = fail_read(plan.poll, now, host)
    return plan.replace(poll=poll, poll_wanted=True)


def note_in_force(plan: ReadPlan, now: float) -> ReadPlan:
    """Returns the plan after a configuration was fetched completely.

    The watchers follow from the declaration, so a longer backoff from before
    is reduced to that of a watcher.
    """
    watch = plan.watch.replace(
        next_at=min(plan.watch.next_at, now + LONGEST_WATCHER_PAUSE_S)
    )
    return plan.replace(
        watch=watch,
        poll=plan.poll.replace(failures=0),
        poll_wanted=False,
        longest_watch_pause_s=LONGEST_WATCHER_PAUSE_S,
    )


def plan_reads(
    plan: ReadPlan, now: float, host: str, quiet_since: float | None
) -> tuple[ReadPlan, list[platform_calls.PlatformRead]]:
    """Returns the plan and the reads to start now.

    Args:
      plan: The plan so far.
      now: Monotonic seconds.
      host: Name of this host.
      quiet_since: Time of the last message from a watcher, monotonic seconds;
        None on a host that is a watcher itself.
    """
    if is_lost(plan.watch, now):
        plan = _fail_watch(plan, now, host)
    if is_lost(plan.poll, now):
        plan = plan.replace(poll=fail_read(plan.poll, now, host))
    paths = []
    if quiet_since is None and is_due(plan.watch, now):
        paths.append(f"{WATCH_PATH}?after={plan.etag}&wait_ms={WATCH_WAIT_MS}")
        plan = plan.replace(watch=begin_read(plan.watch, now, PATIENCE_S))
    wanted_at = _find_poll_time(plan, host, quiet_since)
    if wanted_at <= now and is_due(plan.poll, now):
        paths.append(MANIFEST_PATH)
        plan = plan.replace(
            poll=begin_read(plan.poll, now, PATIENCE_S), polls=plan.polls + 1
        )
    return plan, [build_read(path) for path in paths]


def build_read(path: str) -> platform_calls.PlatformRead:
    """Returns the read of a configuration path."""
    return platform_calls.PlatformRead(
        purpose="configuration", path=path, timeout_s=CALL_TIMEOUT_S
    )


def find_plan_time(
    plan: ReadPlan, host: str, quiet_since: float | None
) -> float:
    """Returns when to call ``plan_reads`` next, monotonic seconds."""
    poll_at = plan.poll.answer_by
    if poll_at is None:
        poll_at = _find_poll_time(plan, host, quiet_since)
    if quiet_since is None or plan.watch.answer_by is not None:
        return min(poll_at, find_wake_time(plan.watch))
    return poll_at


def _fail_watch(plan: ReadPlan, now: float, host: str) -> ReadPlan:
    longest_s = plan.longest_watch_pause_s
    return plan.replace(watch=fail_read(plan.watch, now, host, longest_s))


def _find_poll_time(
    plan: ReadPlan, host: str, quiet_since: float | None
) -> float:
    if plan.poll_wanted:
        return plan.poll.next_at
    if quiet_since is None:
        return math.inf
    quiet_s = compute_fallback(host, plan.polls)
    return max(plan.poll.next_at, quiet_since + quiet_s)
