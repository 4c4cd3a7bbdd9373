"""Registry of the tool's commands, with their options and results."""

import collections.abc
import typing

from bramleyfork.core import records
from bramleyfork.core import registries

EXIT_OK = 0
EXIT_REFUSED = 1  # Refused, or an incomplete answer.
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class CommandOptions(records.Record):
    """Options common to all commands.

    Attributes:
      output: "table" or "json".
      administration: Administration address of the host to ask.
      caller: Caller address of the host to ask.
      deadline_ms: Deadline of a query, milliseconds.
      parameters: Parameters of a query.
      key: Key of a keyed lookup.
      ticket: Ticket of a lookup that is not idempotent.
      data_centre: Data centre of the caller.
      tickets: Number of tickets to ask for.
    """

    __slots__ = (
        "output",
        "administration",
        "caller",
        "deadline_ms",
        "parameters",
        "key",
        "ticket",
        "data_centre",
        "tickets",
    )

    def __init__(
        self,
        *,
        output: str = "table",
        administration: str = "",
        caller: str = "",
        deadline_ms: int = 1000,
        parameters: str = "",
        key: int | None = None,
        ticket: str | None = None,
        data_centre: str | None = None,
        tickets: int = 0,
    ):
        self.output = output
        self.administration = administration
        self.caller = caller
        self.deadline_ms = deadline_ms
        self.parameters = parameters
        self.key = key
        self.ticket = ticket
        self.data_centre = data_centre
        self.tickets = tickets


class CommandResult(records.Record):
    """Result of a command.

    Attributes:
      exit_code: One of the EXIT constants.
      rows: Rows to print; all have the same keys.
      message: One line for people.
    """

    __slots__ = ("exit_code", "rows", "message")

    def __init__(
        self,
        *,
        exit_code: int,
        rows: list[dict[str, typing.Any]],
        message: str = "",
    ):
        self.exit_code = exit_code
        self.rows = rows
        self.message = message


Command = collections.abc.Callable[[list[str], CommandOptions], CommandResult]
COMMANDS: registries.Registry[Command] = registries.Registry(kind="command")
