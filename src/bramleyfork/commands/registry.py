"""The registry of the tool's commands and the records they exchange."""

import collections.abc
import typing

from bramleyfork.core import records
from bramleyfork.core import registries


class Options(records.Record):
    """Options common to all commands.

    Attributes:
      output: "text" or "json".
      administration: Administration address of the host to ask.
      caller: Caller address of the host to ask.
      timeout_s: How long to wait for an answer, seconds.
    """

    __slots__ = ("output", "administration", "caller", "timeout_s")

    def __init__(
        self,
        *,
        output: str = "text",
        administration: str = "",
        caller: str = "",
        timeout_s: float = 5.0,
    ):
        self.output = output
        self.administration = administration
        self.caller = caller
        self.timeout_s = timeout_s


class Result(records.Record):
    """What a command found.

    Attributes:
      exit_code: 0 for success, 1 for a refusal, 2 for wrong usage.
      rows: Rows to print, with the same keys each.
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


Command = collections.abc.Callable[[list[str], Options], Result]
COMMANDS: registries.Registry[Command] = registries.Registry(kind="command")
