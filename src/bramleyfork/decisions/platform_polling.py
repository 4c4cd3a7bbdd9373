"""When to read from the platform, so that its rate is kept."""

import math

from bramleyfork.core import platform_calls
from bramleyfork.core import records
from bramleyfork.decisions import revisions

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# The same for a host that knows itself to be a watcher. Few hosts are, and
# after an outage news must be in force everywhere within 4 s. With half of it
# as jitter a watcher calls no more often in an outage than at rest.
MAX_WATCHER_BACKOFF_S = 2.0
FALLBACK_S = 30.0  # Without a message from a watcher.

CALL_TIMEOUT_S = 3.0
RESULT_TIMEOUT_S = CALL_TIMEOUT_S + 2.0  # Then the transport's answer is lost.
# A watch is answered at least this often. A lease of 2.5 s runs from the
# sending of an answered call, so a longer wait could not renew it.
WATCH_WAIT_MS = 1000
# Bounds the reads when the platform answers watches without waiting.
WATCH_SPACING_S = 0.25

WATCH_PATH = "/v1/watch/manifest"
VALUES_PATH = "/v1/values/"
MANIFEST_PATH = VALUES_PATH + "manifest"


class ReadSchedule(records.Record):
    """When one kind of platform read is due.

    Attributes:
      next_at: Earliest next read, monotonic seconds.
      result_deadline: When the read under way counts as lost, monotonic
        seconds; None when there is none.
      failures: Failed reads in a row.
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
    """Returns how long to wait after failed reads, seconds.

    The pause doubles up to a limit. Its jitter of up to one half keeps hosts
    from reading in step after an outage.

    Args:
      failures: Failed reads in a row, at least 1.
      host: Name of the host that waits.
      max_backoff_s: Longest pause, seconds.
    """
    exponent = min(failures - 1, 16)
    backoff_s = min(max_backoff_s, INITIAL_BACKOFF_S * 2**exponent)
    return backoff_s * (1 - revisions.compute_fraction(host, str(failures)) / 2)


def compute_fallback(host: str, reads: int) -> float:
    """Returns how long a host waits for a message from a watcher, seconds.

    Args:
      host: Name of the host that waits.
      reads: Reads it has made so far, so that the jitter changes.
    """
    return FALLBACK_S * (
        1 + revisions.compute_fraction(host, "fallback", str(reads)) / 2
    )


def is_due(schedule: ReadSchedule, now: float) -> bool:
    """Returns whether the next read may be made."""
    return schedule.result_deadline is None and schedule.next_at <= now


def is_overdue(schedule: ReadSchedule, now: float) -> bool:
    """Returns whether the answer to the read under way is overdue."""
    return (
        schedule.result_deadline is not None and schedule.result_deadline <= now
    )


def find_wake_time(schedule: ReadSchedule) -> float:
    """Returns when the pace next asks for a step, monotonic seconds."""
    return (
        schedule.next_at
        if schedule.result_deadline is None
        else schedule.result_deadline
    )


def begin_read(
    schedule: ReadSchedule, now: float, result_timeout_s: float
) -> ReadSchedule:
    """Returns the pace after a read was ordered."""
    return schedule.replace(result_deadline=now + result_timeout_s)


def finish_read(schedule: ReadSchedule, next_at: float) -> ReadSchedule:
    """Returns the pace after a read was answered."""
    return schedule.replace(next_at=next_at, result_deadline=None, failures=0)


def fail_read(
    schedule: ReadSchedule,
    now: float,
    host: str,
    max_backoff_s: float = MAX_BACKOFF_S,
) -> ReadSchedule:
    """Returns the pace after a read failed or was lost."""
    failures = schedule.failures + 1
    next_at = now + compute_backoff(failures, host, max_backoff_s)
    return schedule.replace(
        next_at=next_at, result_deadline=None, failures=failures
    )


class ManifestSchedule(records.Record):
    """State of the reads of the manifest.

    Attributes:
      watch: Pace of the watch.
      poll: Pace of plain reads.
      poll_wanted: Whether to read the manifest again after a failed fetch.
      polls: Plain reads ordered so far.
      etag: The platform's version of the manifest read last.
      max_watch_backoff_s: Longest pause of the watch. Until a declaration
        is in force every host holds a watch, so pauses grow further.
    """

    __slots__ = (
        "watch",
        "poll",
        "poll_wanted",
        "polls",
        "etag",
        "max_watch_backoff_s",
    )

    def __init__(
        self,
        *,
        watch: ReadSchedule,
        poll: ReadSchedule,
        poll_wanted: bool = False,
        polls: int = 0,
        etag: str = "",
        max_watch_backoff_s: float = MAX_BACKOFF_S,
    ):
        self.watch = watch
        self.poll = poll
        self.poll_wanted = poll_wanted
        self.polls = polls
        self.etag = etag
        self.max_watch_backoff_s = max_watch_backoff_s


def has_new_manifest(
    schedule: ManifestSchedule, result: platform_calls.PlatformResult
) -> bool:
    """Returns whether an answer holds a manifest that is worth following.

    A watch that answers with an unchanged value would otherwise start the
    fetch of wrong parts again without a pause.
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
    """Returns the plan after an answer to a watch or a read of the manifest."""
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
    fallback_s = compute_fallback(host, schedule.polls)
    poll = finish_read(schedule.poll, now + fallback_s)
    if schedule.poll_wanted:
        # The parts may be wrong again, so the pause must keep growing.
        poll = poll.replace(failures=schedule.poll.failures)
    return schedule.replace(etag=etag, poll=poll, poll_wanted=False)


def note_failed_fetch(
    schedule: ManifestSchedule, now: float, host: str
) -> ManifestSchedule:
    """Returns the plan after parts on the platform were missing or wrong.

    The manifest is read again, as it and the parts are published one after
    another.
    """
    poll = fail_read(schedule.poll, now, host)
    return schedule.replace(poll=poll, poll_wanted=True)


def note_in_force(schedule: ManifestSchedule, now: float) -> ManifestSchedule:
    """Returns the plan after a configuration was fetched whole.

    The declaration names the watchers, so a long pause from before ends.
    """
    watch = schedule.watch.replace(
        next_at=min(schedule.watch.next_at, now + MAX_WATCHER_BACKOFF_S)
    )
    return schedule.replace(
        watch=watch,
        poll=schedule.poll.replace(failures=0),
        poll_wanted=False,
        max_watch_backoff_s=MAX_WATCHER_BACKOFF_S,
    )


def plan_reads(
    schedule: ManifestSchedule,
    now: float,
    host: str,
    last_watcher_message_at: float | None,
) -> tuple[ManifestSchedule, list[platform_calls.PlatformRead]]:
    """Returns the plan and the reads to order now.

    Args:
      schedule: The plan so far.
      now: Monotonic seconds.
      host: Name of this host.
      last_watcher_message_at: When a watcher was last heard; None on a host
        that holds the watch itself.
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
            polls=schedule.polls + 1,
        )
    return schedule, [build_read(path) for path in paths]


def build_read(path: str) -> platform_calls.PlatformRead:
    """Returns the order to read a path of the configuration."""
    return platform_calls.PlatformRead(
        purpose="configuration", path=path, timeout_s=CALL_TIMEOUT_S
    )


def find_plan_time(
    schedule: ManifestSchedule, host: str, last_watcher_message_at: float | None
) -> float:
    """Returns when ``plan_reads`` is next to be called, monotonic seconds."""
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
    if schedule.poll_wanted:
        return schedule.poll.next_at
    if last_watcher_message_at is None:
        return math.inf
    fallback_s = compute_fallback(host, schedule.polls)
    return max(schedule.poll.next_at, last_watcher_message_at + fallback_s)
