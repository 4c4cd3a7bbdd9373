"""Decides on first attempts, hedges, trials and retries of query segments."""

import logging

from bramleyfork.controllers import _fleet_view
from bramleyfork.controllers import _route
from bramleyfork.controllers import _sender
from bramleyfork.controllers import _timers
from bramleyfork.core import declarations
from bramleyfork.core import logs
from bramleyfork.core import replies
from bramleyfork.decisions import budgets
from bramleyfork.decisions import canaries
from bramleyfork.decisions import hedging
from bramleyfork.decisions import retries

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

# Hedges, and likewise retries, that a host may send in a burst after a time
# without load.
_BUDGET_RESERVE = 20.0


class Dispatcher:
    """Decides when a segment gets an attempt and passes it to the sender.

    Hedges and trials use the hedge budget, retries the retry budget. Both
    grow with the number of first attempts.

    Args:
      view: Load, latency and health of targets and owners.
      sender: Builds the sub-requests.
      timers: Timers of hedges and delayed retries.
      trusted: Fingerprints of queries that have completed on this host.
      counters: Counters with the keys "hedges" and "retries".

    Attributes:
      counters: The same counters.
    """

    __slots__ = (
        "counters",
        "_view",
        "_sender",
        "_timers",
        "_trusted",
        "_hedge_budget",
        "_retry_budget",
    )

    def __init__(
        self,
        *,
        view: _fleet_view.FleetView,
        sender: _sender.Sender,
        timers: _timers.Timers,
        trusted: canaries.TrustedFingerprints,
        counters: dict[str, int],
    ):
        self.counters = counters
        self._view = view
        self._sender = sender
        self._timers = timers
        self._trusted = trusted
        self._hedge_budget = budgets.Budget(ratio=0.0, reserve=_BUDGET_RESERVE)
        self._retry_budget = budgets.Budget(ratio=0.0, reserve=_BUDGET_RESERVE)

    def use_declaration(self, declaration: declarations.Declaration) -> None:
        """Sets the budget ratios: extra attempts per first attempt."""
        self._hedge_budget.ratio = declaration.hedge_budget
        self._retry_budget.ratio = declaration.retry_budget

    def send(
        self, route: _route.Route, segment: _route.Segment, now: float
    ) -> tuple[str, str] | None:
        """Sends the next attempt at a segment.

        A segment without a usable target and owner is given up, unless the
        reply of an earlier attempt is pending.

        Returns:
          Target and owner, or None if nothing was sent.
        """
        choice = self._sender.choose(segment, now)
        if choice is None:
            if not segment.list_open():
                route.give_up(segment)
            return None
        first = not segment.attempts
        self._send(route, segment, choice, now)
        if first:
            self._hedge_budget.earn()
            self._retry_budget.earn()
            self._send_trial(route, segment, now)
        return choice

    def _send(
        self,
        route: _route.Route,
        segment: _route.Segment,
        choice: tuple[str, str],
        now: float,
    ) -> None:
        self._sender.send(route, segment, choice, now)
        self._schedule_hedge(route, segment, now)

    def send_due_hedge(
        self, route: _route.Route, segment: _route.Segment, now: float
    ) -> None:
        """Sends a hedge request if the latest attempt is slow.

        It goes to another replica. If none is left and the owner is
        unresponsive, it goes to the same target through another owner.
        """
        if segment.is_finished or segment.target_died:
            return
        if len(segment.attempts) > retries.MAX_EXTRA_ATTEMPTS:
            return
        latest = segment.attempts[-1]
        if not latest.open or now < latest.hedge_at:
            return
        unresponsive = self._view.avoid_if_unresponsive(
            latest.owner, latest.sent_at, now
        )
        choice = self._sender.choose(segment, now)
        if choice is None and unresponsive:
            segment.refused_owners.add((latest.target, latest.owner))
            choice = self._sender.choose_owner(segment, latest.target, now)
        if choice is None:
            return
        # An unresponsive owner counts as failed, so this hedge may also use
        # the retry budget.
        if not self._hedge_budget.try_withdraw() and not (
            unresponsive and self._retry_budget.try_withdraw()
        ):
            return
        self._send(route, segment, choice, now)
        self.counters["hedges"] += 1
        reason = "unresponsive owner" if unresponsive else "slow"
        _log_attempt("segment hedged", route, segment, choice, reason)

    def send_due_retry(
        self, route: _route.Route, segment: _route.Segment, now: float
    ) -> None:
        """Sends the delayed retry of a segment."""
        if segment.retry_pending and not segment.is_finished:
            segment.retry_pending = False
            self.send(route, segment, now)

    def retry(
        self,
        route: _route.Route,
        segment: _route.Segment,
        reply: replies.SubReply,
        now: float,
    ) -> bool:
        """Sends or schedules another attempt after a failed one.

        Args:
          route: Routing state of the query.
          segment: Segment of the query.
          reply: The failed reply.
          now: Monotonic seconds.

        Returns:
          Whether an attempt was sent or scheduled.
        """
        if not retries.may_repeat(reply, idempotent=route.lookup.idempotent):
            return False
        is_exempt = retries.is_exempt_from_budget(reply)
        if not is_exempt and len(segment.attempts) > retries.MAX_EXTRA_ATTEMPTS:
            return False
        choice = self._sender.choose(segment, now)
        due = retries.find_retry_time(
            reply, has_choice=choice is not None, now=now
        )
        if due is None or due >= route.deadline:
            return False
        if not is_exempt and not self._retry_budget.try_withdraw():
            return False
        self.counters["retries"] += 1
        if due > now:
            segment.schedule_retry()
            index = route.segments.index(segment)
            query_id = route.query.query_id
            self._timers.add(due, _timers.RETRY, query_id, index)
            return True
        _log_attempt("segment retried", route, segment, choice, reply.code)
        return self.send(route, segment, now) is not None

    def _schedule_hedge(
        self, route: _route.Route, segment: _route.Segment, now: float
    ) -> None:
        """Schedules a hedge for the latest attempt of an idempotent lookup.

        Nothing is scheduled if the service's latency is not known yet or the
        hedge would be due after the deadline.
        """
        if not route.lookup.idempotent:
            return
        # A single replica can only be hedged through another owner.
        target = segment.attempts[-1].target
        if len(segment.plan.candidates) < 2 and not self._view.has_other_owner(
            target
        ):
            return
        delay = hedging.find_hedge_delay(
            self._view.service_latency[segment.plan.service],
            self._view.declaration.hedge_percentile,
        )
        if delay is None or now + delay >= route.deadline:
            return
        due = segment.attempts[-1].hedge_at = now + delay
        index = route.segments.index(segment)
        self._timers.add(due, _timers.HEDGE, route.query.query_id, index)

    def _send_trial(
        self, route: _route.Route, segment: _route.Segment, now: float
    ) -> None:
        """Sends the same request to an avoided target, as a trial.

        The trial uses the hedge budget, and the query does not wait for it.
        The target is used again once it answers a trial in time.
        """
        trusted = self._trusted.has(route.fingerprint)
        if not route.lookup.idempotent or not trusted:
            return
        others = [t for t in segment.plan.candidates if t not in segment.tried]
        target = self._view.find_trial(others, now)
        if target is None:
            return
        choice = self._sender.choose_owner(segment, target, now)
        if choice is None or not self._hedge_budget.try_withdraw():
            return
        self._sender.send(route, segment, choice, now)
        self.counters["hedges"] += 1
        _log_attempt("segment hedged", route, segment, choice, "trial")


def _log_attempt(
    message: str,
    route: _route.Route,
    segment: _route.Segment,
    choice: tuple[str, str],
    reason: str,
) -> None:
    _DECISION_LOG.info(
        message,
        extra={
            "query": route.query.query_id,
            "service": segment.plan.service,
            "target": choice[0],
            "owner": choice[1],
            "reason": reason,
        },
    )
