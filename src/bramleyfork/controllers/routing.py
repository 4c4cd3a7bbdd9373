"""The controller that runs queries as sub-requests to targets.

It splits a query into segments, sends a sub-request for each through an owner
of the target, and merges the replies into the answer to the caller.
"""

import logging

from bramleyfork.configuration import settings as settings_module
from bramleyfork.controllers import _canary
from bramleyfork.controllers import _dispatch
from bramleyfork.controllers import _fleet_view
from bramleyfork.controllers import _route
from bramleyfork.controllers import _sender
from bramleyfork.controllers import _tickets
from bramleyfork.controllers import _timers
from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import answers
from bramleyfork.decisions import canaries
from bramleyfork.decisions import fingerprints
from bramleyfork.decisions import query_admission
from bramleyfork.decisions import retries
from bramleyfork.decisions import snapshots

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

# Time reserved before the caller's deadline to build and send the answer.
_ANSWER_MARGIN_S = 0.01
# Time that deferred segments wait after the canary has failed, so that a
# quarantine notice can arrive from a host that lost a target to the request.
_NOTICE_WAIT_S = 0.05
# Fraction of a query's time limit that must remain for a restart on a newer
# snapshot.
_MIN_RESTART_FRACTION = 0.5


@controllers.register(
    "routing",
    reads=("queries", "subreplies", "peer_subreplies", "declaration"),
    passive_reads=("targets", "members", "lease", "quarantine"),
    writes=("subrequests", "answers", "routes", "sightings", "tickets"),
    loop=controllers.REQUEST_LOOP,
)
class RoutingController(controllers.Controller):
    """Runs each query on one snapshot and answers it by its deadline.

    Attributes:
      counters: Numbers of hedges, retries, restarts and late replies.
    """

    __slots__ = (
        "counters",
        "_view",
        "_sender",
        "_tickets",
        "_timers",
        "_trusted",
        "_dispatcher",
        "_gate",
        "_answers",
    )

    settings: settings_module.Settings

    def start(self) -> None:
        """Sets the initial state."""
        self.counters = dict.fromkeys(
            ("hedges", "retries", "restarts", "late_replies"), 0
        )
        self._view = _fleet_view.FleetView(
            host=self.settings.host, seed=self.settings.incarnation
        )
        self._sender = _sender.Sender(
            host=self.settings.host,
            incarnation=self.settings.incarnation,
            view=self._view,
            members=self.get_table("members"),
        )
        self._tickets = _tickets.UsedTickets(
            settings=self.settings,
            table=self.get_table("tickets"),
            writer=self.get_writer("tickets"),
        )
        self._timers = _timers.Timers()
        self._trusted = canaries.TrustedFingerprints()
        self._dispatcher = _dispatch.Dispatcher(
            view=self._view,
            sender=self._sender,
            timers=self._timers,
            trusted=self._trusted,
            counters=self.counters,
        )
        self._gate = _canary.CanaryGate(
            dispatcher=self._dispatcher,
            timers=self._timers,
            trusted=self._trusted,
            quarantine=self.get_table("quarantine"),
        )
        self._answers: list[replies.Answer] = []

    def step(self, now: float) -> float | None:
        """Handles replies, starts queries and runs due timers.

        Returns:
          When the next timer is due, monotonic seconds, or None.
        """
        self._apply_declaration()
        for reply in self.read_new_records("subreplies"):
            if reply.router == self.settings.host:
                self._handle_reply(reply, now)
        for reply in self.read_new_records("peer_subreplies"):
            self._handle_reply(reply, now)
        for query in self.read_new_records("queries"):
            self._start_route(query, now)
        for kind, query_id, index in self._timers.pop_due(now):
            self._run_timer(kind, query_id, index, now)
        self.get_writer("subrequests").extend(self._sender.pop_outgoing())
        self.get_writer("answers").extend(self._answers)
        self._answers = []
        return self._timers.find_next()

    def _apply_declaration(self) -> None:
        active = self.get_table("declaration").get("in_force")
        if active is None or active.declaration is self._view.declaration:
            return
        self._view.use_declaration(active.declaration)
        self._dispatcher.use_declaration(active.declaration)

    # Start of a query.

    def _start_route(self, query: requests.Query, now: float) -> None:
        """Refuses a query, or plans it and sends the first attempts."""
        refusal = query_admission.find_refusal(
            query,
            declaration=self._view.declaration,
            lease=self.get_table("lease").get("current"),
            host=self.settings.host,
            now=now + _ANSWER_MARGIN_S,
        )
        if refusal is not None:
            self._answers.append(refusal)
            return
        route = _route.Route(
            query=query,
            lookup=self._view.declaration.lookups[query.lookup],
            fingerprint=fingerprints.compute_fingerprint(query),
            deadline=query.deadline - _ANSWER_MARGIN_S,
        )
        refusal = self._find_refusal(route, now)
        if refusal is not None:
            self._answers.append(refusal)
            return
        self.get_writer("routes").put(query.query_id, route)
        self._timers.add(route.deadline, _timers.FINISH, query.query_id, 0)
        self._use_plan(route, self._find_plan(route, frozenset(), now), now)

    def _find_refusal(
        self, route: _route.Route, now: float
    ) -> replies.Answer | None:
        """Returns a refusal of a quarantined request or of its ticket.

        Only a request that is not idempotent needs a ticket. A valid ticket is
        marked as used.
        """
        refusal = query_admission.find_quarantine_refusal(
            route.query.query_id,
            route.fingerprint,
            route.lookup.services,
            self.get_table("quarantine").copy_records(),
        )
        if refusal is not None or route.lookup.idempotent:
            return refusal
        accepted = self._tickets.accept(route.query, now)
        if isinstance(accepted, replies.Answer):
            return accepted
        self._timers.add(
            accepted.expires_at, _timers.EXPIRE_TICKET, "", accepted.number
        )
        return None

    def _find_plan(
        self,
        route: _route.Route,
        excluded: frozenset[requests.Snapshot],
        now: float,
    ) -> snapshots.QueryPlan:
        return self._view.find_plan(
            route.lookup,
            self.get_table("targets"),
            excluded,
            now,
        )

    def _use_plan(
        self, route: _route.Route, plan: snapshots.QueryPlan, now: float
    ) -> None:
        """Sets snapshot and segments and sends the first attempts."""
        route.use_plan(plan)
        if not route.segments:
            route.detail = "no usable target holds any of the requested keys"
            self._finish(route)
            return
        first = self._gate.choose_first_segments(route, now)
        chosen = [self._dispatcher.send(route, s, now) for s in first]
        _DECISION_LOG.info(
            "query routed",
            extra={
                "query": route.query.query_id,
                "lookup": route.lookup.name,
                "index_version": plan.snapshot.index_version,
                "map_version": plan.snapshot.map_version,
                "sent": [c for c in chosen if c is not None],
                "held_back": len(route.deferred_segments),
            },
        )
        self._finish_if_complete(route, now)

    # Timers.

    def _run_timer(
        self, kind: str, query_id: str, index: int, now: float
    ) -> None:
        if kind == _timers.EXPIRE_TICKET:
            self._tickets.remove_expired(index)
            return
        route = self.get_table("routes").get(query_id)
        if route is None:
            return
        if kind == _timers.FINISH:
            self._finish(route)
        elif kind == _timers.RELEASE:
            self._handle_release_timer(route, now)
        elif index < len(route.segments):
            self._run_segment_timer(kind, route, route.segments[index], now)

    def _handle_release_timer(self, route: _route.Route, now: float) -> None:
        """Handles the release timer of a query with deferred segments."""
        if not self._gate.handle_release_timer(route, now):
            self._finish(route)
            return
        self._finish_if_complete(route, now)

    def _run_segment_timer(
        self,
        kind: str,
        route: _route.Route,
        segment: _route.Segment,
        now: float,
    ) -> None:
        if kind == _timers.HEDGE:
            self._dispatcher.send_due_hedge(route, segment, now)
            return
        self._dispatcher.send_due_retry(route, segment, now)
        self._finish_if_complete(route, now)

    # Replies.

    def _handle_reply(self, reply: replies.SubReply, now: float) -> None:
        """Applies a reply to its segment.

        A reply whose attempt has ended is dropped and counted as late.
        """
        route = self.get_table("routes").get(reply.query_id)
        segment = route and route.by_attempt.get(reply.attempt_id)
        attempt = segment and segment.find_open(reply.attempt_id)
        if not attempt or attempt.target != reply.target:
            self.counters["late_replies"] += 1
            return
        if reply.code == "ok" and not answers.is_valid_part(
            reply, snapshot=route.snapshot, key_range=segment.plan.key_range
        ):
            reply = answers.reject_part(reply)
        attempt.open = False
        attempt.verdict = reply.verdict
        self._view.record_attempt_end(reply.target)
        if self._view.record_reply(reply, now - attempt.sent_at, now):
            self.get_writer("sightings").append(
                fleet.TargetObservation(
                    target=reply.target, report=reply.report, seen_at=now
                )
            )
        if segment.is_finished:
            return
        if reply.code == "ok":
            self._handle_part(route, segment, reply, now)
        else:
            self._handle_failure(route, segment, reply, now)
        self._finish_if_complete(route, now)

    def _handle_part(
        self,
        route: _route.Route,
        segment: _route.Segment,
        reply: replies.SubReply,
        now: float,
    ) -> None:
        """Finishes a segment with a valid reply; cancels its other attempts."""
        segment.part = reply
        route.unfinished_count -= 1
        for attempt in segment.list_open():
            elapsed_s = now - attempt.sent_at
            self._view.record_hedge_loss(attempt.target, elapsed_s, now)
        self._sender.cancel_open(segment)
        if route.deferred_segments:
            self._gate.release(route, now)

    def _handle_failure(
        self,
        route: _route.Route,
        segment: _route.Segment,
        reply: replies.SubReply,
        now: float,
    ) -> None:
        """Retries a segment, restarts the query, or gives the segment up."""
        route.detail = f"{segment.plan.service}: {reply.code} {reply.detail}"
        if reply.code == "quarantined":
            self._finish_quarantined(route)
            return
        segment.record_failure(reply)
        if segment.target_died:
            self._trusted.remove(route.fingerprint)
        if segment.list_open() or self._dispatcher.retry(
            route, segment, reply, now
        ):
            return
        snapshot_gone = segment.wrong_snapshot and segment.plan.is_confirmed
        if snapshot_gone and self._restart(route, now):
            return
        route.give_up(segment)

    def _restart(self, route: _route.Route, now: float) -> bool:
        """Restarts the whole query on a newer snapshot, if there is one.

        Returns:
          Whether the query was restarted.
        """
        total = route.query.deadline - route.query.received_at
        if route.deadline - now < _MIN_RESTART_FRACTION * total:
            return False
        excluded = frozenset(route.tried_snapshots | {route.snapshot})
        plan = self._find_plan(route, excluded, now)
        if plan.snapshot is None or plan.snapshot < route.snapshot:
            return False
        if not retries.may_restart(
            route.list_verdicts(), idempotent=route.lookup.idempotent
        ):
            return False
        self.counters["restarts"] += 1
        _DECISION_LOG.info(
            "query restarted on a newer snapshot",
            extra={"query": route.query.query_id},
        )
        for segment in route.segments:
            self._sender.cancel_open(segment)
        route.tried_snapshots.add(route.snapshot)
        self._use_plan(route, plan, now)
        return True

    # End of a query.

    def _finish_if_complete(self, route: _route.Route, now: float) -> None:
        """Finishes a query without unfinished segments.

        If only deferred segments are left, the canary has failed. The query
        then ends if a target died, else the release timer is set.
        """
        if route.unfinished_count == 0:
            self._finish(route)
        elif route.deferred_segments and route.unfinished_count == len(
            route.deferred_segments
        ):
            if route.has_target_death():
                self._finish(route)
                return
            # Another host may have lost the target to the same request, so
            # its quarantine notice gets time to arrive.
            due = now + _NOTICE_WAIT_S
            self._timers.add(due, _timers.RELEASE, route.query.query_id, 0)

    def _finish(self, route: _route.Route) -> None:
        """Answers a query with the replies so far."""
        answer = answers.build_answer(
            query_id=route.query.query_id,
            snapshot=route.snapshot,
            requested_ranges=route.requested_ranges,
            parts=route.list_parts(),
            attempts=route.list_verdicts(),
            detail=route.detail,
        )
        if answer.code == "ok":
            self._trusted.add(route.fingerprint)
        self._close(route, answer)

    def _finish_quarantined(self, route: _route.Route) -> None:
        self._trusted.remove(route.fingerprint)
        answer = answers.build_refusal(
            route.query.query_id,
            "quarantined",
            verdict=verdicts.combine_verdicts(route.list_verdicts()),
            detail=route.detail,
        )
        self._close(route, answer)

    def _close(self, route: _route.Route, answer: replies.Answer) -> None:
        """Removes a query, cancels its open attempts and sends the answer."""
        query_id = route.query.query_id
        if self.get_table("routes").get(query_id) is not route:
            return
        self.get_writer("routes").remove(query_id)
        for segment in route.segments:
            self._sender.cancel_open(segment)
        if not route.lookup.idempotent:
            self._tickets.record_verdict(query_id, answer.verdict)
        self._answers.append(answer)
        _DECISION_LOG.info(
            "query answered",
            extra={
                "query": query_id,
                "code": answer.code,
                "verdict": answer.verdict.value,
                "coverage": round(answer.coverage, 4),
                "detail": answer.detail,
            },
        )
