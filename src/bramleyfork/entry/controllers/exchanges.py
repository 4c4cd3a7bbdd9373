"""The controller that forwards requests to targets and answers callers."""

import collections.abc
import logging
import random
import typing

from bramleyfork.core import registries
from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _admission
from bramleyfork.entry.controllers import _arrival_checks
from bramleyfork.entry.controllers import _carrier_selector
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.controllers import _dispatcher
from bramleyfork.entry.controllers import _evidence
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _exchange_builder
from bramleyfork.entry.controllers import _outcomes
from bramleyfork.entry.controllers import _quarantine
from bramleyfork.entry.controllers import _refusals
from bramleyfork.entry.controllers import _replies
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import gathers
from bramleyfork.entry.decisions import matching
from bramleyfork.entry.decisions import switching

_LOG = logging.getLogger("bramleyfork.decisions")

# Sections that the dispatcher writes.
_DISPATCHER_SECTIONS = ("sends", "via_sends", "aborts", "target_faults")

_TIMER_HANDLERS: registries.Registry = registries.Registry(
    kind="exchange timer"
)


@components.register(
    components.CONTROLLERS,
    "exchanges",
    reads=(
        "requests",
        "departures",
        "replies",
        "via_replies",
        "via_failures",
        "route_table",
        "lifecycle",
    ),
    passive_reads=(
        "usable",
        "members",
        "listed_targets",
        "feed_state",
        "request_observations",
        "target_observations",
    ),
    writes=(
        "sends",
        "via_sends",
        "aborts",
        "responses",
        "target_faults",
        "request_findings",
    ),
)
class Exchanges(components.Component):
    """Routes requests, sends attempts, merges replies and writes responses."""

    __slots__ = (
        "_in_flight",
        "_dispatcher",
        "_switch",
        "_exchange_builder",
        "_admission",
        "_refusals",
        "_random",
        "_arrival_checks",
        "_reply_handler",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._in_flight: dict[int, _exchange.Exchange] = {}
        self._switch = switching.RouteTableSwitch()
        self._random = random.Random(self.context.incarnation)
        target_selector = self._build_target_selector()
        self._dispatcher = _dispatcher.Dispatcher(
            target_selector=target_selector,
            carriers=_carrier_selector.CarrierSelector(
                members=self.get_table("members")
            ),
            request_quarantine=_quarantine.Quarantine(
                reader=_evidence.EvidenceReader(
                    settings=self.context.settings,
                    known=self.get_table("request_observations"),
                    members=self.get_table("members"),
                ),
                has_target=target_selector.has_usable_target,
                writer=self.get_writer("request_findings"),
            ),
            writers={
                name: self.get_writer(name) for name in _DISPATCHER_SECTIONS
            },
            counters=self.context.metrics,
            rng=self._random,
        )
        self._admission = _admission.Admission(
            target_selector=self._dispatcher.target_selector,
            route_latencies=self._dispatcher.route_latencies,
        )
        self._refusals = _refusals.Refusals(
            writer=self.get_writer("responses"),
            feed_state=self.get_table("feed_state"),
            counters=self.context.metrics,
        )
        self._exchange_builder = _exchange_builder.ExchangeBuilder(
            route_latencies=self._dispatcher.route_latencies, rng=self._random
        )
        self._arrival_checks = _arrival_checks.ArrivalChecks(
            target_selector=self._dispatcher.target_selector,
            request_quarantine=self._dispatcher.quarantine,
            admission=self._admission,
        )
        self._reply_handler = _replies.ReplyHandler(
            dispatcher=self._dispatcher,
            fault_writer=self.get_writer("target_faults"),
            counters=self.context.metrics,
        )
        self._now = 0.0

    def _build_target_selector(self) -> _target_selector.TargetSelector:
        return _target_selector.TargetSelector(
            context=self.context,
            usable=self.get_table("usable"),
            limits=_connection_limits.ConnectionLimits(
                settings=self.context.settings,
                members=self.get_table("members"),
                routes=self.get_table("route_table"),
            ),
            listed=self.get_table("listed_targets"),
            known=self.get_table("target_observations"),
        )

    def step(self, now: float) -> float | None:
        """Handles disconnected callers, replies, requests and due timers."""
        self._now = now
        self._dispatcher.now = now
        self._switch.observe(self.get_table("route_table").get("current"), now)
        self._apply_phase()
        departed = set(self.read_new_records("departures"))
        for key in departed:
            self._contain(self._handle_disconnect, key)
        for reply in self.read_new_records("replies") + self.read_new_records(
            "via_failures"
        ):
            self._contain(self._handle_reply, reply)
        for merged in self.read_new_records("via_replies"):
            self._contain(self._handle_merged, merged)
        for request in self.read_new_records("requests"):
            if request.key in departed:
                self.context.metrics.count("requests_finished", "caller_left")
                continue
            if not self._contain(self._handle_request, request):
                self._fail_request(request)
        timers = self._dispatcher.timers
        while (due := timers.pop_due(now)) is not None:
            kind, key = due
            exchange = self._in_flight.get(key)
            if exchange is None:
                continue
            is_handled = self._contain(
                _TIMER_HANDLERS.find(kind), self, exchange
            )
            if not is_handled and kind == "deadline":
                self._fail_request(exchange.request)
        return timers.find_next()

    def _apply_phase(self) -> None:
        """Bounds the deadlines of all requests once the process will stop."""
        phase = self.get_table("lifecycle").get("current")
        checks = self._arrival_checks
        if phase is None or phase.answer_by == checks.answer_by:
            return
        checks.answer_by = phase.answer_by
        for exchange in self._in_flight.values():
            if exchange.deadline_at > phase.answer_by:
                exchange.deadline_at = phase.answer_by
                self._dispatcher.timers.schedule(
                    phase.answer_by, "deadline", exchange
                )

    def _contain(
        self, handle: collections.abc.Callable[..., None], *args: typing.Any
    ) -> bool:
        """Handles one record; returns False if that raised an exception.

        An unexpected exception concerns one request only. The other records of
        the step are handled, and the deadline ends a request that was in
        flight.
        """
        try:
            handle(*args)
        except Exception:
            self.context.metrics.count("records_failed", handle.__name__)
            _LOG.exception("record failed", extra={"handler": handle.__name__})
            return False
        return True

    def _fail_request(self, request: exchanges.CallerRequest) -> None:
        """Answers a request whose handling raised an exception.

        Attempts may have been sent, so the answer doesn't promise anything.
        """
        exchange = self._in_flight.get(request.key)
        if exchange is not None:
            exchange.is_done = True
            self._close(exchange)
        refusal = _refusals.Refusal(
            reason="internal_error",
            status=500,
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
        self._refusals.refuse(request, refusal, self._now)

    # New requests.

    def _handle_request(self, request: exchanges.CallerRequest) -> None:
        table = self._switch.select(
            self.get_table("route_table").get("current"),
            self._dispatcher.target_selector.has_usable_target,
            self._now,
        )
        if table is None:
            self._refuse(request, "no_routes", 503)
            return
        route = matching.find_route(table, request.host, request.path)
        if route is None:
            self._refuse(request, "no_route", 404)
            return
        exchange = self._exchange_builder.build(request, route, table)
        for shard in exchange.shards:
            self._dispatcher.target_selector.record_request(
                shard.service, self._now
            )
        refusal = self._arrival_checks.find_refusal(exchange, self._now)
        if refusal is not None:
            self._refusals.refuse(request, refusal, self._now)
            return
        answer_by = self._arrival_checks.answer_by
        if answer_by is not None:
            exchange.deadline_at = min(exchange.deadline_at, answer_by)
        self._send(exchange)

    def _refuse(
        self, request: exchanges.CallerRequest, reason: str, status: int
    ) -> None:
        refusal = _refusals.Refusal(reason=reason, status=status)
        self._refusals.refuse(request, refusal, self._now)

    def _send(self, exchange: _exchange.Exchange) -> None:
        self._in_flight[exchange.request.key] = exchange
        self._admission.record_admission(exchange)
        self.context.metrics.count("requests_started")
        self._dispatcher.send_all(exchange)
        self._dispatcher.timers.schedule(
            exchange.deadline_at, "deadline", exchange
        )
        if exchange.route.shards:
            self._dispatcher.timers.schedule(
                exchange.aim_at, "review", exchange
            )
        self._review(exchange)

    # Replies.

    def _handle_reply(self, reply: exchanges.Reply) -> None:
        exchange = self._reply_handler.handle(reply, self._now)
        if exchange is not None:
            self._review(exchange)

    def _handle_merged(self, merged: carrier_records.MergedReply) -> None:
        exchange = self._in_flight.get(merged.key)
        if self._reply_handler.handle_merged(merged, exchange, self._now):
            self._review(exchange)

    # Timers.

    @_TIMER_HANDLERS.register("hedge")
    def _send_due_hedges(self, exchange: _exchange.Exchange) -> None:
        if not exchange.route.idempotent:
            return
        for shard in exchange.shards:
            if shard.reply is not None or len(shard.attempts) != 1:
                continue
            if shard.hedge_at is None or shard.hedge_at > self._now:
                continue
            shard.hedge_at = None
            self._dispatcher.avoid_silent_carrier(shard.attempts[0])
            if not self._dispatcher.target_selector.has_untried_target(
                exchange.route, shard, self._now, is_hedge=True
            ):
                continue
            if self._dispatcher.send_extra(exchange, shard, is_hedge=True):
                exchange.hedges += 1

    @_TIMER_HANDLERS.register("retry")
    def _send_due_retries(self, exchange: _exchange.Exchange) -> None:
        for shard in exchange.shards:
            if shard.retry_at is None or shard.retry_at > self._now:
                continue
            shard.retry_at = None
            if not shard.is_pending() or shard.attempts:
                continue
            if self._dispatcher.quarantine.is_refused(exchange, self._now):
                exchange.give_up(shard)
            elif shard.attempt_count == 0:
                self._dispatcher.send_first(exchange, shard)
            elif not self._dispatcher.send_extra(exchange, shard):
                self._dispatcher.schedule_retry(exchange, shard)
        self._review(exchange)

    @_TIMER_HANDLERS.register("review")
    def _review(self, exchange: _exchange.Exchange) -> None:
        """Answers a request if its answer is ready or won't improve in time."""
        if exchange.is_done:
            return
        pending = exchange.count_pending()
        if not exchange.route.shards:
            if exchange.answered_shards or not pending:
                self._finish(exchange)
            return
        verdict, again_at = gathers.decide(
            now=self._now,
            included=exchange.answered_shards,
            pending=pending,
            total=len(exchange.shards),
            min_shards=exchange.min_shards,
            aim_at=exchange.aim_at,
            late_cutoff_at=exchange.late_cutoff_at,
            deadline_at=exchange.deadline_at,
        )
        if verdict != gathers.WAIT:
            self._finish(exchange)
        elif again_at is not None and again_at == exchange.late_cutoff_at:
            self._dispatcher.timers.schedule(again_at, "review", exchange)

    @_TIMER_HANDLERS.register("deadline")
    def _expire(self, exchange: _exchange.Exchange) -> None:
        for shard in exchange.shards:
            exchange.give_up(shard)
        self._finish(exchange)

    # Completion.

    def _finish(self, exchange: _exchange.Exchange) -> None:
        if exchange.is_done:
            return
        exchange.is_done = True
        outcome = _outcomes.build_outcome(
            exchange, self.context.header_names, self._now
        )
        self._close(exchange)
        self.get_writer("responses").append(outcome.response)
        self.context.metrics.count("requests_finished", outcome.label)
        self.context.metrics.observe(
            "request_duration_seconds",
            self._now - exchange.request.received_at,
        )
        _LOG.info(
            "request answered",
            extra=_outcomes.build_log_fields(exchange, outcome, self._now),
        )

    def _handle_disconnect(self, key: int) -> None:
        exchange = self._in_flight.get(key)
        if exchange is None:
            return
        exchange.is_done = True
        self._close(exchange)
        self.context.metrics.count("requests_finished", "caller_left")
        _LOG.info(
            "caller disconnected",
            extra=_outcomes.build_log_fields(exchange, None, self._now),
        )

    def _close(self, exchange: _exchange.Exchange) -> None:
        del self._in_flight[exchange.request.key]
        self._dispatcher.quarantine.record_failure(exchange)
        self._admission.record_completion(exchange)
        for shard in exchange.shards:
            self._dispatcher.abort_attempts(shard)
