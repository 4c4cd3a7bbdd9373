"""The controller that forwards requests to targets and answers callers."""

import logging
import random

from bramleyfork.core import registries
from bramleyfork.core import verdicts
from bramleyfork.entry import carriage
from bramleyfork.entry import exchanges
from bramleyfork.entry import parts
from bramleyfork.entry.controllers import _admission
from bramleyfork.entry.controllers import _beginnings
from bramleyfork.entry.controllers import _carrier_choice
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.controllers import _dispatcher
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _outcomes
from bramleyfork.entry.controllers import _refusals
from bramleyfork.entry.controllers import _target_choice
from bramleyfork.entry.decisions import gathers
from bramleyfork.entry.decisions import matching
from bramleyfork.entry.decisions import switching

_LOG = logging.getLogger("bramleyfork.decisions")

# Sections that the dispatcher writes.
_SENDING = ("sends", "via_sends", "aborts", "target_faults")

_TIMERS: registries.Registry = registries.Registry(kind="exchange timer")


@parts.register(
    parts.CONTROLLERS,
    "exchanges",
    reads=(
        "requests",
        "departures",
        "replies",
        "via_replies",
        "via_failures",
        "route_table",
    ),
    peeks=(
        "usable",
        "members",
        "listed_targets",
        "feed_state",
    ),
    writes=("sends", "via_sends", "aborts", "responses", "target_faults"),
)
class Exchanges(parts.Part):
    """Routes requests, sends attempts, merges parts and writes responses."""

    __slots__ = (
        "_open",
        "_dispatcher",
        "_switch",
        "_beginnings",
        "_admission",
        "_refusals",
        "_random",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._open: dict[int, _exchange.Exchange] = {}
        self._switch = switching.Switch()
        self._random = random.Random(self.context.incarnation)
        self._dispatcher = _dispatcher.Dispatcher(
            choice=_target_choice.TargetChoice(
                context=self.context,
                usable=self.table("usable"),
                limits=_connection_limits.ConnectionLimits(
                    settings=self.context.settings,
                    members=self.table("members"),
                    routes=self.table("route_table"),
                ),
                listed=self.table("listed_targets"),
            ),
            carriers=_carrier_choice.CarrierChoice(
                members=self.table("members")
            ),
            writers={name: self.writer(name) for name in _SENDING},
            counters=self.context.metrics,
            source=self._random,
        )
        self._admission = _admission.Admission(
            choice=self._dispatcher.choice, pace=self._dispatcher.pace
        )
        self._refusals = _refusals.Refusals(
            writer=self.writer("responses"),
            feed_state=self.table("feed_state"),
            counters=self.context.metrics,
        )
        self._beginnings = _beginnings.Beginnings(
            pace=self._dispatcher.pace, source=self._random
        )
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Handles disconnected callers, replies, requests and due timers."""
        self._now = now
        self._dispatcher.now = now
        self._switch.note(self.table("route_table").get("current"), now)
        for key in self.take("departures"):
            self._drop(key)
        for reply in self.take("replies") + self.take("via_failures"):
            self._take_reply(reply)
        for merged in self.take("via_replies"):
            self._take_merged(merged)
        for request in self.take("requests"):
            self._begin(request)
        timers = self._dispatcher.timers
        while (due := timers.take_due(now)) is not None:
            kind, key = due
            exchange = self._open.get(key)
            if exchange is not None:
                _TIMERS.find(kind)(self, exchange)
        return timers.find_next()

    # New requests.

    def _begin(self, request: exchanges.CallerRequest) -> None:
        table = self._switch.find(
            self.table("route_table").get("current"),
            self._dispatcher.choice.is_reachable,
            self._now,
        )
        if table is None:
            self._refuse(request, "no_routes", 503)
            return
        route = matching.find_route(table, request.host, request.path)
        if route is None:
            self._refuse(request, "no_route", 404)
            return
        exchange = self._beginnings.build(request, route, table)
        choice = self._dispatcher.choice
        for shard in exchange.shards:
            choice.note_request(shard.service, self._now)
        missing = choice.list_without_target(exchange)
        if len(exchange.shards) - len(missing) < exchange.least:
            self._refuse(
                request, "no_targets", 503, route=route, without_target=missing
            )
            return
        if exchange.deadline_at <= self._now:
            self._refuse(request, "deadline_past", 504, route=route)
            return
        self._admission.note_arrived(exchange, self._now)
        excess = self._admission.find_excess(exchange, self._now)
        if excess is not None:
            self._refuse(request, "overloaded", 503, route=route, excess=excess)
            return
        self._send(exchange)

    def _refuse(
        self,
        request: exchanges.CallerRequest,
        reason: str,
        status: int,
        **details,
    ) -> None:
        self._refusals.refuse(request, reason, status, self._now, **details)

    def _send(self, exchange: _exchange.Exchange) -> None:
        self._open[exchange.request.key] = exchange
        self._admission.note_begun(exchange)
        self.context.metrics.count("requests_started")
        self._dispatcher.send_all(exchange)
        self._dispatcher.timers.plan(exchange.deadline_at, "deadline", exchange)
        if exchange.route.shards:
            self._dispatcher.timers.plan(exchange.aim_at, "review", exchange)
        self._review(exchange)

    # Replies.

    def _take_reply(self, reply: exchanges.Reply) -> None:
        attempt = self._dispatcher.attempts.pop(reply.attempt, None)
        if attempt is None:
            return
        exchange, shard = attempt.exchange, attempt.shard
        shard.attempts.remove(attempt)
        shard.verdicts.append(reply.verdict)
        is_good = not reply.fault and 200 <= reply.status < 300
        if _outcomes.has_not_arrived(reply):
            shard.arrivals -= 1
        if reply.fault == "carrier":
            self._dispatcher.carriers.note_fault(attempt.via, self._now)
        fault = self._dispatcher.choice.note_reply(attempt, reply, self._now)
        if fault is not None:
            self.writer("target_faults").append(fault)
        if is_good and shard.reply is None:
            shard.reply = reply
            exchange.included += 1
            self._note_latency(attempt)
            self._dispatcher.abort_attempts(shard)
            self._review(exchange)
            return
        self._note_failure(exchange, shard, attempt, reply)
        if not shard.attempts:
            self._retry(exchange, shard)
        self._review(exchange)

    def _take_merged(self, merged: carriage.MergedReply) -> None:
        """Handles the replies of some shards that a carrier has merged.

        Merged records can't be separated again, so this reply replaces that of
        a shard which has meanwhile replied directly.
        """
        self._dispatcher.carriers.note_reply(merged.via)
        exchange = self._open.get(merged.key)
        if exchange is None:
            return
        if not all(number in exchange.carried for number, _ in merged.parts):
            _LOG.warning(
                "carrier reply discarded: it contains unknown attempts",
                extra={"via": merged.via},
            )
            return
        exchange.merged.append(merged.body)
        for number, stamp in merged.parts:
            shard = exchange.carried[number]
            reply = exchanges.Reply(
                attempt=number,
                verdict=verdicts.Verdict.RAN,
                status=200,
                stamp=stamp,
            )
            attempt = self._dispatcher.attempts.pop(number, None)
            if attempt is not None:
                shard.attempts.remove(attempt)
                self._dispatcher.choice.note_reply(attempt, reply, self._now)
                self._note_latency(attempt)
            if shard.reply is None:
                exchange.included += 1
            shard.reply = reply
            shard.verdicts.append(reply.verdict)
            self._dispatcher.abort_attempts(shard)
        self._review(exchange)

    def _note_latency(self, attempt: _exchange.Attempt) -> None:
        distance = self._dispatcher.choice.find_distance(attempt.target)
        pace = self._dispatcher.pace.find(attempt.exchange.route)
        pace.by_distance[distance].record(self._now - attempt.sent_at)

    def _note_failure(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        attempt: _exchange.Attempt,
        reply: exchanges.Reply,
    ) -> None:
        word = reply.fault or f"status_{reply.status}"
        exchange.faults[word] = exchange.faults.get(word, 0) + 1
        shard.fault = word
        if not reply.fault:
            shard.failure = reply
        self.context.metrics.count("attempts_failed", word)
        _LOG.info(
            "attempt failed",
            extra={
                "request": exchange.request.request_id.decode("latin-1"),
                "service": shard.service,
                "target": attempt.target.target,
                "fault": word,
                "verdict": reply.verdict.value,
                "after_ms": round((self._now - attempt.sent_at) * 1000, 1),
            },
        )

    def _retry(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
    ) -> None:
        if not _dispatcher.may_repeat(exchange.route, shard):
            shard.is_lost = True
            return
        exchange.retries += 1
        # Another target is tried at once, the same one after a delay.
        asks_another = self._dispatcher.choice.has_untried(
            exchange.route, shard
        )
        if asks_another and self._dispatcher.send_extra(exchange, shard):
            return
        self._dispatcher.plan_retry(exchange, shard)

    # Timers.

    @_TIMERS.register("hedge")
    def _hedge(self, exchange: _exchange.Exchange) -> None:
        if not exchange.route.idempotent:
            return
        for shard in exchange.shards:
            if shard.reply is not None or len(shard.attempts) != 1:
                continue
            if shard.hedge_at is None or shard.hedge_at > self._now:
                continue
            shard.hedge_at = None
            self._dispatcher.check_carrier(shard.attempts[0])
            if not self._dispatcher.choice.has_untried(exchange.route, shard):
                continue
            if self._dispatcher.send_extra(exchange, shard):
                exchange.hedges += 1

    @_TIMERS.register("retry")
    def _retry_due(self, exchange: _exchange.Exchange) -> None:
        for shard in exchange.shards:
            if shard.retry_at is None or shard.retry_at > self._now:
                continue
            shard.retry_at = None
            if not shard.may_come() or shard.attempts:
                continue
            if shard.sends == 0:
                self._dispatcher.send_first(exchange, shard)
            elif not self._dispatcher.send_extra(exchange, shard):
                self._dispatcher.plan_retry(exchange, shard)
        self._review(exchange)

    @_TIMERS.register("review")
    def _review(self, exchange: _exchange.Exchange) -> None:
        """Answers a request if its answer is ready or won't improve in time."""
        if exchange.is_done:
            return
        pending = sum(1 for shard in exchange.shards if shard.may_come())
        if not exchange.route.shards:
            if exchange.included or not pending:
                self._finish(exchange)
            return
        verdict, again_at = gathers.decide(
            now=self._now,
            included=exchange.included,
            pending=pending,
            total=len(exchange.shards),
            least=exchange.least,
            aim_at=exchange.aim_at,
            late_at=exchange.late_at,
            deadline_at=exchange.deadline_at,
        )
        if verdict != gathers.WAIT:
            self._finish(exchange)
        elif again_at is not None and again_at == exchange.late_at:
            self._dispatcher.timers.plan(again_at, "review", exchange)

    @_TIMERS.register("deadline")
    def _expire(self, exchange: _exchange.Exchange) -> None:
        for shard in exchange.shards:
            if shard.reply is None:
                shard.is_lost = True
        self._finish(exchange)

    # Completion.

    def _finish(self, exchange: _exchange.Exchange) -> None:
        if exchange.is_done:
            return
        exchange.is_done = True
        outcome = _outcomes.build_outcome(
            exchange, self.context.dialect, self._now
        )
        self._close(exchange)
        self.writer("responses").append(outcome.response)
        self.context.metrics.count("requests_finished", outcome.word)
        self.context.metrics.observe(
            "request_duration_seconds",
            self._now - exchange.request.received_at,
        )
        _LOG.info(
            "request answered",
            extra=_outcomes.describe(exchange, outcome, self._now),
        )

    def _drop(self, key: int) -> None:
        exchange = self._open.get(key)
        if exchange is None:
            return
        exchange.is_done = True
        self._close(exchange)
        self.context.metrics.count("requests_finished", "caller_left")
        _LOG.info(
            "caller disconnected",
            extra=_outcomes.describe(exchange, None, self._now),
        )

    def _close(self, exchange: _exchange.Exchange) -> None:
        del self._open[exchange.request.key]
        self._admission.note_ended(exchange)
        for shard in exchange.shards:
            self._dispatcher.abort_attempts(shard)
