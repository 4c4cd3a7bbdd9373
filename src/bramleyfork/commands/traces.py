"""Commands that explain what hosts did, from their logs and state."""

import json
import pathlib
import sys
import typing

from bramleyfork.commands import host_client
from bramleyfork.commands import registry

# Fields of a line that have a column of their own, or that name the request.
_FIELDS_OUTSIDE_DETAILS = frozenset(
    ("time", "host", "message", "request", "level")
)
# Lines of a host that bear on a request but don't name it.
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
    """Shows what the hosts decided on one request, in order of time.

    trace REQUEST LOG...: reads JSON lines from files, "-" for standard input,
    and shows those of the request and, of the hosts that took it, what changed
    their beliefs in the ten seconds before.
    """
    del options
    if len(arguments) < 2:
        return registry.CommandResult(
            exit_code=registry.EXIT_USAGE,
            rows=[],
            message="trace needs a request's id and at least one log",
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
            message=f"no line names the request {request_id!r}",
        )
    return registry.CommandResult(
        exit_code=registry.EXIT_OK, rows=[_build_row(e) for e in selected]
    )


@registry.COMMANDS.register("belief")
def show_entry_state(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Shows what an entry host believes of its feed, hosts and targets.

    belief [KEY]: asks the host's metrics address, given as --administration;
    KEY is a service or one of the keys.
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
    """Returns the lines that explain a request, in order of time.

    Args:
      entries: Lines of any hosts.
      request_id: The request's id.
      before_s: Seconds before it for which changed beliefs are shown.
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
        # Lines may have a prefix, such as a collector's own time and host.
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
