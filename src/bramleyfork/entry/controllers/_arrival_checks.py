"""Decides when a request arrives whether any attempt of it is sent.

What can't be served is refused at once, so that its caller can go elsewhere.
"""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.entry.controllers import _admission
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _quarantine
from bramleyfork.entry.controllers import _refusals
from bramleyfork.entry.controllers import _target_selector
from bramleyfork.entry.decisions import quarantine


class ArrivalChecks:
    """Runs all checks of a request that has arrived.

    Args:
      target_selector: Knows the targets that may be sent requests.
      request_quarantine: Rules on requests that may crash targets.
      admission: Counts the demand and detects overload.

    Attributes:
      target_selector: Knows the targets that may be sent requests.
      quarantine: Rules on requests that may crash targets.
      admission: Counts the demand and detects overload.
      answer_by: Monotonic time by which all requests are answered, as the
        process stops; None while no end is known.
    """

    __slots__ = ("target_selector", "quarantine", "admission", "answer_by")

    def __init__(
        self,
        *,
        target_selector: _target_selector.TargetSelector,
        request_quarantine: _quarantine.Quarantine,
        admission: _admission.Admission,
    ):
        self.target_selector = target_selector
        self.quarantine = request_quarantine
        self.admission = admission
        self.answer_by: float | None = None

    def find_refusal(
        self, exchange: _exchange.Exchange, now: float
    ) -> _refusals.Refusal | None:
        """Returns why a request is refused, or None to send it.

        Args:
          exchange: The request.
          now: Monotonic time in seconds.
        """
        for name in _ORDER:
            refusal = CHECKS.find(name)(self, exchange, now)
            if refusal is not None:
                return refusal
        return None


CHECKS: registries.Registry[
    collections.abc.Callable[
        [ArrivalChecks, _exchange.Exchange, float], _refusals.Refusal | None
    ]
] = registries.Registry(kind="arrival check")

# The overload check counts the demand of requests that passed the others.
_ORDER = (
    "targets",
    "deadline",
    "process_end",
    "quarantine",
    "rate_limits",
    "overload",
)


@CHECKS.register("targets")
def check_targets(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request if too many services have no usable target."""
    del now
    missing = checks.target_selector.list_without_target(exchange)
    if len(exchange.shards) - len(missing) >= exchange.min_shards:
        return None
    return _refusals.Refusal(
        reason="no_targets",
        status=503,
        route=exchange.route,
        without_target=missing,
    )


@CHECKS.register("deadline")
def check_deadline(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request whose deadline has passed."""
    del checks
    if exchange.deadline_at > now:
        return None
    return _refusals.Refusal(
        reason="deadline_past", status=504, route=exchange.route
    )


@CHECKS.register("process_end")
def check_process_end(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request that is not expected to end before the process."""
    if checks.answer_by is None:
        return None
    if now + exchange.route.aim_s <= checks.answer_by:
        return None
    return _refusals.Refusal(
        reason="stopping", status=503, route=exchange.route
    )


@CHECKS.register("quarantine")
def check_quarantine(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request that crashes targets, or may while it is tried."""
    ruling = checks.quarantine.find_ruling(exchange, now)
    if ruling is quarantine.Ruling.REFUSED:
        return _refusals.Refusal(
            reason="quarantined",
            status=503,
            route=exchange.route,
            fingerprint=exchange.find_fingerprint(),
            retry_after_s=checks.quarantine.find_retry_delay(exchange, now),
        )
    if ruling is quarantine.Ruling.HELD:
        return _refusals.Refusal(
            reason="held",
            status=503,
            route=exchange.route,
            fingerprint=exchange.find_fingerprint(),
        )
    return None


@CHECKS.register("rate_limits")
def check_rate_limits(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request if too many shards wait for limits of targets."""
    target_selector = checks.target_selector
    limited = target_selector.list_limited(exchange, now)
    if not limited:
        return None
    missing = target_selector.list_without_target(exchange)
    sendable = len(exchange.shards) - len(missing) - len(limited)
    needed = exchange.min_shards - sendable
    if needed <= 0:
        return None
    limited.sort(key=lambda found: found[0])
    _, target = limited[min(needed, len(limited)) - 1]
    return _refusals.Refusal(
        reason="limited",
        status=503,
        route=exchange.route,
        retry_after_s=max(
            _refusals.RETRY_AFTER_S,
            target_selector.pacing.promise_slot(target, now),
        ),
    )


@CHECKS.register("overload")
def check_overload(
    checks: ArrivalChecks, exchange: _exchange.Exchange, now: float
) -> _refusals.Refusal | None:
    """Refuses a request that more demand than capacity would make late."""
    checks.admission.record_arrival(exchange, now)
    overload = checks.admission.check_overload(exchange, now)
    if overload is None:
        return None
    return _refusals.Refusal(
        reason="overloaded",
        status=503,
        route=exchange.route,
        retry_after_s=overload.retry_after_s,
        overload=overload,
    )
