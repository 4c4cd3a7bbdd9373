"""Schedules reads from the platform so that its rate limit is kept.

Watchers read the manifest by long polls. Other hosts read it when they have
received nothing from a watcher for a while. Failed reads are repeated after a
backoff.
"""

import math

from bramleyfork.core import platform_calls
from bramleyfork.core import records
from bramleyfork.decisions import revisions

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# Maximum backoff of a host that is a watcher by its declaration. It is short
# because there are few watchers, and because after an outage a new
# configuration must be in force on every host within 4 s. Up to half of the
# backoff is jitter, so that in an outage a watcher calls no more often than in
# normal operation.
MAX_WATCHER_BACKOFF_S = 2.0
# A host reads the manifest itself after this time without a watcher's message.
FALLBACK_S = 30.0

CALL_TIMEOUT_S = 3.0
# After this time the transport's result counts as lost.
RESULT_TIMEOUT_S = CALL_TIMEOUT_S + 2.0
# Maximum wait of a long poll. The lease of 2.5 s runs from the sending of an
# answered call, so a longer wait could not renew it.
WATCH_WAIT_MS = 1000
# Limits the read rate if the platform answers watches without waiting.
WATCH_SPACING_S = 0.25

WATCH_PATH = "/v1/watch/manifest"
VALUES_PATH = "/v1/values/"
MANIFEST_PATH = VALUES_PATH + "manifest"


class ReadSchedule(records.Record):
    """Schedule of one kind of platform read.

    Attributes:
      next_at: Earliest time of the next read, monotonic seconds.
      result_deadline: When the pending read counts as lost, monotonic
        seconds; None if no read is pending.
      failures: Number of consecutive failed reads.
    """

    __slots__ = ("next_at", "result_deadline", "failures")

    def __init__(
        self,
        *,
        next_at: float = 0.0,
        result_deadline: float | None = None,
        failures: int = 0,
    ):
        self.next_at = next_at
        self.result_deadline = result_deadline
        self.failures = failures


def compute_backoff(
    failures: int, host: str, max_backoff_s: float = MAX_BACKOFF_S
) -> float:
    """Returns the backoff after failed reads, seconds.

    The backoff doubles up to a maximum. Jitter of up to half of it keeps hosts
    from reading at the same time after an outage.

    Args:
      failures: Number of consecutive failed reads, at least 1.
      host: Name of the host that waits; the jitter depends on it.
      max_backoff_s: Maximum backoff, seconds.
    """
    exponent = min(failures - 1, 16)
    backoff_s = min(max_backoff_s, INITIAL_BACKOFF_S * 2**exponent)
    return backoff_s * (1 - revisions.compute_fraction(host, str(failures)) / 2)


def compute_fallback(host: str, reads: int) -> float:
    """Returns how long a host waits for a message from a watcher, seconds.

    Args:
      host: Name of the host that waits; the jitter depends on it.
      reads: Number of reads made so far; changes the jitter.
    """
    return FALLBACK_S * (
        1 + revisions.compute_fraction(host, "fallback", str(reads)) / 2
    )


def is_due(schedule: ReadSchedule, now: float) -> bool:
    """Returns whether the next read may be started."""
    return schedule.result_deadline is None and schedule.next_at <= now


def is_overdue(schedule: ReadSchedule, now: float) -> bool:
    """Returns whether the result of the pending read is overdue."""
    return (
        schedule.result_deadline is not None and schedule.result_deadline <= now
    )


def find_wake_time(schedule: ReadSchedule) -> float:
    """Returns the time of the next read or timeout, monotonic seconds."""
    return (
        schedule.next_at
        if schedule.result_deadline is None
        else schedule.result_deadline
    )


def begin_read(
    schedule: ReadSchedule, now: float, result_timeout_s: float
) -> ReadSchedule:
    """Returns the schedule after a read was started.

    Args:
      schedule: The schedule.
      now: Monotonic seconds.
      result_timeout_s: Time after which the result counts as lost, seconds.
    """
    return schedule.replace(result_deadline=now + result_timeout_s)


def finish_read(schedule: ReadSchedule, next_at: float) -> ReadSchedule:
    """Returns the schedule after a successful read."""
    return schedule.replace(next_at=next_at, result_deadline=None, failures=0)


def fail_read(
    schedule: ReadSchedule,
    now: float,
    host: str,
    max_backoff_s: float = MAX_BACKOFF_S,
) -> ReadSchedule:
    """Returns the schedule after a read failed or its result was lost."""
    failures = schedule.failures + 1
    next_at = now + compute_backoff(failures, host, max_backoff_s)
    return schedule.replace(
        next_at=next_at, result_deadline=None, failures=failures
    )


class ManifestSchedule(records.Record):
    """Schedule of the reads of the manifest.

    Attributes:
      watch: Schedule of the watch, a long poll.
      poll: Schedule of reads that do not wait.
      is_reread_pending: Whether to read the manifest again after a failed
        fetch.
      poll_count: Number of reads without a wait started so far.
      etag: ETag of the manifest read last.
      max_watch_backoff_s: Maximum backoff of the watch, seconds. It is longer
        before a declaration is in force, because every host watches then.
    """

    __slots__ = (
        "watch",
        "poll",
        "is_reread_pending",
        "poll_count",
        "etag",
        "max_watch_backoff_s",
    )

    def __init__(
        self,
        *,
        watch: ReadSchedule,
        poll: ReadSchedule,
        is_reread_pending: bool = False,
        poll_count: int = 0,
        etag: str = "",
        max_watch_backoff_s: float = MAX_BACKOFF_S,
    ):
        self.watch = watch
        self.poll = poll
        self.is_reread_pending = is_reread_pending
        self.poll_count = poll_count
        self.etag = etag
        self.max_watch_backoff_s = max_watch_backoff_s


def has_new_manifest(
    schedule: ManifestSchedule, result: platform_calls.PlatformResult
) -> bool:
    """Returns whether a result contains a manifest that should be fetched.

    A watch that returns an unchanged manifest would otherwise restart the
    fetch of invalid parts without a backoff.
    """
    if result.status != 200:
        return False
    watched = result.path.startswith(WATCH_PATH)
    return not (watched and result.etag and result.etag == schedule.etag)


def apply_result(
    schedule: ManifestSchedule,
    result: platform_calls.PlatformResult,
    now: float,
    host: str,
) -> ManifestSchedule:
    """Returns the schedule after a watch or read of the manifest."""
    etag = result.etag if result.status == 200 else schedule.etag
    if result.path.startswith(WATCH_PATH):
        if result.status not in (200, 304):
            return _fail_watch(schedule, now, host)
        next_at = max(now, result.sent_at + WATCH_SPACING_S)
        return schedule.replace(
            etag=etag, watch=finish_read(schedule.watch, next_at)
        )
    if result.status != 200:
        return schedule.replace(poll=fail_read(schedule.poll, now, host))
    fallback_s = compute_fallback(host, schedule.poll_count)
    poll = finish_read(schedule.poll, now + fallback_s)
    if schedule.is_reread_pending:
        # The parts may be invalid again, so the backoff must keep growing.
        poll = poll.replace(failures=schedule.poll.failures)
    return schedule.replace(etag=etag, poll=poll, is_reread_pending=False)


def apply_failed_fetch(
    schedule: ManifestSchedule, now: float, host: str
) -> ManifestSchedule:
    """Returns the schedule after missing or invalid parts on the platform.

    The manifest is read again, because it and the parts are published one
    after another.
    """
    poll = fail_read(schedule.poll, now, host)
    return schedule.replace(poll=poll, is_reread_pending=True)


def apply_activation(
    schedule: ManifestSchedule, now: float
) -> ManifestSchedule:
    """Returns the schedule after a configuration was activated.

    From now on the declaration determines the watchers, so a longer backoff
    from before is reduced to that of a watcher.
    """
    watch = schedule.watch.replace(
        next_at=min(schedule.watch.next_at, now + MAX_WATCHER_BACKOFF_S)
    )
    return schedule.replace(
        watch=watch,
        poll=schedule.poll.replace(failures=0),
        is_reread_pending=False,
        max_watch_backoff_s=MAX_WATCHER_BACKOFF_S,
    )


def plan_reads(
    schedule: ManifestSchedule,
    now: float,
    host: str,
    last_watcher_message_at: float | None,
) -> tuple[ManifestSchedule, list[platform_calls.PlatformRead]]:
    """Returns the schedule and the reads to start now.

    Args:
      schedule: The schedule so far.
      now: Monotonic seconds.
      host: Name of this host.
      last_watcher_message_at: Time of the last message from a watcher,
        monotonic seconds; None on a host that is a watcher itself.
    """
    if is_overdue(schedule.watch, now):
        schedule = _fail_watch(schedule, now, host)
    if is_overdue(schedule.poll, now):
        schedule = schedule.replace(poll=fail_read(schedule.poll, now, host))
    paths = []
    if last_watcher_message_at is None and is_due(schedule.watch, now):
        paths.append(
            f"{WATCH_PATH}?after={schedule.etag}&wait_ms={WATCH_WAIT_MS}"
        )
        schedule = schedule.replace(
            watch=begin_read(schedule.watch, now, RESULT_TIMEOUT_S)
        )
    wanted_at = _find_poll_time(schedule, host, last_watcher_message_at)
    if wanted_at <= now and is_due(schedule.poll, now):
        paths.append(MANIFEST_PATH)
        schedule = schedule.replace(
            poll=begin_read(schedule.poll, now, RESULT_TIMEOUT_S),
            poll_count=schedule.poll_count + 1,
        )
    return schedule, [build_read(path) for path in paths]


def build_read(path: str) -> platform_calls.PlatformRead:
    """Returns the read of a configuration path."""
    return platform_calls.PlatformRead(
        purpose="configuration", path=path, timeout_s=CALL_TIMEOUT_S
    )


def find_plan_time(
    schedule: ManifestSchedule, host: str, last_watcher_message_at: float | None
) -> float:
    """Returns when to call ``plan_reads`` next, monotonic seconds."""
    poll_at = schedule.poll.result_deadline
    if poll_at is None:
        poll_at = _find_poll_time(schedule, host, last_watcher_message_at)
    if (
        last_watcher_message_at is None
        or schedule.watch.result_deadline is not None
    ):
        return min(poll_at, find_wake_time(schedule.watch))
    return poll_at


def _fail_watch(
    schedule: ManifestSchedule, now: float, host: str
) -> ManifestSchedule:
    max_backoff_s = schedule.max_watch_backoff_s
    return schedule.replace(
        watch=fail_read(schedule.watch, now, host, max_backoff_s)
    )


def _find_poll_time(
    schedule: ManifestSchedule, host: str, last_watcher_message_at: float | None
) -> float:
    if schedule.is_reread_pending:
        return schedule.poll.next_at
    if last_watcher_message_at is None:
        return math.inf
    fallback_s = compute_fallback(host, schedule.poll_count)
    return max(schedule.poll.next_at, last_watcher_message_at + fallback_s)
