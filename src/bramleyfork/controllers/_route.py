"""Working state of one query on its way through the fleet."""

import math

from bramleyfork.core import declarations
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import retries
from bramleyfork.decisions import snapshots


class SegmentAttempt:
    """One attempt at one segment.

    Attributes:
      attempt_id: Unique in the fleet.
      target: Name of the target.
      owner: Host that sends it.
      sent_at: Monotonic seconds.
      hedge_at: When another replica is asked as well, monotonic seconds.
      verdict: What is known of its execution; MAY_HAVE_RUN until answered.
      open: Whether a reply is still awaited.
    """

    __slots__ = (
        "attempt_id",
        "target",
        "owner",
        "sent_at",
        "hedge_at",
        "verdict",
        "open",
    )

    def __init__(
        self, *, attempt_id: str, target: str, owner: str, sent_at: float
    ):
        self.attempt_id = attempt_id
        self.target = target
        self.owner = owner
        self.sent_at = sent_at
        self.hedge_at = math.inf
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.open = True


class Segment:
    """One key range of one service within a route.

    Attributes:
      plan: Service, range and candidates.
      attempts: Attempts so far, in order.
      part: The valid reply, once there is one.
      given_up: Whether no more attempts will be made.
      wrong_snapshot: Whether a target refused the snapshot.
      refused_owners: (target, owner) pairs that refused.
      tried: Targets that are not asked again.
      target_died: Whether an attempt ended with its target's connection broken.
      exclusive: Whether its attempts run alone, as a target has died with the
        same request in flight.
      retry_pending: Whether a delayed retry is scheduled.
    """

    __slots__ = (
        "plan",
        "attempts",
        "part",
        "given_up",
        "wrong_snapshot",
        "refused_owners",
        "tried",
        "target_died",
        "exclusive",
        "retry_pending",
    )

    def __init__(self, *, plan: snapshots.SegmentPlan):
        self.plan = plan
        self.attempts: list[SegmentAttempt] = []
        self.part: replies.SubReply | None = None
        self.given_up = False
        self.wrong_snapshot = False
        self.refused_owners: set[tuple[str, str]] = set()
        self.tried: set[str] = set()
        self.target_died = False
        self.exclusive = False
        self.retry_pending = False

    @property
    def is_finished(self) -> bool:
        """Whether the segment needs nothing more."""
        return self.part is not None or self.given_up

    def note_failure(self, reply: replies.SubReply) -> None:
        """Keeps what a failed attempt says about the next one."""
        if reply.code == "died":
            self.target_died = True
        if reply.code == "wrong_snapshot":
            self.wrong_snapshot = True
        if retries.is_owner_refusal(reply):
            self.refused_owners.add((reply.target, reply.owner))
            self.tried.discard(reply.target)

    def schedule_retry(self) -> None:
        """Lets all targets be asked again, at a later time."""
        self.retry_pending = True
        self.tried.clear()

    def find_open(self, attempt_id: str) -> SegmentAttempt | None:
        """Returns the attempt of that id if its reply is awaited."""
        for attempt in self.attempts:
            if attempt.attempt_id == attempt_id and attempt.open:
                return attempt
        return None

    def list_open(self) -> list[SegmentAttempt]:
        """Returns the attempts whose reply is awaited."""
        return [attempt for attempt in self.attempts if attempt.open]


class Route:
    """A query, its snapshot and its segments.

    The routing controller alone changes it, in place; it stands in the section
    ``routes`` while the query runs.

    Attributes:
      query: The caller's query.
      lookup: Its declared lookup.
      fingerprint: Hash of what is asked.
      deadline: When to answer with what is there, monotonic seconds.
      requested_ranges: The asked range of each service.
      snapshot: Versions that every part is read at.
      segments: The plan's segments.
      deferred_segments: Segments held back until the canary answers.
      by_attempt: Segment of each attempt id.
      unfinished_count: Number of segments that are not settled.
      ended_verdicts: Verdicts of attempts made before a restart.
      tried_snapshots: Snapshots given up on.
      detail: What went wrong, for people.
    """

    __slots__ = (
        "query",
        "lookup",
        "fingerprint",
        "deadline",
        "requested_ranges",
        "snapshot",
        "segments",
        "deferred_segments",
        "by_attempt",
        "unfinished_count",
        "ended_verdicts",
        "tried_snapshots",
        "detail",
    )

    def __init__(
        self,
        *,
        query: requests.Query,
        lookup: declarations.Lookup,
        fingerprint: str,
        deadline: float,
    ):
        self.query = query
        self.lookup = lookup
        self.fingerprint = fingerprint
        self.deadline = deadline
        requested = ranges.FULL_RANGE
        if lookup.keyed:
            requested = ranges.KeyRange(low=query.key, high=query.key + 1)
        self.requested_ranges = dict.fromkeys(lookup.services, requested)
        self.snapshot: requests.Snapshot | None = None
        self.segments: list[Segment] = []
        self.deferred_segments: list[Segment] = []
        self.by_attempt: dict[str, Segment] = {}
        self.unfinished_count = 0
        self.ended_verdicts: list[verdicts.Verdict] = []
        self.tried_snapshots: set[requests.Snapshot] = set()
        self.detail = ""

    def use_plan(self, plan: snapshots.QueryPlan) -> None:
        """Replaces snapshot and segments."""
        self.ended_verdicts = list(self.list_verdicts())
        self.snapshot = plan.snapshot
        self.segments = [Segment(plan=p) for p in self._clip(plan.segments)]
        self.deferred_segments = []
        self.by_attempt = {}
        self.unfinished_count = len(self.segments)

    def has_target_death(self) -> bool:
        """Returns whether an attempt ended with its target's death."""
        return any(segment.target_died for segment in self.segments)

    def give_up(self, segment: Segment) -> None:
        """Settles a segment without a part."""
        if not segment.is_finished:
            segment.given_up = True
            self.unfinished_count -= 1

    def list_verdicts(self) -> list[verdicts.Verdict]:
        """Returns the verdict of every attempt made for the query."""
        current = [a.verdict for s in self.segments for a in s.attempts]
        return self.ended_verdicts + current

    def list_parts(self) -> list[tuple[str, replies.SubReply]]:
        """Returns service and reply of each segment that was read."""
        return [
            (segment.plan.service, segment.part)
            for segment in self.segments
            if segment.part is not None
        ]

    def _clip(
        self, plans: tuple[snapshots.SegmentPlan, ...]
    ) -> list[snapshots.SegmentPlan]:
        """Returns only the part of a keyed lookup's segment that is asked."""
        if not self.lookup.keyed:
            return list(plans)
        return [
            plan.replace(key_range=self.requested_ranges[plan.service])
            for plan in plans
            if plan.key_range.contains(self.requested_ranges[plan.service])
        ]
