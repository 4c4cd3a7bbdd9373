"""State of a running query: its segments and the attempts at each."""

import math

from bramleyfork.core import declarations
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import retries
from bramleyfork.decisions import snapshots


class SegmentAttempt:
    """One sub-request for a segment.

    Attributes:
      attempt_id: Unique in the fleet.
      target: Name of the target.
      owner: Host that sends it to the target.
      sent_at: Monotonic seconds.
      hedge_at: When to send a hedge request, monotonic seconds.
      verdict: Whether it ran; MAY_HAVE_RUN until answered.
      open: Whether its reply is pending.
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
    """One key range of one service that a query reads.

    Attributes:
      plan: Service, key range and candidate targets.
      attempts: Attempts so far, in order.
      part: The first valid reply, or None.
      given_up: Whether the segment failed and gets no more attempts.
      wrong_snapshot: Whether a target refused the snapshot.
      refused_owners: (target, owner) pairs not to be used again.
      tried: Targets that are left out of the next attempt.
      target_died: Whether the connection to a target broke during an attempt.
      exclusive: Whether its attempts must run exclusively, because a target
        died with the same request in flight.
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
        """Whether the segment has its reply or was given up."""
        return self.part is not None or self.given_up

    def record_failure(self, reply: replies.SubReply) -> None:
        """Records what a failed reply means for the next attempt.

        After a refusal by the owner, the same target may be tried through
        another owner.
        """
        if reply.code == "died":
            self.target_died = True
        if reply.code == "wrong_snapshot":
            self.wrong_snapshot = True
        if retries.is_owner_refusal(reply):
            self.refused_owners.add((reply.target, reply.owner))
            self.tried.discard(reply.target)

    def schedule_retry(self) -> None:
        """Marks a retry as scheduled and makes all targets eligible again."""
        self.retry_pending = True
        self.tried.clear()

    def find_open(self, attempt_id: str) -> SegmentAttempt | None:
        """Returns the attempt with this id if its reply is pending."""
        for attempt in self.attempts:
            if attempt.attempt_id == attempt_id and attempt.open:
                return attempt
        return None

    def list_open(self) -> list[SegmentAttempt]:
        """Returns the attempts whose reply is pending."""
        return [attempt for attempt in self.attempts if attempt.open]


class Route:
    """A query, its snapshot and its segments.

    Only the routing controller changes it, in place. It is in the section
    ``routes`` while the query runs.

    Attributes:
      query: The caller's query.
      lookup: Its declared lookup.
      fingerprint: Hash of lookup, key and parameters.
      deadline: When to answer with the replies so far, monotonic seconds.
      requested_ranges: Requested key range by service.
      snapshot: Index and map version that all segments are read at.
      segments: The segments of the plan.
      deferred_segments: Segments that are deferred until the canary answers.
      by_attempt: Segment by attempt id.
      unfinished_count: Number of segments without a reply that are not given
        up.
      ended_verdicts: Verdicts of attempts made before a restart.
      tried_snapshots: Snapshots that were abandoned in a restart.
      detail: The last failure, for people.
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
        """Sets snapshot and segments; keeps the verdicts of earlier attempts.

        The segments of a keyed lookup are reduced to the requested key.
        """
        self.ended_verdicts = list(self.list_verdicts())
        self.snapshot = plan.snapshot
        self.segments = [Segment(plan=p) for p in self._clip(plan.segments)]
        self.deferred_segments = []
        self.by_attempt = {}
        self.unfinished_count = len(self.segments)

    def has_target_death(self) -> bool:
        """Returns whether a target died during an attempt."""
        return any(segment.target_died for segment in self.segments)

    def give_up(self, segment: Segment) -> None:
        """Ends a segment that has no reply."""
        if not segment.is_finished:
            segment.given_up = True
            self.unfinished_count -= 1

    def list_verdicts(self) -> list[verdicts.Verdict]:
        """Returns the verdict of every attempt made for the query."""
        current = [a.verdict for s in self.segments for a in s.attempts]
        return self.ended_verdicts + current

    def list_parts(self) -> list[tuple[str, replies.SubReply]]:
        """Returns service and reply of each segment that has a reply."""
        return [
            (segment.plan.service, segment.part)
            for segment in self.segments
            if segment.part is not None
        ]

    def _clip(
        self, plans: tuple[snapshots.SegmentPlan, ...]
    ) -> list[snapshots.SegmentPlan]:
        """Returns the plans, for a keyed lookup only those of its key."""
        if not self.lookup.keyed:
            return list(plans)
        return [
            plan.replace(key_range=self.requested_ranges[plan.service])
            for plan in plans
            if plan.key_range.contains(self.requested_ranges[plan.service])
        ]
