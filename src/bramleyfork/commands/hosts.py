"""Commands that send requests to a running host."""

import collections.abc
import typing

from bramleyfork.commands import host_client
from bramleyfork.commands import registry
from bramleyfork.core import registries
from bramleyfork.core import verdicts

# Added to the deadline of a query, as a host answers up to 0.1 s after it.
_ANSWER_GRACE_S = 1.0

Row = dict[str, typing.Any]
PageFormatter = collections.abc.Callable[[typing.Any], list[Row]]
PAGE_FORMATTERS: registries.Registry[PageFormatter] = registries.Registry(
    kind="page"
)


@registry.COMMANDS.register("show")
def show_page(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Shows a host page: show state|configuration|targets|members|decisions.

    Example: bramleyfork show targets --administration 127.0.1.1:8081
    """
    if len(arguments) != 1 or arguments[0] not in PAGE_FORMATTERS.list_names():
        valid = "|".join(PAGE_FORMATTERS.list_names())
        return _report_usage(f"show {valid}", arguments)
    if not options.administration:
        return _report_missing("administration")
    page = arguments[0]
    response = host_client.send_request(
        "GET", options.administration, f"/v1/{page}"
    )
    if response.is_error():
        return _report_failure(response.error, "administration")
    if response.ok.status != 200:
        return _report_refusal(response.ok)
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=PAGE_FORMATTERS.find(page)(response.ok.document),
        message="",
    )


@registry.COMMANDS.register("place")
def place(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Lists the hosts that a caller should use, best first.

    Example: bramleyfork place --caller 127.0.1.1:8080 --tickets 1
    """
    if arguments:
        return _report_usage("place", arguments)
    if not options.caller:
        return _report_missing("caller")
    fields = {"tickets": str(options.tickets)}
    if options.data_centre is not None:
        fields["data_centre"] = options.data_centre
    response = host_client.send_request(
        "GET", options.caller, "/v1/placement", fields=fields
    )
    if response.is_error():
        return _report_failure(response.error, "caller")
    if response.ok.status != 200:
        return _report_refusal(response.ok)
    document = response.ok.document
    hosts, tickets = document["hosts"], document["tickets"]
    # Only the host that is listed first issues tickets.
    rows = [
        host | {"tickets": [] if index else tickets}
        for index, host in enumerate(hosts)
    ]
    message = f"valid for {document['lifetime_ms']} ms"
    if len(tickets) < options.tickets:
        return registry.CommandResult(
            exit_code=registry.EXIT_REFUSED,
            rows=rows,
            message=f"{message}; this host issued no tickets: ask"
            f" {hosts[0]['address']}, which is listed first",
        )
    return registry.CommandResult(
        exit_code=registry.EXIT_OK, rows=rows, message=message
    )


@registry.COMMANDS.register("query")
def query(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Sends a query: query LOOKUP.

    Example: bramleyfork query availability --caller 127.0.1.1:8080
    --parameters date=2026-12-05 --deadline_ms 400
    """
    if len(arguments) != 1:
        return _report_usage("query LOOKUP", arguments)
    if not options.caller:
        return _report_missing("caller")
    document: Row = {
        "lookup": arguments[0],
        "deadline_ms": options.deadline_ms,
        "parameters": options.parameters,
    }
    if options.key is not None:
        document["key"] = options.key
    if options.ticket is not None:
        document["ticket"] = options.ticket
    response = host_client.send_request(
        "POST",
        options.caller,
        "/v1/query",
        document=document,
        timeout_s=options.deadline_ms / 1000 + _ANSWER_GRACE_S,
    )
    if response.is_error():
        return _report_failure(response.error, "caller")
    answer = response.ok.document
    if answer.get("code") != "ok":
        return _report_refusal(response.ok)
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=_list_records(answer),
        message=_summarise(answer),
    )


def _list_records(answer: Row) -> list[Row]:
    return [
        {"service": service, "key": key, "value": value}
        for service, key, value in answer.get("records", [])
    ]


def _summarise(answer: Row) -> str:
    return (
        f"{answer['code']} ({answer['verdict']}): snapshot"
        f" {answer['snapshot']}, coverage {answer['coverage']:.4f},"
        f" missing {answer['missing']}"
    )


@PAGE_FORMATTERS.register("state")
@PAGE_FORMATTERS.register("configuration")
def list_fields(document: Row) -> list[Row]:
    """Returns one row per field; fields of nested objects get dotted names."""
    rows = []
    for name, value in document.items():
        if isinstance(value, dict) and value:
            rows.extend(
                {"field": f"{name}.{row['field']}", "value": row["value"]}
                for row in list_fields(value)
            )
        else:
            rows.append({"field": name, "value": value})
    return rows


@PAGE_FORMATTERS.register("targets")
def list_targets(document: Row) -> list[Row]:
    """Returns one row per target."""
    return _list_section(document, "targets", ("heard_at",))


@PAGE_FORMATTERS.register("members")
def list_members(document: Row) -> list[Row]:
    """Returns one row per host."""
    return _list_section(document, "members", ("changed_at",))


def _list_section(
    document: Row, section: str, time_fields: tuple[str, ...]
) -> list[Row]:
    """Returns a row per record, with times replaced by ages in seconds."""
    rows = []
    for record in document[section]:
        row = dict(record)
        for name in time_fields:
            timestamp = row.pop(name)
            age = (
                None
                if timestamp is None
                else round(document["now"] - timestamp, 1)
            )
            row[f"{name.removesuffix('_at')}_s_ago"] = age
        rows.append(row)
    return rows


@PAGE_FORMATTERS.register("decisions")
def list_decisions(document: Row) -> list[Row]:
    """Returns one row per decision, with its own fields under "detail"."""
    common_fields = ("time", "message")
    return [
        {name: entry.get(name) for name in common_fields}
        | {
            "detail": {
                name: value
                for name, value in entry.items()
                if name not in (*common_fields, "level", "logger")
            }
        }
        for entry in document["decisions"]
    ]


def _report_usage(usage: str, arguments: list[str]) -> registry.CommandResult:
    given = " ".join(arguments)
    return registry.CommandResult(
        exit_code=registry.EXIT_USAGE,
        rows=[],
        message=f"usage: bramleyfork {usage}; got arguments {given!r}",
    )


def _report_missing(flag: str) -> registry.CommandResult:
    return registry.CommandResult(
        exit_code=registry.EXIT_USAGE,
        rows=[],
        message=f"--{flag} is required; give the {flag} address of a host,"
        f" for instance --{flag} 127.0.1.1:8080",
    )


def _report_failure(
    failure: host_client.RequestFailure, flag: str
) -> registry.CommandResult:
    advice = (
        f"check the address in --{flag} and whether the host is running,"
        " or ask another host"
    )
    if failure.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        advice = (
            "the request may have run; repeat it only if that is harmless,"
            " else check its effect first"
        )
    return registry.CommandResult(
        exit_code=registry.EXIT_UNREACHABLE,
        rows=[],
        message=f"{failure.detail}; {advice}",
    )


_ADVICE = {
    "bad_ticket": "get a ticket with: place --tickets 1",
    "ticket_required": "get a ticket with: place --tickets 1",
    "ticket_used": "check the first use's effect before getting a new ticket",
    "ticket_foreign": "send it to the host that issued the ticket",
    "no_hosts": "ask another host; this one lists no host that accepts queries",
    "unknown_lookup": "list the lookups with: show configuration",
    "partial": "see the missing ranges; repeat if the query is idempotent",
}


def _report_refusal(reply: host_client.Reply) -> registry.CommandResult:
    """Reports a refusal or an incomplete answer, with advice."""
    answer = reply.document if isinstance(reply.document, dict) else {}
    code = answer.get("code", "unknown")
    advice = _ADVICE.get(code)
    if advice is None:
        advice = _advise_by_verdict(answer)
    phrases = [f"status {reply.status}, code {code!r}"]
    if code == "partial":
        phrases.append(_summarise(answer))
    if answer.get("detail"):
        phrases.append(answer["detail"])
    if answer.get("retry_after_ms"):
        phrases.append(f"retry after {answer['retry_after_ms']} ms")
    if answer.get("hosts"):
        phrases.append(f"other hosts: {', '.join(answer['hosts'])}")
    return registry.CommandResult(
        exit_code=registry.EXIT_REFUSED,
        rows=_list_records(answer),
        message="; ".join([*phrases, advice]),
    )


def _advise_by_verdict(answer: Row) -> str:
    if answer.get("verdict") == "MAY_HAVE_RUN":
        return "the request may have run; repeat it only if that is harmless"
    return "the request did not run; correct it or repeat it later"
