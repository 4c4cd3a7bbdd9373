"""Routes, services and targets in a TOML file, checked as a whole."""

import collections.abc
import re
import typing

import expression

from bramleyfork.configuration import manifests
from bramleyfork.configuration import tables
from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry.decisions import matching
from bramleyfork.standalone import settings

_HOST_NAME = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?")
_PATH = re.compile(r"/[!-~]{0,1023}")
_STATES = ("ready", "draining")

Problems = tuple[tables.Problem, ...]


@tables.VALIDATORS.register("host_name")
def check_host_name(
    option: tables.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts the host name of requests."""
    del option
    if isinstance(value, str) and _HOST_NAME.fullmatch(value):
        return expression.Ok(value)
    return expression.Error(
        "a host name in lower case without port, such as 'search.example'"
    )


@tables.VALIDATORS.register("url_path")
def check_url_path(
    option: tables.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a path of a URL."""
    del option
    if isinstance(value, str) and _PATH.fullmatch(value):
        return expression.Ok(value)
    return expression.Error("a path that begins with /, such as '/health'")


@tables.VALIDATORS.register("url_prefix")
def check_url_prefix(
    option: tables.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a prefix of paths."""
    if check_url_path(option, value).is_ok() and value.endswith("/"):
        return expression.Ok(value)
    return expression.Error("a path that begins and ends with /")


@tables.VALIDATORS.register("weights")
def check_weights(
    option: tables.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of weights, at least one of them above 0."""
    del option
    is_list = isinstance(value, list) and all(
        isinstance(weight, int | float)
        and not isinstance(weight, bool)
        and 0 <= weight < 1e9
        for weight in value
    )
    if is_list and (not value or any(value)):
        return expression.Ok(tuple(float(weight) for weight in value))
    return expression.Error(
        "a list of numbers of at least 0, one of them above 0"
    )


SERVICE_OPTIONS = (
    tables.Option(key="name", type="name", purpose="Unique name."),
    tables.Option(
        key="health_path",
        type="url_path",
        default="/health",
        purpose="Path of the targets' health check.",
    ),
    tables.Option(
        key="connection_limit",
        type="integer",
        unit="connections",
        low=1,
        high=1_000_000,
        purpose="Connections that one target accepts from all hosts.",
    ),
    tables.Option(
        key="warmup_s",
        type="number",
        default=0.0,
        unit="seconds",
        low=0,
        high=3600,
        purpose="Time for which a started target is cold.",
    ),
)

ROUTE_OPTIONS = (
    tables.Option(key="name", type="name", purpose="Unique name."),
    tables.Option(
        key="host", type="host_name", purpose="Host name of the requests."
    ),
    tables.Option(
        key="prefix", type="url_prefix", purpose="Prefix of their paths."
    ),
    tables.Option(
        key="idempotent",
        type="flag",
        purpose="Whether a request may run more than once.",
    ),
    tables.Option(
        key="timeout_s",
        type="number",
        unit="seconds",
        low=0.001,
        high=3600,
        purpose="Longest time that a caller is kept waiting.",
    ),
    tables.Option(
        key="aim_s",
        type="number",
        unit="seconds",
        low=0.001,
        high=3600,
        purpose="Time within which an answer is worth most.",
    ),
    tables.Option(
        key="priority",
        type="integer",
        default=0,
        low=0,
        high=100,
        purpose="Rank, 0 is the most urgent.",
    ),
    tables.Option(
        key="attempts",
        type="integer",
        default=2,
        low=1,
        high=100,
        purpose="Most targets that one request may be sent to, per shard.",
    ),
    tables.Option(
        key="services",
        type="names",
        default=(),
        purpose="Services that requests are divided among.",
    ),
    tables.Option(
        key="weights",
        type="weights",
        default=(),
        purpose="Their weights; equal if left out.",
    ),
    tables.Option(
        key="shards",
        type="names",
        default=(),
        purpose="Services that each request goes to all of, instead.",
    ),
    tables.Option(
        key="record_limit",
        type="integer",
        default=0,
        unit="records",
        low=0,
        high=1_000_000,
        purpose="Greatest records that an answer over shards contains.",
    ),
    tables.Option(
        key="least_share",
        type="number",
        default=1.0,
        low=0,
        high=1,
        purpose="Least part of the shards that makes an answer.",
    ),
    tables.Option(
        key="regions",
        type="names",
        default=(),
        purpose="Regions that may serve the route; empty for all.",
    ),
)

TARGET_OPTIONS = (
    tables.Option(key="name", type="name", purpose="Unique id."),
    tables.Option(key="service", type="name", purpose="Its service."),
    tables.Option(key="address", type="address", purpose="Where it listens."),
    tables.Option(key="data_centre", type="name", purpose="Where it is."),
    tables.Option(
        key="slots",
        type="integer",
        default=1,
        unit="requests",
        low=1,
        high=100_000,
        purpose="Requests that it runs at the same time.",
    ),
    tables.Option(
        key="state",
        type="choice",
        default="ready",
        choices=_STATES,
        purpose="Whether it takes requests or is about to leave.",
    ),
    tables.Option(
        key="born_ms",
        type="integer",
        default=0,
        unit="milliseconds since 1970",
        low=0,
        high=2**53,
        purpose="Start of its process; a new one is another process.",
    ),
)

LIMIT_OPTIONS = (
    tables.Option(
        key="header_bytes",
        type="integer",
        default=16_384,
        unit="bytes",
        low=256,
        high=1_048_576,
        purpose="Longest head of a request.",
    ),
    tables.Option(
        key="body_bytes",
        type="integer",
        default=1_048_576,
        unit="bytes",
        low=0,
        high=1_073_741_824,
        purpose="Longest body of a request.",
    ),
    tables.Option(
        key="header_s",
        type="number",
        default=5.0,
        unit="seconds",
        low=0.01,
        high=3600,
        purpose="Longest time for a head to arrive.",
    ),
    tables.Option(
        key="idle_s",
        type="number",
        default=60.0,
        unit="seconds",
        low=0.1,
        high=86_400,
        purpose="Longest time that a connection may be idle.",
    ),
)

_TABLES = {
    "services": SERVICE_OPTIONS,
    "routes": ROUTE_OPTIONS,
    "targets": TARGET_OPTIONS,
}
TOP_OPTIONS = (
    tables.Option(
        key="revision",
        type="integer",
        low=1,
        high=2**53,
        purpose="Raised with each change; an older one is not followed.",
    ),
    tables.Option(
        key="evacuated",
        type="names",
        default=(),
        purpose="Data centres whose targets get no requests.",
    ),
)


class Declared:
    """A declaration that was accepted.

    Attributes:
      revision: Its revision.
      changes: The content of each entry of the feed.
    """

    __slots__ = ("revision", "changes")

    def __init__(self, *, revision: int, changes: tuple[feeds.Change, ...]):
        self.revision = revision
        self.changes = changes


def load_declaration(path: str) -> expression.Result[Declared, Problems]:
    """Reads and checks a declaration; reports every problem.

    Args:
      path: A TOML file with the tables services, routes and targets.
    """
    return manifests.read_file(path, "a readable declaration").bind(
        lambda body: read_declaration(body, path)
    )


def read_declaration(
    body: bytes, file: str
) -> expression.Result[Declared, Problems]:
    """Checks a declaration; ``file`` names it in problems."""
    parsed = manifests.parse_toml(body, file)
    if parsed.is_error():
        return parsed
    values = dict(parsed.ok)
    problems: list[tables.Problem] = []
    limits = _check_row(
        LIMIT_OPTIONS, values.pop("limits", {}), file, "limits", problems
    )
    rows = {
        name: _check_rows(name, values.pop(name, []), file, problems)
        for name in _TABLES
    }
    top = _check_row(TOP_OPTIONS, values, file, "", problems)
    if not problems:
        problems.extend(_check_references(rows, file))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(_build_declared(top, limits, rows))


def _check_row(options, values, file, prefix, problems):
    if not isinstance(values, dict):
        problems.append(
            tables.Problem(
                file=file, key=prefix, value=values, allowed="a table"
            )
        )
        return {}
    checked = tables.check_options(
        options, values, file=file, prefix=prefix and f"{prefix}."
    )
    if checked.is_error():
        problems.extend(checked.error)
        return {}
    return checked.ok


def _check_rows(
    name: str,
    rows: typing.Any,
    file: str,
    problems: list[tables.Problem],
) -> list[dict[str, typing.Any]]:
    if not isinstance(rows, list):
        problems.append(
            tables.Problem(
                file=file,
                key=name,
                value=rows,
                allowed=f"tables [[{name}]]",
            )
        )
        return []
    return [
        _check_row(_TABLES[name], row, file, f"{name}[{index}]", problems)
        for index, row in enumerate(rows)
    ]


def _check_references(
    rows: dict[str, list[dict[str, typing.Any]]], file: str
) -> collections.abc.Iterator[tables.Problem]:
    for table, found in rows.items():
        yield from _check_unique(table, found, file)
    services = {row["name"] for row in rows["services"]}
    for index, row in enumerate(rows["routes"]):
        key = f"routes[{index}]"
        yield from _check_names(
            f"{key}.services", row["services"], services, file
        )
        yield from _check_names(f"{key}.shards", row["shards"], services, file)
        yield from _check_route(key, row, file)
    for index, row in enumerate(rows["targets"]):
        yield from _check_names(
            f"targets[{index}].service", (row["service"],), services, file
        )


def _check_unique(table, rows, file):
    seen = set()
    for index, row in enumerate(rows):
        if row["name"] in seen:
            yield tables.Problem(
                file=file,
                key=f"{table}[{index}].name",
                value=row["name"],
                allowed=f"a name that no other of the {table} has",
            )
        seen.add(row["name"])


def _check_names(key, names, valid, file):
    for name in names:
        if name not in valid:
            allowed, advice = tables.check_unknown(name, valid)
            yield tables.Problem(
                file=file, key=key, value=name, allowed=allowed, advice=advice
            )


def _check_route(key, row, file):
    if bool(row["services"]) == bool(row["shards"]):
        yield tables.Problem(
            file=file,
            key=key,
            value=row["name"],
            allowed="either services or shards",
        )
    if row["weights"] and len(row["weights"]) != len(row["services"]):
        yield tables.Problem(
            file=file,
            key=f"{key}.weights",
            value=row["weights"],
            allowed=f"one weight for each of {len(row['services'])} services",
        )
    if row["shards"] and not row["idempotent"]:
        yield tables.Problem(
            file=file,
            key=f"{key}.idempotent",
            value=False,
            allowed="true, as shards are asked more than once",
        )
    if row["shards"] and not row["record_limit"]:
        yield tables.Problem(
            file=file,
            key=f"{key}.record_limit",
            value=0,
            allowed="at least 1 for a route with shards",
        )


def _build_declared(top, limits, rows) -> Declared:
    revision = top["revision"]
    table = declarations.RouteTable(
        version=revision,
        revision=revision,
        routes=matching.group_routes(
            _build_route(row) for row in rows["routes"]
        ),
        services={
            row["name"]: declarations.Service(**row) for row in rows["services"]
        },
        limits=declarations.CallerLimits(**limits),
    )
    entries = [("routes", "", table)]
    entries += [("evacuation", name, None) for name in top["evacuated"]]
    entries += [
        ("target", row["name"], _build_target(row)) for row in rows["targets"]
    ]
    return Declared(
        revision=revision,
        changes=tuple(
            feeds.Change(
                key=f"{subject}:{name}",
                revision=revision,
                subject=subject,
                name=name,
                content=content,
                is_removed=False,
            )
            for subject, name, content in entries
        ),
    )


def _build_route(row: dict[str, typing.Any]) -> declarations.Route:
    fields = dict(row)
    services = fields.pop("services")
    weights = fields.pop("weights") or (1.0,) * len(services)
    return declarations.Route(
        **fields
        | {
            "regions": frozenset(row["regions"]),
            "shares": tuple(
                declarations.Share(service=service, weight=weight)
                for service, weight in zip(services, weights, strict=True)
            ),
        }
    )


def _build_target(row: dict[str, typing.Any]) -> declarations.ListedTarget:
    return declarations.ListedTarget(
        target=row["name"],
        born_ms=row["born_ms"],
        service=row["service"],
        address=settings.split_address(row["address"]),
        data_centre=row["data_centre"],
        slots=row["slots"],
        is_draining=row["state"] == "draining",
        warm_at=0.0,
    )
