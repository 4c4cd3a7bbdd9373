"""Single-use tickets of requests that are not idempotent.

A ticket is accepted only by the host that issued it.
"""

from bramleyfork.configuration import settings as settings_module
from bramleyfork.core import blackboard
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import answers
from bramleyfork.decisions import query_admission
from bramleyfork.decisions import tickets


class UsedTickets:
    """Accepts each ticket once and records its use until it expires.

    Args:
      settings: Host, incarnation and key that tickets are checked against.
      table: The section ``tickets``.
      writer: Its writer.
    """

    __slots__ = ("_settings", "_table", "_writer", "_numbers")

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        table: blackboard.Table,
        writer: blackboard.TableWriter,
    ):
        self._settings = settings
        self._table = table
        self._writer = writer
        self._numbers: dict[str, int] = {}  # Ticket number by query id.

    def accept(
        self, query: requests.Query, now: float
    ) -> fleet.TicketUse | replies.Answer:
        """Marks a query's ticket as used.

        Returns:
          The recorded use, or a refusal for the caller if the ticket is
          invalid, has expired or was used before.
        """
        checked = tickets.check_ticket(
            self._settings.ticket_key,
            self._settings.host,
            self._settings.incarnation,
            query.ticket,
            int(now * 1000),
        )
        if checked.is_error():
            return answers.build_refusal(
                query.query_id,
                checked.error.code,
                verdict=checked.error.verdict,
                detail=checked.error.detail,
            )
        ticket = checked.ok
        earlier = self._table.get(ticket.number)
        if earlier is not None:
            return query_admission.refuse_used_ticket(query, earlier)
        use = fleet.TicketUse(
            number=ticket.number,
            query_id=query.query_id,
            verdict=None,
            expires_at=ticket.expires_at_ms / 1000,
        )
        self._writer.put(ticket.number, use)
        self._numbers[query.query_id] = ticket.number
        return use

    def record_verdict(self, query_id: str, verdict: verdicts.Verdict) -> None:
        """Records the outcome of the query that used a ticket."""
        number = self._numbers.pop(query_id)
        use = self._table.get(number)
        if use is not None:
            self._writer.put(number, use.replace(verdict=verdict))

    def remove_expired(self, number: int) -> None:
        """Removes the record of a ticket that has expired.

        The record is no longer needed: ``accept`` refuses an expired ticket
        without it.
        """
        self._writer.remove(number)
