"""Encoding of HTTP requests to targets and decoding of their replies.

docs/protocols.md describes the protocol.
"""

import collections.abc
import json
import typing

from bramleyfork.codecs import holdings as holdings_codec
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

_VERDICT_BY_RUN_HEADER = {
    "ran": verdicts.Verdict.RAN,
    "not-run": verdicts.Verdict.NOT_RUN,
    "may-have-run": verdicts.Verdict.MAY_HAVE_RUN,
}
_STATES = frozenset({"cold", "warm", "leaving"})
_MIN_STATUS = 100
_MAX_STATUS = 599
_ERROR_CODES = frozenset(
    {"wrong_snapshot", "shed", "leaving", "expired", "cancelled", "rejected"}
)

Headers = collections.abc.Mapping[str, str]


class ReplyError(ValueError):
    """A target's reply does not follow the protocol."""


def encode_request(
    request: requests.SubRequest, remaining_ms: int
) -> tuple[str, dict[str, str], bytes]:
    """Returns path, headers and body of the HTTP request to a target.

    Args:
      request: The sub-request to send.
      remaining_ms: Time until its deadline, milliseconds.
    """
    headers = {
        "Attempt-Id": request.attempt_id,
        "Deadline-Ms": str(remaining_ms),
        "Urgency": "urgent" if request.urgent else "ordinary",
        "Index-Version": str(request.snapshot.index_version),
        "Map-Version": str(request.snapshot.map_version),
        "Content-Type": "application/json",
    }
    body = {
        "lookup": request.lookup,
        "service": request.service,
        "low": request.key_range.low,
        "high": request.key_range.high,
        "parameters": request.parameters,
    }
    path = "/v1/read" if request.idempotent else "/v1/write"
    return path, headers, json.dumps(body, separators=(",", ":")).encode()


def index_headers(
    pairs: collections.abc.Iterable[tuple[str, str]],
) -> dict[str, str]:
    """Returns headers by lower-case name, with the first value of each name."""
    first_values: dict[str, str] = {}
    for name, value in pairs:
        first_values.setdefault(name.lower(), value)
    return first_values


def decode_reply(
    request: requests.SubRequest,
    *,
    status: int,
    headers: Headers,
    body: bytes,
    elapsed_s: float,
) -> replies.AttemptResult:
    """Decodes a target's reply to an attempt.

    Args:
      request: The sub-request that was sent.
      status: HTTP status.
      headers: HTTP headers by lower-case name.
      body: The whole body.
      elapsed_s: Seconds since the request was sent.

    Raises:
      ReplyError: The reply is malformed or belongs to another attempt; whether
        the request ran is unknown.
    """
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise ReplyError(f"status {status} is not valid")
    if headers.get("attempt-id") != request.attempt_id:
        raise ReplyError(
            f"reply to attempt {headers.get('attempt-id')!r} instead of"
            f" {request.attempt_id!r}"
        )
    content = _parse_body(body)
    report = _parse_report(headers, content)
    verdict = _VERDICT_BY_RUN_HEADER.get(headers.get("run", ""))
    if verdict is None:
        raise ReplyError(
            f"header Run is {headers.get('run')!r}, must be"
            " 'ran', 'not-run' or 'may-have-run'"
        )
    if status == 200:
        return _decode_records(request, content, report, elapsed_s)
    code = content.get("error")
    if code not in _ERROR_CODES:
        raise ReplyError(f"unknown error {code!r} with status {status}")
    return replies.AttemptResult(
        attempt_id=request.attempt_id,
        target=request.target,
        verdict=verdict,
        code=code,
        elapsed_s=elapsed_s,
        report=report,
        retry_after_ms=_parse_retry_after(headers),
        detail=str(content.get("detail", ""))[:200],
    )


def _parse_body(body: bytes) -> dict[str, typing.Any]:
    try:
        content = json.loads(body)
    except ValueError as error:
        raise ReplyError(f"body is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise ReplyError("body is not a JSON object")
    return content


def _parse_report(
    headers: Headers, content: dict[str, typing.Any]
) -> requests.TargetReport:
    state = headers.get("target-state")
    if state not in _STATES:
        raise ReplyError(
            f"header Target-State is {state!r}, must be"
            " 'cold', 'warm' or 'leaving'"
        )
    try:
        load = float(headers.get("target-load", "0"))
        holdings = tuple(
            holdings_codec.decode_holding(row)
            for row in content.get("holdings", ())
        )
    except (TypeError, ValueError) as error:
        raise ReplyError(
            f"Target-Load or holdings are malformed: {error}"
        ) from error
    return requests.TargetReport(
        epoch=headers.get("target-epoch", ""),
        state=state,
        load=load,
        holdings=holdings,
    )


def _decode_records(
    request: requests.SubRequest,
    content: dict[str, typing.Any],
    report: requests.TargetReport,
    elapsed_s: float,
) -> replies.AttemptResult:
    try:
        if content["attempt_id"] != request.attempt_id:
            raise ReplyError("attempt id in the body differs from the header")
        key_range = ranges.KeyRange(low=content["low"], high=content["high"])
        snapshot = requests.Snapshot(
            index_version=int(content["index_version"]),
            map_version=int(content["map_version"]),
        )
        records = tuple((int(key), value) for key, value in content["records"])
    except (KeyError, TypeError, ValueError) as error:
        raise ReplyError(f"body is malformed: {error!r}") from error
    return replies.AttemptResult(
        attempt_id=request.attempt_id,
        target=request.target,
        verdict=verdicts.Verdict.RAN,
        code="ok",
        elapsed_s=elapsed_s,
        key_range=key_range,
        snapshot=snapshot,
        records=records,
        report=report,
    )


def _parse_retry_after(headers: Headers) -> int | None:
    text = headers.get("retry-after-ms", "")
    return int(text) if text.isdigit() else None
