"""Handles the results of attempts: keeps replies, retries after failures."""

import logging
import typing

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import metrics
from bramleyfork.entry.controllers import _dispatcher
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _outcomes
from bramleyfork.entry.decisions import gathers

_LOG = logging.getLogger("bramleyfork.decisions")

# Size up to which a shard's reply is kept as it is until the answer is merged.
_MAX_KEPT_PART_BYTES = 64 * 1024

# Faults of attempts whose connection ended before their reply was complete.
_LOST_FAULTS = frozenset(("lost", "ended"))


class ReplyHandler:
    """Adds the results of attempts to their requests.

    Args:
      dispatcher: Holds the attempts in flight and sends retries.
      fault_writer: Writer of the section "target_faults".
      counters: Metrics of the process.
    """

    __slots__ = ("_dispatcher", "_fault_writer", "_metrics")

    def __init__(
        self,
        *,
        dispatcher: _dispatcher.Dispatcher,
        fault_writer: typing.Any,
        counters: metrics.Metrics,
    ):
        self._dispatcher = dispatcher
        self._fault_writer = fault_writer
        self._metrics = counters

    def handle(
        self, reply: exchanges.Reply, now: float
    ) -> _exchange.Exchange | None:
        """Handles the result of one attempt.

        Returns:
          The request that the attempt belongs to, or None if its result isn't
          needed any more.
        """
        attempt = self._dispatcher.attempts.pop(reply.attempt, None)
        if attempt is None:
            self._handle_late(reply, now)
            return None
        exchange, shard = attempt.exchange, attempt.shard
        shard.attempts.remove(attempt)
        shard.verdicts.append(reply.verdict)
        is_good = not reply.fault and 200 <= reply.status < 300
        if _outcomes.is_undelivered(reply):
            shard.delivered_attempts -= 1
        if reply.fault == "carrier":
            self._dispatcher.carriers.start_cooldown(
                attempt.carrier_address, now
            )
        self._record_result(attempt, reply, now)
        if is_good and shard.reply is None:
            exchange.set_reply(shard, _limit_part(exchange.route, reply))
            self._record_latency(attempt, now)
            self._dispatcher.abort_attempts(shard)
            return exchange
        self._record_failure(attempt, reply, now)
        if not shard.attempts:
            self._retry(exchange, shard, now)
        return exchange

    def _record_result(
        self, attempt: _exchange.Attempt, reply: exchanges.Reply, now: float
    ) -> None:
        """Records what the result of an attempt says of request and target."""
        self._dispatcher.quarantine.record_reply(attempt, reply, now)
        fault = self._dispatcher.target_selector.record_reply(
            attempt, reply, now
        )
        if fault is not None:
            self._fault_writer.append(fault)

    def _handle_late(self, reply: exchanges.Reply, now: float) -> None:
        """Handles the result of an attempt that was aborted meanwhile.

        Only the end of its target matters.
        """
        attempt = self._dispatcher.aborted.pop(reply.attempt)
        if attempt is None or reply.fault != "ended":
            return
        self._record_result(attempt, reply, now)
        self._log_failure(attempt, reply, now)

    def handle_merged(
        self,
        merged: carrier_records.MergedReply,
        exchange: _exchange.Exchange | None,
        now: float,
    ) -> bool:
        """Handles the replies of some shards that a carrier has merged.

        Merged records can't be separated again, so this reply replaces that of
        a shard which has meanwhile replied directly.

        Args:
          merged: The replies.
          exchange: The request; None if it is not in flight any more.
          now: Monotonic time in seconds.

        Returns:
          Whether the replies were added to the request.
        """
        self._dispatcher.carriers.record_reply(merged.carrier_address)
        if exchange is None:
            return False
        if not all(
            number in exchange.shards_by_carrier_attempt
            for number, _ in merged.parts
        ):
            _LOG.warning(
                "carrier reply discarded: it contains unknown attempts",
                extra={"via": merged.carrier_address},
            )
            return False
        exchange.merged_bodies.append(merged.body)
        for number, stamp in merged.parts:
            shard = exchange.shards_by_carrier_attempt[number]
            reply = exchanges.Reply(
                attempt=number,
                verdict=verdicts.Verdict.RAN,
                status=200,
                stamp=stamp,
            )
            attempt = self._dispatcher.attempts.pop(number, None)
            if attempt is not None:
                shard.attempts.remove(attempt)
                self._dispatcher.quarantine.record_reply(attempt, reply, now)
                self._dispatcher.target_selector.record_reply(
                    attempt, reply, now
                )
                self._record_latency(attempt, now)
            exchange.set_reply(shard, reply)
            shard.verdicts.append(reply.verdict)
            self._dispatcher.abort_attempts(shard)
        return True

    def _record_latency(self, attempt: _exchange.Attempt, now: float) -> None:
        distance = self._dispatcher.target_selector.find_distance(
            attempt.target
        )
        route_latencies = self._dispatcher.route_latencies.find(
            attempt.exchange.route
        )
        route_latencies.latencies_by_distance[distance].record(
            now - attempt.sent_at
        )

    def _record_failure(
        self, attempt: _exchange.Attempt, reply: exchanges.Reply, now: float
    ) -> None:
        exchange, shard = attempt.exchange, attempt.shard
        fault = reply.fault or f"status_{reply.status}"
        exchange.faults[fault] = exchange.faults.get(fault, 0) + 1
        shard.fault = fault
        if not reply.fault:
            shard.failure = reply
        self._log_failure(attempt, reply, now)

    def _log_failure(
        self, attempt: _exchange.Attempt, reply: exchanges.Reply, now: float
    ) -> None:
        exchange = attempt.exchange
        fault = reply.fault or f"status_{reply.status}"
        self._metrics.count("attempts_failed", fault)
        fields = {
            "request": exchange.request.request_id.decode("latin-1"),
            "service": attempt.shard.service,
            "target": attempt.target.target,
            "fault": fault,
            "verdict": reply.verdict.value,
            "after_ms": round((now - attempt.sent_at) * 1000, 1),
        }
        if fault in _LOST_FAULTS:
            fields["fingerprint"] = exchange.find_fingerprint()
        _LOG.info("attempt failed", extra=fields)

    def _retry(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        now: float,
    ) -> None:
        if not _dispatcher.may_retry(
            exchange.route, shard
        ) or self._dispatcher.quarantine.is_refused(exchange, now):
            exchange.give_up(shard)
            return
        exchange.retries += 1
        # Another target is tried at once, the same one after a delay.
        has_another_target = (
            self._dispatcher.target_selector.has_untried_target(
                exchange.route, shard, now
            )
        )
        if has_another_target and self._dispatcher.send_extra(exchange, shard):
            return
        self._dispatcher.schedule_retry(exchange, shard)


def _limit_part(
    route: declarations.Route, reply: exchanges.Reply
) -> exchanges.Reply:
    """Returns the reply of a shard without records that can't be returned.

    Replies are kept until the answer is merged, so large ones would add up.
    """
    if not route.shards or len(reply.body) <= _MAX_KEPT_PART_BYTES:
        return reply
    return reply.replace(
        body=gathers.merge_records([reply.body], route.record_limit)
    )
