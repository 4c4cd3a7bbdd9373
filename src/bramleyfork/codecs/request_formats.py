"""Wire formats of sub-requests, cancels and sub-replies.

These messages are nearly all traffic between hosts. Each function handles its
fields one by one, without a generic loop, to be fast.
"""

import typing

from bramleyfork.codecs import formats
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

_MAX_REMAINING_MS = 3_600_000  # No deadline is more than an hour ahead.

_VERDICT_BY_VALUE = {v.value: v for v in verdicts.Verdict}
_CODES = frozenset(replies.REPLY_CODES)
_STATES = ("cold", "warm", "leaving")


@formats.register_encoder("subrequest", requests.SubRequest, formats.DATA)
def encode_subrequest(request: requests.SubRequest, now: float) -> list:
    """Returns the fields of a sub-request.

    The deadline is sent as the remaining time, rounded down to milliseconds,
    so that the owner never works longer than the router waits.
    """
    remaining = (request.deadline - now) * 1000.0
    key_range = request.key_range
    snapshot = request.snapshot
    return [
        "subrequest",
        request.attempt_id,
        request.query_id,
        request.router,
        request.owner,
        request.target,
        request.service,
        request.lookup,
        (key_range.low, key_range.high),
        (snapshot.index_version, snapshot.map_version),
        request.parameters,
        request.urgent,
        request.idempotent,
        int(min(max(remaining, 0.0), _MAX_REMAINING_MS)),
        request.fingerprint,
        request.exclusive,
    ]


@formats.register_decoder(
    "subrequest",
    *(str, str, str, str, str, str, str, list, list, str),
    *(bool, bool, int, str, bool),
)
def decode_subrequest(
    fields: list, now: float, _to: str
) -> requests.SubRequest:
    """Builds a sub-request; its deadline is ``now`` plus the remaining time."""
    remaining_ms = fields[13]
    if not 0 <= remaining_ms <= _MAX_REMAINING_MS:
        raise formats.InvalidFieldError(
            f"remaining time {remaining_ms!r} ms must be in"
            f" [0, {_MAX_REMAINING_MS}]"
        )
    if not fields[1]:
        raise formats.InvalidFieldError("attempt_id must not be empty")
    return requests.SubRequest(
        attempt_id=fields[1],
        query_id=fields[2],
        router=fields[3],
        owner=fields[4],
        target=fields[5],
        service=fields[6],
        lookup=fields[7],
        key_range=formats.decode_range(fields[8]),
        snapshot=formats.decode_snapshot(fields[9]),
        parameters=fields[10],
        urgent=fields[11],
        idempotent=fields[12],
        deadline=now + remaining_ms / 1000.0,
        fingerprint=fields[14],
        exclusive=fields[15],
    )


@formats.register_encoder("cancel", requests.Cancel, formats.DATA)
def encode_cancel(cancel: requests.Cancel, _now: float) -> list:
    """Returns the fields of a cancel."""
    return ["cancel", cancel.attempt_id, cancel.owner]


@formats.register_decoder("cancel", str, str)
def decode_cancel(fields: list, _now: float, _to: str) -> requests.Cancel:
    """Builds a cancel from its fields."""
    return requests.Cancel(
        attempt_id=formats.check_name(fields[1], "attempt_id"), owner=fields[2]
    )


@formats.register_encoder("subreply", replies.SubReply, formats.DATA)
def encode_subreply(reply: replies.SubReply, _now: float) -> list:
    """Returns the fields of a sub-reply."""
    key_range = reply.key_range
    snapshot = reply.snapshot
    return [
        "subreply",
        reply.attempt_id,
        reply.query_id,
        reply.router,
        reply.owner,
        reply.target,
        reply.verdict.value,
        reply.code,
        None if key_range is None else (key_range.low, key_range.high),
        None
        if snapshot is None
        else (snapshot.index_version, snapshot.map_version),
        reply.records,
        _encode_report(reply.report),
        reply.queue_length,
        float(reply.service_time_s),
        reply.retry_after_ms,
        reply.detail,
    ]


@formats.register_decoder(
    "subreply",
    *(str, str, str, str, str, str, str),
    *((list, formats.NONE_TYPE), (list, formats.NONE_TYPE), list),
    *((list, formats.NONE_TYPE), int, float, (int, formats.NONE_TYPE), str),
)
def decode_subreply(fields: list, _now: float, _to: str) -> replies.SubReply:
    """Builds a sub-reply from its fields."""
    verdict = _VERDICT_BY_VALUE.get(fields[6])
    if verdict is None:
        raise formats.InvalidFieldError(f"unknown verdict {fields[6]!r}")
    retry_after_ms = fields[14]
    if retry_after_ms is not None:
        formats.check_count(retry_after_ms)
    return replies.SubReply(
        attempt_id=formats.check_name(fields[1], "attempt_id"),
        query_id=fields[2],
        router=fields[3],
        owner=fields[4],
        target=fields[5],
        verdict=verdict,
        code=formats.check_choice(fields[7], _CODES, "code"),
        key_range=None
        if fields[8] is None
        else formats.decode_range(fields[8]),
        snapshot=None
        if fields[9] is None
        else formats.decode_snapshot(fields[9]),
        records=_decode_records(fields[10]),
        report=_decode_report(fields[11]),
        queue_length=formats.check_count(fields[12]),
        service_time_s=formats.check_non_negative(fields[13]),
        retry_after_ms=retry_after_ms,
        detail=fields[15],
    )


def _decode_records(rows: list) -> tuple[tuple[int, typing.Any], ...]:
    for row in rows:
        if type(row) is not list or len(row) != 2:
            raise formats.InvalidFieldError("a record must be [key, value]")
        key, value = row
        if type(key) is not int or not 0 <= key < ranges.KEY_SPACE:
            raise formats.InvalidFieldError(
                f"key {key!r} must be an integer in [0, {ranges.KEY_SPACE})"
            )
        formats.check_value(value)
    return tuple(map(tuple, rows))


def _encode_report(report: requests.TargetReport | None) -> list | None:
    if report is None:
        return None
    return [
        report.epoch,
        report.state,
        float(report.load),
        formats.encode_holdings(report.holdings),
    ]


def _decode_report(fields: list | None) -> requests.TargetReport | None:
    if fields is None:
        return None
    epoch, state, load, holdings = formats.check_types(
        fields, (str, str, float, list)
    )
    return requests.TargetReport(
        epoch=epoch,
        state=formats.check_choice(state, _STATES, "state"),
        load=formats.check_non_negative(load),
        holdings=formats.decode_holdings(holdings),
    )
