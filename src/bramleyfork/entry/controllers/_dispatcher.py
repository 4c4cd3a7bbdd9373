"""Sends the attempts of requests: first attempts, hedges and retries."""

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
from bramleyfork.entry.controllers import _aborted_attempts
from bramleyfork.entry.controllers import _carrier_selector
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _quarantine
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import hedges

_LOG = logging.getLogger("bramleyfork.decisions")

# Base of the exponential backoff before a shard is retried after a failure.
_RETRY_BACKOFF_S = 0.005
# Mean delay before a shard that has had no attempt yet, for lack of a usable
# target, is tried again.
_NO_TARGET_DELAY_S = 0.02
_BACKOFF_FACTOR = 2.0  # Growth of the backoff per attempt.
# Attempts that did not run don't count against the limit of the route, so this
# bounds how often they are retried.
_MAX_ATTEMPTS_PER_SHARD = 6
# Hedge times are rounded up to a multiple of this, so that shards of a request
# share timers.
_HEDGE_STEP_S = 0.002


class Timers:
    """Priority queue of the timers of requests in flight."""

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list[tuple[float, int, str, int]] = []
        self._order = itertools.count()

    def schedule(
        self, at: float, kind: str, exchange: _exchange.Exchange
    ) -> None:
        """Schedules a timer for a request.

        Args:
          at: Monotonic time in seconds.
          kind: Name under which the handler of the timer is registered.
          exchange: The request.
        """
        heapq.heappush(
            self._heap, (at, next(self._order), kind, exchange.request.key)
        )

    def pop_due(self, now: float) -> tuple[str, int] | None:
        """Removes a due timer; returns its kind and request key, or None."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def find_next(self) -> float | None:
        """Returns the monotonic time of the next timer, or None."""
        return self._heap[0][0] if self._heap else None


class Dispatcher:
    """Chooses targets, sends attempts and keeps those in flight.

    Args:
      target_selector: Ranks targets and keeps retry budgets.
      carriers: Chooses carriers for attempts in other data centres.
      request_quarantine: Rules on requests that may crash targets.
      writers: Writers of the sections "sends", "via_sends", "aborts" and
        "target_faults".
      counters: Metrics of the process.
      rng: Random number generator.

    Attributes:
      now: Monotonic time of the current step, in seconds.
      attempts: Attempts in flight by number.
      aborted: Attempts that were aborted a short time ago.
      route_latencies: Latencies of sub-requests by route.
      timers: Timers of the requests in flight.
      target_selector: Ranks targets and keeps retry budgets.
      carriers: Chooses carriers for attempts in other data centres.
      quarantine: Rules on requests that may crash targets.
    """

    __slots__ = (
        "now",
        "attempts",
        "aborted",
        "route_latencies",
        "timers",
        "target_selector",
        "carriers",
        "quarantine",
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
        request_quarantine: _quarantine.Quarantine,
        writers: dict[str, typing.Any],
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self.now = 0.0
        self.attempts: dict[int, _exchange.Attempt] = {}
        self.aborted: _aborted_attempts.AbortedAttempts[_exchange.Attempt] = (
            _aborted_attempts.AbortedAttempts()
        )
        self.route_latencies = hedges.RouteLatencyTable()
        self.timers = Timers()
        self.target_selector = target_selector
        self.carriers = carriers
        self.quarantine = request_quarantine
        self._writers = writers
        self._metrics = counters
        self._random = rng
        self._numbers = itertools.count(1)

    def send_all(self, exchange: _exchange.Exchange) -> None:
        """Makes the first attempt at each shard of a request.

        Several attempts in one other data centre go through a carrier.
        """
        chosen = []
        by_data_centre: dict[str, int] = {}
        for shard in exchange.shards:
            target = self.target_selector.choose(
                exchange.route, shard, self.now
            )
            if target is None:
                # A target may become usable before the deadline.
                shard.fault = "no_target"
                self.schedule_retry(exchange, shard)
                continue
            if not self.quarantine.may_send(exchange, shard, target, self.now):
                shard.fault = "held"
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
        """Makes the first attempt at a shard that could not be sent before."""
        target = self.target_selector.choose(exchange.route, shard, self.now)
        if target is None or not self.quarantine.may_send(
            exchange, shard, target, self.now
        ):
            shard.fault = "held" if target else "no_target"
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
        shard.tried_targets.add(target.target)
        shard.attempt_count += 1
        shard.delivered_attempts += 1
        shard.retry_at = None
        self.attempts[attempt.number] = attempt
        self.quarantine.start_trial_if_suspect(attempt, self.now)
        self.target_selector.record_sent(attempt, self.now)
        self._schedule_hedge(exchange, shard, attempt)
        if carrier_address is not None:
            self._send_to_carrier(exchange, attempt)
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

    def _send_to_carrier(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Writes an attempt to "via_sends".

        Records the attempt's shard for the merged reply of the carrier.
        """
        route = exchange.route
        exchange.shards_by_carrier_attempt[attempt.number] = attempt.shard
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
        if not route.idempotent or len(shard.tried_targets) >= route.attempts:
            return
        delay_s = self.route_latencies.find(route).find_hedge_delay(
            route.aim_s, self.target_selector.find_distance(attempt.target)
        )
        shard.hedge_at = self.now + delay_s
        hedge_times = exchange.hedge_times
        due = math.ceil(shard.hedge_at / _HEDGE_STEP_S) * _HEDGE_STEP_S
        if due not in hedge_times:
            hedge_times.add(due)
            self.timers.schedule(due, "hedge", exchange)

    def send_extra(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        *,
        is_hedge: bool = False,
    ) -> bool:
        """Sends another attempt if there is a target and retry budget left.

        Args:
          exchange: The request.
          shard: The shard that is sent again.
          is_hedge: Whether an earlier attempt is still unanswered.

        Returns:
          Whether an attempt was sent.
        """
        if shard.attempt_count >= _MAX_ATTEMPTS_PER_SHARD:
            return False
        target = self.target_selector.choose(
            exchange.route, shard, self.now, is_hedge=is_hedge
        )
        if target is None or not self.quarantine.may_send(
            exchange, shard, target, self.now
        ):
            return False
        # Retries cost no budget until an attempt may have reached a target.
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
        """Schedules the next attempt at a shard.

        The delay is an exponential backoff, or ``_NO_TARGET_DELAY_S`` if the
        shard has had no attempt yet, times a random factor of 0.5 to 1.5. The
        shard is given up if the attempt would be due at the deadline or later.
        """
        delay_s = _NO_TARGET_DELAY_S
        if shard.attempt_count:
            delay_s = _RETRY_BACKOFF_S * _BACKOFF_FACTOR ** min(
                shard.attempt_count, 5
            )
        delay_s *= 0.5 + self._random.random()
        shard.retry_at = self.now + delay_s
        if shard.retry_at >= exchange.deadline_at:
            exchange.give_up(shard)
            return
        self.timers.schedule(shard.retry_at, "retry", exchange)

    def abort_attempts(self, shard: _exchange.Shard) -> None:
        """Aborts a shard's attempts in flight, whose replies aren't needed."""
        for attempt in shard.attempts:
            self.attempts.pop(attempt.number, None)
            self.aborted.add(attempt.number, attempt, self.now)
            self.quarantine.record_end(attempt)
            shard.verdicts.append(verdicts.Verdict.MAY_HAVE_RUN)
            self.avoid_silent_carrier(attempt)
            fault = self.target_selector.record_aborted(attempt, self.now)
            if fault is not None:
                self._writers["target_faults"].append(fault)
            self._writers["aborts"].append(attempt.number)
        shard.attempts.clear()

    def avoid_silent_carrier(self, attempt: _exchange.Attempt) -> None:
        """Avoids the carrier of an attempt if it has not replied in time."""
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
    """Returns whether a shard may be retried after a failure.

    A request that isn't idempotent is retried only if no attempt can have run.

    ``route.attempts`` limits how many targets are tried. Once that many
    attempts may have run, a target that was tried before may be retried, as it
    may have failed by chance. On a route that isn't a gather, a complete
    failure reply is the answer of the target, so after that many attempts the
    request isn't retried. A shard of a gather is retried, as any of its targets
    can answer for it.
    """
    ran = sum(v is not verdicts.Verdict.NOT_RUN for v in shard.verdicts)
    if not route.idempotent and ran:
        return False
    if shard.attempt_count >= _MAX_ATTEMPTS_PER_SHARD:
        return False
    if ran < route.attempts:
        return True
    is_answer = shard.failure is not None and not route.shards
    return route.attempts > 1 and not is_answer
