"""Builds the response to a request and the log line that explains it."""

import typing

from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import http_headers
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.controllers import _refusals
from bramleyfork.entry.decisions import gathers

# Faults of attempts that reached no target, if the verdict is NOT_RUN.
_UNDELIVERED_FAULTS = frozenset(
    ("connect", "no_room", "expired", "not_usable", "carrier", "quarantined")
)

# Statuses by which callers know that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Outcome:
    """A response and its label in metrics and logs."""

    __slots__ = ("response", "label")

    def __init__(self, *, response: exchanges.Response, label: str):
        self.response = response
        self.label = label


def is_undelivered(reply: exchanges.Reply) -> bool:
    """Returns whether an attempt reached no target.

    An attempt that a target refused has reached it.
    """
    may_have_run = reply.verdict is not verdicts.Verdict.NOT_RUN
    return not may_have_run and reply.fault in _UNDELIVERED_FAULTS


def build_outcome(
    exchange: _exchange.Exchange,
    header_names: http_headers.HeaderNames,
    now: float,
) -> Outcome:
    """Returns the response to a request that is complete or out of time."""
    if (
        exchange.route.shards
        and exchange.answered_shards >= exchange.min_shards
    ):
        return _merge_parts(exchange, header_names)
    if not exchange.route.shards:
        shard = exchange.shards[0]
        if shard.reply is not None:
            return _forward_reply(exchange, shard.reply, "complete")
        if _is_final_failure(exchange.route, shard.failure):
            return _forward_reply(exchange, shard.failure, "target_failed")
    return _build_failure(exchange, now)


def _is_final_failure(
    route: declarations.Route, failure: exchanges.Reply | None
) -> bool:
    """Returns whether a target's failure reply is passed on to the caller.

    A reply with the verdict NOT_RUN holds for one target only. The host then
    answers itself, with the verdicts of all attempts combined. It also does so
    if the status promises a caller that a request has not run which may have
    and isn't idempotent.
    """
    if failure is None or failure.verdict is verdicts.Verdict.NOT_RUN:
        return False
    return route.idempotent or failure.status not in _NOT_RUN_STATUSES


def _forward_reply(
    exchange: _exchange.Exchange, reply: exchanges.Reply, label: str
) -> Outcome:
    return Outcome(
        response=exchanges.Response(
            key=exchange.request.key,
            status=reply.status,
            headers=reply.headers,
            body=reply.body,
        ),
        label=label,
    )


def _merge_parts(
    exchange: _exchange.Exchange, header_names: http_headers.HeaderNames
) -> Outcome:
    replies = [s.reply for s in exchange.shards if s.reply is not None]
    missing = len(exchange.shards) - len(replies)
    body = gathers.merge_records(
        [*(reply.body for reply in replies), *exchange.merged_bodies],
        exchange.route.record_limit,
    )
    headers = (
        (header_names.request_id, exchange.request.request_id),
        (
            header_names.part_stamps,
            b", ".join(reply.stamp for reply in replies),
        ),
        (header_names.missing_parts, b"%d" % missing),
    )
    return Outcome(
        response=exchanges.Response(
            key=exchange.request.key, status=200, headers=headers, body=body
        ),
        label="partial" if missing else "complete",
    )


def _build_failure(exchange: _exchange.Exchange, now: float) -> Outcome:
    """Returns the host's own error response, for lack of a usable reply."""
    if exchange.combine_verdicts() is verdicts.Verdict.NOT_RUN:
        status, label = 503, "not_run"
    elif now >= exchange.deadline_at:
        status, label = 504, "timeout"
    else:
        status, label = 502, "failed"
    return Outcome(
        response=exchanges.Response(
            key=exchange.request.key,
            status=status,
            headers=_refusals.build_headers(status),
        ),
        label=label,
    )


def build_log_fields(
    exchange: _exchange.Exchange, outcome: Outcome | None, now: float
) -> dict[str, typing.Any]:
    """Returns the fields of the log line of a finished request.

    Args:
      exchange: The request.
      outcome: The response and its label; None if the caller disconnected.
      now: Monotonic time in seconds.
    """
    request = exchange.request
    missing = {
        shard.service: shard.fault or "no_reply"
        for shard in exchange.shards
        if shard.reply is None
    }
    repeated = {
        shard.service: sorted(shard.tried_targets)
        for shard in exchange.shards
        if shard.attempt_count > 1
    }
    fields = {
        "request": request.request_id.decode("latin-1"),
        "route": exchange.route.name,
        "version": exchange.version,
        "outcome": outcome.label if outcome else "caller_left",
        "status": outcome.response.status if outcome else None,
        "took_ms": round((now - request.received_at) * 1000, 1),
        "spent_ms": round(exchange.elapsed_before_s * 1000, 1),
        "left_ms": round((exchange.deadline_at - now) * 1000, 1),
        "shards": len(exchange.shards),
        "missing": missing,
        "repeated": repeated,
        "hedges": exchange.hedges,
        "retries": exchange.retries,
    }
    if exchange.faults:
        fields["faults"] = exchange.faults
    if outcome is None or outcome.label not in ("complete", "partial"):
        fields["verdict"] = exchange.combine_verdicts().value
    return fields
