"""Signed tickets that make a non-idempotent request run at most once."""

import base64
import hashlib
import hmac
import urllib.parse

import expression

from bramleyfork.core import records
from bramleyfork.core import verdicts

_DIGEST_BYTES = 16  # 128 bits of the HMAC; more would only lengthen the ticket.
_NUMBER_DIGITS = 20  # Enough for 64 bits; bounds the cost of int().


class Ticket(records.Record):
    """The contents of a valid ticket.

    Attributes:
      host: Host that issued it.
      incarnation: Incarnation of the process that issued it.
      number: Unique within that process.
      expires_at_ms: Expiry on the monotonic clock of that process,
        milliseconds.
    """

    __slots__ = ("host", "incarnation", "number", "expires_at_ms")

    def __init__(
        self, *, host: str, incarnation: int, number: int, expires_at_ms: int
    ):
        self.host = host
        self.incarnation = incarnation
        self.number = number
        self.expires_at_ms = expires_at_ms


class TicketFault(records.Record):
    """Why a ticket is refused.

    Attributes:
      kind: "malformed", "foreign_host", "foreign_incarnation", "signature"
        or "expired".
      code: Code in the answer to the caller.
      verdict: Whether a request with this ticket may have run before.
      detail: Explanation for people.
    """

    __slots__ = ("kind", "code", "verdict", "detail")

    def __init__(
        self, *, kind: str, code: str, verdict: verdicts.Verdict, detail: str
    ):
        self.kind = kind
        self.code = code
        self.verdict = verdict
        self.detail = detail


def issue_ticket(
    key: bytes, host: str, incarnation: int, number: int, expires_at_ms: int
) -> str:
    """Returns a ticket as URL-safe text.

    Args:
      key: Random key of the process.
      host: Host that issues the ticket.
      incarnation: Incarnation of the process.
      number: Must be unique within the process.
      expires_at_ms: Expiry on the monotonic clock of the process,
        milliseconds.
    """
    quoted = urllib.parse.quote(host, safe="")
    content = f"{quoted}.{incarnation}.{number}.{expires_at_ms}"
    return f"{content}.{_sign(key, content)}"


def check_ticket(
    key: bytes, host: str, incarnation: int, text: str, now_ms: int
) -> expression.Result[Ticket, TicketFault]:
    """Returns the contents of a ticket issued by this process, or a fault.

    A ticket of another process, or an expired one, may have been used without
    a record in this process, so its verdict is MAY_HAVE_RUN. A malformed or
    forged ticket is accepted by no process.

    Args:
      key: Random key of the process.
      host: This host.
      incarnation: Incarnation of this process.
      text: The ticket that the caller sent.
      now_ms: Monotonic clock of this process, milliseconds.
    """
    ticket = _parse(text)
    if ticket is None:
        return _refuse(
            "malformed",
            "the ticket is malformed; it must be sent as /v1/placement gave it",
        )
    if ticket.host != host:
        return _refuse(
            "foreign_host", f"the ticket was issued by host {ticket.host!r}"
        )
    if ticket.incarnation != incarnation:
        return _refuse(
            "foreign_incarnation",
            f"the ticket was issued by another process of host {host!r}",
        )
    content, _, signature = text.rpartition(".")
    if not hmac.compare_digest(signature, _sign(key, content)):
        return _refuse("signature", "the signature of the ticket is invalid")
    if now_ms >= ticket.expires_at_ms:
        return _refuse(
            "expired", "the ticket has expired; its use is no longer recorded"
        )
    return expression.Ok(ticket)


_REFUSALS = {
    "malformed": ("bad_ticket", verdicts.Verdict.NOT_RUN),
    "signature": ("bad_ticket", verdicts.Verdict.NOT_RUN),
    "foreign_host": ("ticket_foreign", verdicts.Verdict.MAY_HAVE_RUN),
    "foreign_incarnation": ("ticket_foreign", verdicts.Verdict.MAY_HAVE_RUN),
    "expired": ("ticket_used", verdicts.Verdict.MAY_HAVE_RUN),
}


def _refuse(kind: str, detail: str) -> expression.Result[Ticket, TicketFault]:
    code, verdict = _REFUSALS[kind]
    return expression.Error(
        TicketFault(kind=kind, code=code, verdict=verdict, detail=detail)
    )


def _sign(key: bytes, content: str) -> str:
    digest = hmac.new(key, content.encode("ascii"), hashlib.sha256).digest()
    encoded = base64.urlsafe_b64encode(digest[:_DIGEST_BYTES])
    return encoded.decode("ascii").rstrip("=")


def _parse(text: str) -> Ticket | None:
    parts = text.rsplit(".", 4)
    if len(parts) != 5 or not text.isascii():
        return None
    quoted, *numbers, _ = parts
    if not all(n.isdigit() and len(n) <= _NUMBER_DIGITS for n in numbers):
        return None
    incarnation, number, expires_at_ms = (int(n) for n in numbers)
    return Ticket(
        host=urllib.parse.unquote(quoted),
        incarnation=incarnation,
        number=number,
        expires_at_ms=expires_at_ms,
    )
