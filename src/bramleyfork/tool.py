"""The command-line tool ``bramleyfork`` for operators."""

import inspect
import json
import sys
import typing

from absl import flags

from bramleyfork import commands
from bramleyfork.commands import registry
from bramleyfork.core import module_loading
from bramleyfork.core import registries

Row = dict[str, typing.Any]
Formatter = typing.Callable[[registry.CommandResult], str]
FORMATTERS: registries.Registry[Formatter] = registries.Registry(
    kind="output format"
)

_MAX_CELL_CHARACTERS = 100  # In tables; json is not cut.
_HELP_NAMES = ("help", "--help", "-h")

_USAGE = """\
usage: bramleyfork COMMAND [ARGUMENTS] [FLAGS]
       bramleyfork help COMMAND

commands:
{commands}

flags:
{flags}

exit codes:
  0  done
  1  refused, or the answer is incomplete
  2  wrong usage
  3  the host could not be reached or gave no answer

examples:
  bramleyfork show state --administration 127.0.1.1:8081
  bramleyfork place --caller 127.0.1.1:8080 --data_centre bilbao
  bramleyfork query availability --caller 127.0.1.1:8080 --deadline_ms 400
  bramleyfork check examples/torno-norte/declaration
"""


def define_flags() -> flags.FlagValues:
    """Returns the flags of the tool, separate from the global flags."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)  # Flags may follow the command.
    common_arguments = {"flag_values": values}
    flags.DEFINE_enum(
        "output",
        "table",
        FORMATTERS.list_names(),
        "Output format.",
        **common_arguments,
    )
    flags.DEFINE_string(
        "administration",
        "",
        "Administration address of a host.",
        **common_arguments,
    )
    flags.DEFINE_string(
        "caller", "", "Caller address of a host.", **common_arguments
    )
    flags.DEFINE_integer(
        "deadline_ms",
        1000,
        "Deadline of a query, milliseconds.",
        lower_bound=1,
        **common_arguments,
    )
    flags.DEFINE_string(
        "parameters", "", "Parameters of a query.", **common_arguments
    )
    flags.DEFINE_integer(
        "key", None, "Key of a keyed lookup.", **common_arguments
    )
    flags.DEFINE_string(
        "ticket",
        None,
        "Ticket of a lookup that is not idempotent.",
        **common_arguments,
    )
    flags.DEFINE_string(
        "data_centre", None, "Data centre of the caller.", **common_arguments
    )
    flags.DEFINE_integer(
        "tickets",
        0,
        "Number of tickets to ask for.",
        lower_bound=0,
        **common_arguments,
    )
    return values


def main(argv: list[str]) -> int:
    """Runs one command; returns the exit code.

    Args:
      argv: Name of the program, command, arguments and flags.
    """
    module_loading.import_modules(commands)
    values = define_flags()
    if len(argv) < 2 or any(name in argv for name in _HELP_NAMES):
        sys.stdout.write(build_help(values, argv[1:]))
        return registry.EXIT_USAGE if len(argv) < 2 else registry.EXIT_OK
    try:
        _, *positional = values(argv)
        command = registry.COMMANDS.find(positional[0] if positional else "")
    except (flags.Error, registries.UnknownNameError) as error:
        sys.stderr.write(f"bramleyfork: {error}; see: bramleyfork --help\n")
        return registry.EXIT_USAGE
    options = registry.CommandOptions(
        **{
            name: values[name].value
            for name in registry.CommandOptions.__slots__
        }
    )
    result = command(positional[1:], options)
    sys.stdout.write(FORMATTERS.find(options.output)(result))
    if result.message and options.output != "json":
        stream = sys.stderr if result.exit_code else sys.stdout
        stream.write(f"{result.message}\n")
    return result.exit_code


def build_help(values: flags.FlagValues, arguments: list[str]) -> str:
    """Returns the help on a command, or on all commands and flags.

    Args:
      values: Flags of the tool.
      arguments: Arguments of the tool; the first command among them gets its
        own help.
    """
    texts = {
        name: inspect.cleandoc(command.__doc__ or "")
        for name, command in registry.COMMANDS.list_items()
    }
    for argument in arguments:
        if argument in texts:
            return f"{texts[argument]}\n"
    command_lines = [
        f"  {name:18}{text.partition(chr(10))[0]}"
        for name, text in texts.items()
    ]
    flag_lines = [
        f"  --{name:16}{values[name].help} (default: {values[name].value})"
        for name in registry.CommandOptions.__slots__
    ]
    return _USAGE.format(
        commands="\n".join(command_lines), flags="\n".join(flag_lines)
    )


@FORMATTERS.register("json")
def format_json(result: registry.CommandResult) -> str:
    """Returns rows and message as one JSON object."""
    document = {"message": result.message, "rows": result.rows}
    return json.dumps(document, indent=2, default=str) + "\n"


@FORMATTERS.register("table")
def format_table(result: registry.CommandResult) -> str:
    """Returns rows in aligned columns; long cells are cut off."""
    if not result.rows:
        return ""
    names = list(result.rows[0])
    lines = [names] + [
        [_format_cell(row.get(name)) for name in names] for row in result.rows
    ]
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + "\n"
        for line in lines
    )


def _format_cell(value: typing.Any) -> str:
    if value is None:
        return "-"
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) > _MAX_CELL_CHARACTERS:
        return text[: _MAX_CELL_CHARACTERS - 3] + "..."
    return text


def run() -> None:
    """Entry point of the installed program."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
