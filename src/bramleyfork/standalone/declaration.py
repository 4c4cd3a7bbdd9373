"""Parses and validates a declaration: routes, services and targets in TOML.

A declaration is accepted or rejected as a whole.
"""

import collections.abc
import typing

import expression

from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry.decisions import matching
from bramleyfork.listeners import limits as caller_limits
from bramleyfork.standalone import declared_options
from bramleyfork.standalone import settings

Problems = tuple[option_schemas.Problem, ...]


class LoadedDeclaration:
    """An accepted declaration, as entries of the feed.

    Attributes:
      revision: Its revision.
      changes: One change for the route table and for each target and each
        evacuated data centre.
    """

    __slots__ = ("revision", "changes")

    def __init__(self, *, revision: int, changes: tuple[feeds.Change, ...]):
        self.revision = revision
        self.changes = changes


def load_declaration(
    path: str,
) -> expression.Result[LoadedDeclaration, Problems]:
    """Reads and validates a declaration file.

    Args:
      path: Path of a TOML file with the tables services, routes and targets.

    Returns:
      The declaration, or all problems found in the file.
    """
    return manifests.read_file(path, "a readable declaration").bind(
        lambda body: parse_declaration(body, path)
    )


def parse_declaration(
    body: bytes, file: str
) -> expression.Result[LoadedDeclaration, Problems]:
    """Validates a declaration and converts it to entries of the feed.

    Args:
      body: Content of a TOML file.
      file: Name of the file, for problems.

    Returns:
      The declaration, or all problems found.
    """
    parsed = manifests.parse_toml(body, file)
    if parsed.is_error():
        return parsed
    values = dict(parsed.ok)
    problems: list[option_schemas.Problem] = []
    limits = _check_row(
        declared_options.LIMIT_OPTIONS,
        values.pop("limits", {}),
        file,
        "limits",
        problems,
    )
    rows = {
        name: _check_rows(name, values.pop(name, []), file, problems)
        for name in declared_options.TABLE_OPTIONS
    }
    top = _check_row(declared_options.TOP_OPTIONS, values, file, "", problems)
    if not problems:
        problems.extend(_check_references(rows, file))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(_build_declaration(top, limits, rows))


def _check_row(options, values, file, prefix, problems):
    if not isinstance(values, dict):
        problems.append(
            option_schemas.Problem(
                file=file, key=prefix, value=values, allowed="a table"
            )
        )
        return {}
    checked = option_schemas.check_options(
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
    problems: list[option_schemas.Problem],
) -> list[dict[str, typing.Any]]:
    if not isinstance(rows, list):
        problems.append(
            option_schemas.Problem(
                file=file,
                key=name,
                value=rows,
                allowed=f"tables [[{name}]]",
            )
        )
        return []
    return [
        _check_row(
            declared_options.TABLE_OPTIONS[name],
            row,
            file,
            f"{name}[{index}]",
            problems,
        )
        for index, row in enumerate(rows)
    ]


def _check_references(
    rows: dict[str, list[dict[str, typing.Any]]], file: str
) -> collections.abc.Iterator[option_schemas.Problem]:
    for table, table_rows in rows.items():
        yield from _check_unique(table, table_rows, file)
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
            yield option_schemas.Problem(
                file=file,
                key=f"{table}[{index}].name",
                value=row["name"],
                allowed=f"a name that is unique among {table}",
            )
        seen.add(row["name"])


def _check_names(key, names, valid, file):
    for name in names:
        if name not in valid:
            allowed, advice = option_schemas.explain_unknown(name, valid)
            yield option_schemas.Problem(
                file=file, key=key, value=name, allowed=allowed, advice=advice
            )


def _check_route(key, row, file):
    if bool(row["services"]) == bool(row["shards"]):
        yield option_schemas.Problem(
            file=file,
            key=key,
            value=row["name"],
            allowed="either services or shards",
        )
    if row["weights"] and len(row["weights"]) != len(row["services"]):
        yield option_schemas.Problem(
            file=file,
            key=f"{key}.weights",
            value=row["weights"],
            allowed=f"one weight for each of {len(row['services'])} services",
        )
    if row["shards"] and not row["idempotent"]:
        yield option_schemas.Problem(
            file=file,
            key=f"{key}.idempotent",
            value=False,
            allowed="true, as requests to shards may be sent more than once",
        )
    if row["shards"] and not row["record_limit"]:
        yield option_schemas.Problem(
            file=file,
            key=f"{key}.record_limit",
            value=0,
            allowed="at least 1 for a route with shards",
        )


def _build_declaration(top, limits, rows) -> LoadedDeclaration:
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
        limits=caller_limits.CallerLimits(**limits),
    )
    entries = [("routes", "", table)]
    entries += [("evacuation", name, None) for name in top["evacuated"]]
    entries += [
        ("target", row["name"], _build_target(row)) for row in rows["targets"]
    ]
    return LoadedDeclaration(
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
        address=settings.parse_address(row["address"]),
        data_centre=row["data_centre"],
        slots=row["slots"],
        is_draining=row["state"] == "draining",
        warm_at=0.0,
    )
