"""Makes the attempts of requests: first ones, hedges and retries."""

import heapq
import itertools
import logging
import math
import random
import typing

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import metrics
from bramleyfork.entry.controllers import _carrier_selector
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import hedges

_LOG = logging.getLogger("bramleyfork.decisions")

# Pauses before a target of the same shard is asked again after a failure, and
# before a shard without target is looked at again.
_RETRY_PAUSE_S = 0.005
_NO_TARGET_PAUSE_S = 0.02
_RETRY_GROWTH = 2.0
# Most sends per shard; failures that did not run don't count as attempts, and
# this bounds how often they are repeated.
_SEND_LIMIT = 6
_HEDGE_STEP_S = 0.002  # Hedges of a request are sent together in such steps.


class Timers:
    """What is due when, for requests under way."""

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list[tuple[float, int, str, int]] = []
        self._order = itertools.count()

    def schedule(
        self, at: float, kind: str, exchange: _exchange.Exchange
    ) -> None:
        """Plans a timer of a kind for a request."""
        heapq.heappush(
            self._heap, (at, next(self._order), kind, exchange.request.key)
        )

    def pop_due(self, now: float) -> tuple[str, int] | None:
        """Returns kind and request key of the next due timer, or None."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def find_next(self) -> float | None:
        """Returns when the next timer is due."""
        return self._heap[0][0] if self._heap else None


class Dispatcher:
    """Chooses targets and sends; keeps the attempts under way.

    Args:
      target_selector: Ranks targets and keeps budgets.
      carriers: Chooses hosts that make attempts in other data centres.
      writers: Writers of the sections "sends", "via_sends", "aborts" and
        "target_faults".
      counters: Metrics of the process.
      rng: Source of randomness.

    Attributes:
      now: Monotonic time of the current step.
      attempts: Attempts under way by number.
      route_latencies: How fast the sub-requests of each route are answered.
      timers: What is due when.
    """

    __slots__ = (
        "now",
        "attempts",
        "route_latencies",
        "timers",
        "target_selector",
        "carriers",
        "_writers",
        "_metrics",
        "_random",
        "_numbers",
    )

    def __init__(
        self,
        *,
        target_selector: _target_selector.TargetSelector,
        carriers: _carrier_selector.CarrierSelector,
        writers: dict[str, typing.Any],
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self.now = 0.0
        self.attempts: dict[int, _exchange.Attempt] = {}
        self.route_latencies = hedges.RouteLatencyTable()
        self.timers = Timers()
        self.target_selector = target_selector
        self.carriers = carriers
        self._writers = writers
        self._metrics = counters
        self._random = rng
        self._numbers = itertools.count(1)

    def send_all(self, exchange: _exchange.Exchange) -> None:
        """Makes the first attempts, in other data centres through a host."""
        chosen = []
        by_data_centre: dict[str, int] = {}
        for shard in exchange.shards:
            target = self.target_selector.choose(
                exchange.route, shard, self.now
            )
            if target is None:
                # A target may come into use while there is time.
                shard.fault = "no_target"
                self.schedule_retry(exchange, shard)
                continue
            data_centre = self.target_selector.find_remote_data_centre(target)
            chosen.append((shard, target, data_centre))
            by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
        carrier_addresses = {
            data_centre: self._choose_carrier(exchange, data_centre, count)
            for data_centre, count in by_data_centre.items()
            if data_centre
        }
        for shard, target, data_centre in chosen:
            self._send(
                exchange,
                shard,
                target,
                carrier_address=carrier_addresses.get(data_centre),
            )

    def _choose_carrier(
        self, exchange: _exchange.Exchange, data_centre: str, count: int
    ) -> tuple[str, int] | None:
        route, request = exchange.route, exchange.request
        if (
            not route.shards
            or route.regions
            or count < _carrier_selector.MIN_ATTEMPTS
            or len(request.body) > _carrier_selector.MAX_BODY_BYTES
        ):
            return None
        carrier_address = self.carriers.choose(
            data_centre, request.key, self.now
        )
        if carrier_address is not None:
            self.carriers.record_sent(carrier_address, self.now)
        return carrier_address

    def send_first(
        self, exchange: _exchange.Exchange, shard: _exchange.Shard
    ) -> None:
        """Makes the first attempt at a shard that had no target before."""
        target = self.target_selector.choose(exchange.route, shard, self.now)
        if target is None:
            shard.fault = "no_target"
            self.schedule_retry(exchange, shard)
            return
        self._send(exchange, shard, target)

    def _send(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        target: declarations.ListedTarget,
        *,
        carrier_address: tuple[str, int] | None = None,
    ) -> None:
        attempt = _exchange.Attempt(
            number=next(self._numbers),
            target=target,
            shard=shard,
            sent_at=self.now,
            exchange=exchange,
            carrier_address=carrier_address,
        )
        shard.attempts.append(attempt)
        shard.tried.add(target.target)
        shard.sends += 1
        shard.delivered_attempts += 1
        shard.retry_at = None
        self.attempts[attempt.number] = attempt
        self.target_selector.record_sent(attempt, self.now)
        self._schedule_hedge(exchange, shard, attempt)
        if carrier_address is not None:
            self._hand_over(exchange, attempt)
            return
        self._writers["sends"].append(
            exchanges.TargetRequest(
                attempt=attempt.number,
                request=exchange.request,
                target=target,
                deadline_at=exchange.deadline_at,
                connection_limit=self.target_selector.limits.find(target),
                may_reuse_connection=exchange.route.idempotent,
            )
        )

    def _hand_over(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Lets another host make an attempt."""
        route = exchange.route
        exchange.carried[attempt.number] = attempt.shard
        flush_s = self.route_latencies.find(route).find_flush_delay(route.aim_s)
        self._writers["via_sends"].append(
            carrier_records.CarrierRequest(
                attempt=attempt.number,
                request=exchange.request,
                target=attempt.target,
                deadline_at=exchange.deadline_at,
                carrier_address=attempt.carrier_address,
                record_limit=route.record_limit,
                flush_s=flush_s,
            )
        )

    def _schedule_hedge(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        attempt: _exchange.Attempt,
    ) -> None:
        route = exchange.route
        if not route.idempotent or len(shard.tried) >= route.attempts:
            return
        delay = self.route_latencies.find(route).find_hedge_delay(
            route.aim_s, self.target_selector.find_distance(attempt.target)
        )
        # Shards whose hedges are due at about the same time share a timer.
        shard.hedge_at = self.now + delay
        last = exchange.hedge_times
        due = math.ceil(shard.hedge_at / _HEDGE_STEP_S) * _HEDGE_STEP_S
        if due not in last:
            last.add(due)
            self.timers.schedule(due, "hedge", exchange)

    def send_extra(
        self, exchange: _exchange.Exchange, shard: _exchange.Shard
    ) -> bool:
        """Sends one more attempt if a target and the budget allow it."""
        if shard.sends >= _SEND_LIMIT:
            return False
        target = self.target_selector.choose(exchange.route, shard, self.now)
        if target is None:
            return False
        # The first attempt that reaches a target is none beyond the first.
        if (
            shard.delivered_attempts
            and not self.target_selector.try_withdraw_extra(shard, self.now)
        ):
            self._metrics.count("extras_over_budget")
            return False
        self._send(exchange, shard, target)
        return True

    def schedule_retry(
        self, exchange: _exchange.Exchange, shard: _exchange.Shard
    ) -> None:
        """Plans the next attempt at a shard, or gives it up."""
        pause = _NO_TARGET_PAUSE_S
        if shard.sends:
            pause = _RETRY_PAUSE_S * _RETRY_GROWTH ** min(shard.sends, 5)
        pause *= 0.5 + self._random.random()
        shard.retry_at = self.now + pause
        if shard.retry_at >= exchange.deadline_at:
            shard.is_given_up = True
            return
        self.timers.schedule(shard.retry_at, "retry", exchange)

    def abort_attempts(self, shard: _exchange.Shard) -> None:
        """Ends the attempts of a shard that nobody waits for."""
        for attempt in shard.attempts:
            self.attempts.pop(attempt.number, None)
            shard.verdicts.append(verdicts.Verdict.MAY_HAVE_RUN)
            self.avoid_silent_carrier(attempt)
            fault = self.target_selector.record_aborted(attempt, self.now)
            if fault is not None:
                self._writers["target_faults"].append(fault)
            self._writers["aborts"].append(attempt.number)
        shard.attempts.clear()

    def avoid_silent_carrier(self, attempt: _exchange.Attempt) -> None:
        """Avoids the host that makes an attempt if it stands still."""
        if attempt.carrier_address is None:
            return
        if self.carriers.avoid_if_silent(attempt.carrier_address, self.now):
            self._metrics.count("carriers_silent")
            _LOG.info(
                "carrier silent",
                extra={
                    "request": attempt.exchange.request.request_id.decode(
                        "latin-1"
                    ),
                    "via": attempt.carrier_address,
                },
            )


def may_retry(route: declarations.Route, shard: _exchange.Shard) -> bool:
    """Returns whether a shard may be asked again after a failure.

    A route's attempts bound how many targets are asked. One of these may be
    asked again if it may be that it didn't answer by chance: the parts of a
    gather are of use from any of them, and a single request's whole failure is
    the answer of its target.
    """
    ran = sum(v is not verdicts.Verdict.NOT_RUN for v in shard.verdicts)
    if not route.idempotent and ran:
        return False
    if shard.sends >= _SEND_LIMIT:
        return False
    if ran < route.attempts:
        return True
    is_answer = shard.failure is not None and not route.shards
    return route.attempts > 1 and not is_answer
