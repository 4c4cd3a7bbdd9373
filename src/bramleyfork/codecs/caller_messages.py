"""Decoding of callers' JSON requests and encoding of their JSON answers."""

import json
import math
import typing

import expression

from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

MAX_BODY_BYTES = 64 * 1024  # Body of a caller's request.

_FIELDS = frozenset(("lookup", "deadline_ms", "parameters", "key", "ticket"))
_MAX_NAME_CHARS = 200  # Of a lookup's name.
_MAX_TICKET_CHARS = 1000  # Issued tickets are far shorter.

# json.dumps builds a new encoder on each call that passes separators.
_ENCODER = json.JSONEncoder(separators=(",", ":"))

_STATUS_BY_CODE = {
    "ok": 200,
    "partial": 200,
    "malformed": 400,
    "unknown_lookup": 400,
    "bad_key": 400,
    "bad_deadline": 400,
    "bad_ticket": 400,
    "ticket_required": 400,
    "not_found": 404,
    "not_allowed": 405,
    "ticket_used": 409,
    "ticket_foreign": 409,
    "too_large": 413,
    "quarantined": 422,
}
_NOT_RUN_STATUS_BY_CODE = {"deadline_past": 408}


class RejectedQuery(records.Record):
    """A caller's request that was rejected before anything was sent.

    Attributes:
      code: Error code; docs/protocols.md lists them.
      detail: The invalid field, its value and the valid values.
      verdict: Always NOT_RUN.
    """

    __slots__ = ("code", "detail", "verdict")

    def __init__(
        self,
        *,
        code: str,
        detail: str,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ):
        self.code = code
        self.detail = detail
        self.verdict = verdict


QueryResult = expression.Result[requests.Query, RejectedQuery]


def decode_query(
    body: bytes,
    *,
    query_id: str,
    caller: str,
    received_at: float,
    longest_deadline_s: float,
) -> QueryResult:
    """Decodes and validates the JSON body of a query.

    Args:
      body: Body of the HTTP request.
      query_id: Id assigned to the query.
      caller: Name or address of the caller.
      received_at: When the request arrived, monotonic seconds.
      longest_deadline_s: Longest deadline that a caller may ask for.

    Returns:
      The query, or the reason for which the request is rejected.
    """
    if len(body) > MAX_BODY_BYTES:
        return _build_rejection(
            f"body is longer than {MAX_BODY_BYTES} bytes", code="too_large"
        )
    try:
        document = json.loads(
            body.decode("utf-8"), object_pairs_hook=_build_unique_object
        )
    except (ValueError, RecursionError) as error:
        return _build_rejection(f"body is not valid JSON in UTF-8: {error}")
    rejection = _find_rejection(document, longest_deadline_s)
    if rejection is not None:
        return expression.Error(rejection)
    return expression.Ok(
        requests.Query(
            query_id=query_id,
            lookup=document["lookup"],
            key=document.get("key"),
            parameters=document.get("parameters", ""),
            deadline=received_at + document["deadline_ms"] / 1000,
            received_at=received_at,
            caller=caller,
            ticket=document.get("ticket"),
        )
    )


def _build_unique_object(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Builds a dict from the fields of a JSON object.

    Raises:
      ValueError: A field occurs twice, which makes its value ambiguous.
    """
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a field occurs more than once in an object")
    return fields


def _build_rejection(detail: str, code: str = "malformed") -> QueryResult:
    return expression.Error(RejectedQuery(code=code, detail=detail))


def _find_rejection(
    document: typing.Any, longest_deadline_s: float
) -> RejectedQuery | None:
    if not isinstance(document, dict):
        return RejectedQuery(
            code="malformed", detail="body must be a JSON object"
        )
    unknown = sorted(document.keys() - _FIELDS)
    if unknown:
        valid = ", ".join(sorted(_FIELDS))
        return RejectedQuery(
            code="malformed",
            detail=f"unknown field {unknown[0][:100]!r}; valid fields: {valid}",
        )
    for check in (_check_strings, _check_key):
        rejection = check(document)
        if rejection is not None:
            return rejection
    return _check_deadline(document, longest_deadline_s)


def _check_strings(document: dict[str, typing.Any]) -> RejectedQuery | None:
    ticket = document.get("ticket")
    texts = (
        ("lookup", document.get("lookup"), _MAX_NAME_CHARS),
        ("parameters", document.get("parameters", ""), MAX_BODY_BYTES),
        ("ticket", "" if ticket is None else ticket, _MAX_TICKET_CHARS),
    )
    for name, value, limit in texts:
        if not isinstance(value, str):
            return RejectedQuery(
                code="malformed",
                detail=f"field {name!r} is {_format_value(value)},"
                " must be a string",
            )
        # A lone surrogate cannot be encoded as UTF-8 when the text is
        # forwarded.
        if len(value) > limit or any("\ud800" <= c <= "\udfff" for c in value):
            return RejectedQuery(
                code="malformed",
                detail=f"field {name!r} must be valid text of at most"
                f" {limit} characters",
            )
    return None


def _check_key(document: dict[str, typing.Any]) -> RejectedQuery | None:
    key = document.get("key")
    if key is None:
        return None
    if not _is_integer(key):
        return RejectedQuery(
            code="malformed",
            detail=f"field 'key' is {_format_value(key)}, must be an integer",
        )
    if not 0 <= key < ranges.KEY_SPACE:
        return RejectedQuery(
            code="bad_key",
            detail=f"field 'key' is {_format_value(key)}, must be in"
            f" 0..{ranges.KEY_SPACE - 1}",
        )
    return None


def _check_deadline(
    document: dict[str, typing.Any], longest_deadline_s: float
) -> RejectedQuery | None:
    deadline_ms = document.get("deadline_ms")
    if not _is_integer(deadline_ms):
        return RejectedQuery(
            code="malformed",
            detail=f"field 'deadline_ms' is {_format_value(deadline_ms)},"
            " must be an integer",
        )
    max_deadline_ms = math.floor(longest_deadline_s * 1000)
    if not 1 <= deadline_ms <= max_deadline_ms:
        return RejectedQuery(
            code="bad_deadline",
            detail=f"field 'deadline_ms' is {_format_value(deadline_ms)},"
            f" must be in 1..{max_deadline_ms}",
        )
    return None


def _is_integer(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _format_value(value: typing.Any) -> str:
    return repr(value)[:100]


def encode_answer(answer: replies.Answer) -> bytes:
    """Encodes an answer to a caller as JSON in UTF-8."""
    snapshot = answer.snapshot
    return encode_document(
        {
            "query_id": answer.query_id,
            "verdict": answer.verdict.value,
            "code": answer.code,
            "snapshot": snapshot
            and (snapshot.index_version, snapshot.map_version),
            "coverage": answer.coverage,
            "missing": [
                (service, part.low, part.high)
                for service, part in answer.missing
            ],
            "records": answer.records,
            "detail": answer.detail,
            "retry_after_ms": answer.retry_after_ms,
            "hosts": answer.hosts,
        }
    )


def encode_document(document: typing.Any) -> bytes:
    """Encodes a document as compact JSON in UTF-8."""
    return _ENCODER.encode(document).encode("utf-8")


def find_status(code: str, verdict: verdicts.Verdict) -> int:
    """Returns the HTTP status of an answer; see docs/protocols.md.

    Codes without an entry in the tables give 503 if the query did not run and
    504 if it ran or may have run.
    """
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    if verdict is verdicts.Verdict.NOT_RUN:
        return _NOT_RUN_STATUS_BY_CODE.get(code, 503)
    return 504
