"""Commands that trace a request in logs and show an entry host's state."""

import json
import pathlib
import sys
import typing

from bramleyfork.commands import host_client
from bramleyfork.commands import registry

# Not shown under "details": they have a column of their own or, as the request
# ID and the level, are left out.
_FIELDS_OUTSIDE_DETAILS = frozenset(
    ("time", "host", "message", "request", "level")
)
# Messages about state changes that affect requests. They have no request ID.
_CONTEXT_MESSAGES = frozenset(
    (
        "feed lost",
        "feed regained",
        "route table in force",
        "process",
        "evacuation",
    )
)


@registry.COMMANDS.register("trace")
def trace(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Shows what hosts logged about one request, in order of time.

    trace REQUEST LOG...: reads JSON lines from files, "-" for standard input.
    Shows the lines of the request and the state changes that the same hosts
    logged meanwhile or in the ten seconds before.
    """
    del options
    if len(arguments) < 2:
        return registry.CommandResult(
            exit_code=registry.EXIT_USAGE,
            rows=[],
            message="trace needs a request ID and at least one log file",
        )
    request_id, *paths = arguments
    entries = []
    for path in paths:
        try:
            entries.extend(_read_entries(path))
        except OSError as error:
            return registry.CommandResult(
                exit_code=registry.EXIT_USAGE,
                rows=[],
                message=f"log {path!r} can't be read: {error.strerror}",
            )
    selected = select_entries(entries, request_id)
    if not selected:
        return registry.CommandResult(
            exit_code=registry.EXIT_REFUSED,
            rows=[],
            message=f"no log line has the request ID {request_id!r}",
        )
    return registry.CommandResult(
        exit_code=registry.EXIT_OK, rows=[_build_row(e) for e in selected]
    )


@registry.COMMANDS.register("belief")
def show_entry_state(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Shows an entry host's view of its feed, other hosts and targets.

    belief [KEY...]: reads /state from the host's metrics address, given as
    --administration. Shows all rows, or only those whose last key part, after
    the last dot, is one of the KEYs.
    """
    if not options.administration:
        return registry.CommandResult(
            exit_code=registry.EXIT_USAGE,
            rows=[],
            message="belief needs --administration ADDRESS:PORT",
        )
    response = host_client.send_request("GET", options.administration, "/state")
    if response.is_error():
        return registry.CommandResult(
            exit_code=registry.EXIT_UNREACHABLE,
            rows=[],
            message=response.error.detail,
        )
    rows = [
        {"key": key, "value": value}
        for key, value in _flatten(response.ok.document)
        if not arguments or key.split(".")[-1] in arguments
    ]
    return registry.CommandResult(exit_code=registry.EXIT_OK, rows=rows)


def select_entries(
    entries: list[dict[str, typing.Any]],
    request_id: str,
    before_s: float = 10.0,
) -> list[dict[str, typing.Any]]:
    """Returns a request's log lines and state changes, in order of time.

    Args:
      entries: Parsed log lines of any hosts.
      request_id: ID of the request.
      before_s: How long before the request's first line state changes of its
        hosts are included, seconds.
    """
    request_entries = [
        entry for entry in entries if entry.get("request") == request_id
    ]
    if not request_entries:
        return []
    hosts = {entry.get("host") for entry in request_entries}
    begin = min(entry["time"] for entry in request_entries) - before_s
    end = max(entry["time"] for entry in request_entries)
    context_entries = [
        entry
        for entry in entries
        if entry.get("message") in _CONTEXT_MESSAGES
        and entry.get("host") in hosts
        and begin <= entry["time"] <= end
    ]
    return sorted(
        request_entries + context_entries, key=lambda entry: entry["time"]
    )


def _read_entries(path: str) -> list[dict[str, typing.Any]]:
    if path == "-":
        text = sys.stdin.read()
    else:
        text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    entries = []
    for line in text.splitlines():
        # Log collectors may prefix lines, for instance with time and host.
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            entry = json.loads(line[json_start:])
        except ValueError:
            continue
        if isinstance(entry, dict) and isinstance(
            entry.get("time"), int | float
        ):
            entries.append(entry)
    return entries


def _build_row(entry: dict[str, typing.Any]) -> dict[str, typing.Any]:
    details = {
        name: value
        for name, value in entry.items()
        if name not in _FIELDS_OUTSIDE_DETAILS and value not in (None, [], {})
    }
    return {
        "time": f"{entry['time']:.3f}",
        "host": entry.get("host", ""),
        "message": entry.get("message", ""),
        "details": " ".join(f"{n}={v}" for n, v in details.items()),
    }


def _flatten(
    value: dict[str, typing.Any], prefix: str = ""
) -> list[tuple[str, typing.Any]]:
    pairs = []
    for key, inner in value.items():
        if isinstance(inner, dict):
            pairs.extend(_flatten(inner, f"{prefix}{key}."))
        else:
            pairs.append((prefix + key, inner))
    return pairs
