"""Builds the sub-requests and cancellations of the routing controller."""

from bramleyfork.controllers import _fleet_view
from bramleyfork.controllers import _route
from bramleyfork.core import blackboard
from bramleyfork.core import requests
from bramleyfork.decisions import fingerprints
from bramleyfork.decisions import owners


class Sender:
    """Chooses target and owner of each attempt and queues its sub-request.

    Args:
      host: Name of this host.
      incarnation: Incarnation of this process; makes attempt ids unique.
      view: Load, latency and health of targets and owners.
      members: The section ``members``.

    Attributes:
      outgoing: Sub-requests and cancellations that are not sent yet.
      sent: Number of attempts so far.
    """

    __slots__ = (
        "outgoing",
        "sent",
        "_host",
        "_incarnation",
        "_view",
        "_members",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        view: _fleet_view.FleetView,
        members: blackboard.Table,
    ):
        self.outgoing: list[requests.SubRequest | requests.Cancel] = []
        self.sent = 0
        self._host = host
        self._incarnation = incarnation
        self._view = view
        self._members = members

    def pop_outgoing(self) -> list[requests.SubRequest | requests.Cancel]:
        """Removes and returns the queued sub-requests and cancellations."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def choose(
        self, segment: _route.Segment, now: float
    ) -> tuple[str, str] | None:
        """Returns target and owner of the next attempt, or None.

        Targets that were tried already are left out.
        """
        found = {
            target: owner
            for target in segment.plan.candidates
            if target not in segment.tried
            and (owner := self._find_owner(segment, target, now)) is not None
        }
        # A replica whose best owner is unresponsive or suspect is chosen only
        # if there is no other.
        preferred = [
            t for t, (p, _) in found.items() if p < owners.UNRESPONSIVE_PENALTY
        ]
        target = self._view.choose_target(preferred or list(found), now)
        return None if target is None else (target, found[target][1])

    def choose_owner(
        self, segment: _route.Segment, target: str, now: float
    ) -> tuple[str, str] | None:
        """Returns the target with its best owner, or None without one."""
        found = self._find_owner(segment, target, now)
        return None if found is None else (target, found[1])

    def _find_owner(
        self, segment: _route.Segment, target: str, now: float
    ) -> tuple[int, str] | None:
        return self._view.find_owner(
            target, self._members, segment.refused_owners, now
        )

    def send(
        self,
        route: _route.Route,
        segment: _route.Segment,
        choice: tuple[str, str],
        now: float,
    ) -> None:
        """Records an attempt at a segment and queues its sub-request.

        Args:
          route: The query.
          segment: Its segment.
          choice: Target and owner.
          now: Monotonic seconds.
        """
        target, owner = choice
        self.sent += 1
        attempt = _route.SegmentAttempt(
            attempt_id=f"{self._host}.{self._incarnation}.{self.sent}",
            target=target,
            owner=owner,
            sent_at=now,
        )
        segment.attempts.append(attempt)
        segment.tried.add(target)
        route.by_attempt[attempt.attempt_id] = segment
        self._view.record_attempt_start(target)
        self.outgoing.append(self._build_request(route, segment, attempt))

    def cancel_open(self, segment: _route.Segment) -> None:
        """Cancels all unanswered attempts at a segment."""
        for attempt in segment.list_open():
            attempt.open = False
            self._view.record_attempt_end(attempt.target)
            self.outgoing.append(
                requests.Cancel(
                    attempt_id=attempt.attempt_id, owner=attempt.owner
                )
            )

    def _build_request(
        self,
        route: _route.Route,
        segment: _route.Segment,
        attempt: _route.SegmentAttempt,
    ) -> requests.SubRequest:
        return requests.SubRequest(
            attempt_id=attempt.attempt_id,
            query_id=route.query.query_id,
            router=self._host,
            owner=attempt.owner,
            target=attempt.target,
            service=segment.plan.service,
            lookup=route.lookup.name,
            key_range=segment.plan.key_range,
            snapshot=route.snapshot,
            parameters=route.query.parameters,
            urgent=route.lookup.urgent,
            idempotent=route.lookup.idempotent,
            deadline=route.deadline,
            fingerprint=fingerprints.build_service_fingerprint(
                route.fingerprint, segment.plan.service
            ),
            exclusive=segment.target_died or segment.exclusive,
        )
