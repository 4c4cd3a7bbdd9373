"""Parses requests to a target and encodes its replies."""

import collections.abc
import json
import typing

from standins import records
from standins import target_records
from standins.target import attempts

_KEY_SPACE = 65536  # Keys are the integers in [0, _KEY_SPACE).


class Reply(records.Record):
    """A reply before it is sent.

    Attributes:
      status: HTTP status.
      headers: Header values by name.
      body: JSON text; empty for none.
      cut: Whether to send only half of the body and close the connection.
    """

    __slots__ = ("status", "headers", "body", "cut")

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {"cut": False}


def _parse_integer(text: typing.Any, low: int, high: int, name: str) -> int:
    try:
        number = int(text)
    except (TypeError, ValueError):
        raise ValueError(f"{name} {text!r} must be an integer") from None
    if not low <= number <= high:
        raise ValueError(f"{name} {text!r} must be in [{low}, {high}]")
    return number


def _parse_request(
    headers: collections.abc.Mapping[str, str], body: bytes, service: str
) -> dict[str, typing.Any]:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise ValueError(f"the body is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ValueError("the body must be an object")
    if not headers.get("Attempt-Id"):
        raise ValueError("header Attempt-Id is missing")
    urgency = headers.get("Urgency")
    if urgency not in ("urgent", "ordinary"):
        raise ValueError(f"Urgency {urgency!r} must be urgent or ordinary")
    if document.get("service") != service:
        raise ValueError(
            f"service {document.get('service')!r} is not served here"
        )
    for name in ("lookup", "parameters"):
        if not isinstance(document.get(name), str):
            raise ValueError(f"{name} {document.get(name)!r} must be a string")
    low = _parse_integer(document.get("low"), 0, _KEY_SPACE - 1, "low")
    return {
        "lookup": document["lookup"],
        "parameters": document["parameters"],
        "low": low,
        "high": _parse_integer(
            document.get("high"), low + 1, _KEY_SPACE, "high"
        ),
        "index_version": _parse_integer(
            headers.get("Index-Version"), 0, 2**63, "Index-Version"
        ),
        "map_version": _parse_integer(
            headers.get("Map-Version"), 0, 2**63, "Map-Version"
        ),
        "urgency": urgency,
        "deadline_ms": _parse_integer(
            headers.get("Deadline-Ms"), -(2**31), 2**31, "Deadline-Ms"
        ),
    }


def parse_attempt(
    *,
    headers: collections.abc.Mapping[str, str],
    body: bytes,
    service: str,
    received_at: float,
    **fields: typing.Any,
) -> attempts.Attempt:
    """Returns the attempt of a request.

    Args:
      headers: Headers of the request.
      body: Body of the request.
      service: Service of the target.
      received_at: Monotonic time in seconds from which the deadline counts.
      **fields: Fields of the attempt that do not come from the request.

    Returns:
      The attempt. If the request is invalid, ``rejection`` gives the reason,
      and the fields from the request are empty except for the attempt id.
    """
    fields_of_request = {
        "lookup": "",
        "parameters": "",
        "low": 0,
        "high": 0,
        "index_version": 0,
        "map_version": 0,
        "urgency": "",
        "deadline_ms": 0,
    }
    try:
        fields_of_request = _parse_request(headers, body, service)
    except ValueError as error:
        fields["rejection"] = str(error)
    deadline_s = fields_of_request.pop("deadline_ms") / 1000.0
    return attempts.Attempt(
        attempt_id=headers.get("Attempt-Id", ""),
        service=service,
        deadline=received_at + deadline_s,
        **fields_of_request,
        **fields,
    )


def encode_body(
    outcome: attempts.Outcome,
    holdings: collections.abc.Sequence[typing.Any],
    stride: int,
) -> str:
    """Returns the JSON text of the reply to an attempt."""
    attempt = outcome.attempt
    holdings_json = json.dumps([list(row) for row in holdings])
    if outcome.status == 200:
        records_json = target_records.encode_records(
            attempt.kind,
            attempt.service,
            attempt.low,
            attempt.high,
            attempt.index_version,
            attempt.map_version,
            stride,
        )
        return (
            f'{{"attempt_id": {json.dumps(attempt.attempt_id)},'
            f' "index_version": {attempt.index_version},'
            f' "map_version": {attempt.map_version},'
            f' "low": {attempt.low}, "high": {attempt.high},'
            f' "records": {records_json}, "holdings": {holdings_json}}}'
        )
    detail = ""
    if attempt.rejection:
        detail = f', "detail": {json.dumps(attempt.rejection)}'
    return (
        f'{{"error": "{outcome.error}"{detail}, "holdings": {holdings_json}}}'
    )
