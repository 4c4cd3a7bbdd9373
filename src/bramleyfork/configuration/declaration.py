"""Checks a published configuration and builds the declaration from it.

The daemon and the command-line tool both use this check, so that they accept
the same configurations.
"""

import collections.abc
import functools
import typing

import expression

from bramleyfork.configuration import declared_options
from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.configuration import references
from bramleyfork.configuration import templates
from bramleyfork.core import declarations

_DEPLOYMENT = "deployment"
_PART_CACHE_SIZE = 64


def check_declaration(
    bodies: collections.abc.Mapping[str, bytes],
) -> expression.Result[
    declarations.Declaration, tuple[option_schemas.Problem, ...]
]:
    """Checks a whole configuration and builds the declaration from it.

    The check has stages: the manifest, the parts against the manifest, the
    keys of each table, the expansion of templates, and the references between
    tables. A stage runs only if the one before found no problem.

    Args:
      bodies: The manifest under "manifest" and each part under its key.

    Returns:
      The declaration, or every problem of the first stage that found any.
    """
    body = bodies.get(manifests.MANIFEST_KEY)
    if body is None:
        problem = option_schemas.Problem(
            file=manifests.MANIFEST_FILE,
            key="content",
            value=None,
            allowed="a manifest",
            advice="run publish-manifest",
        )
        return expression.Error((problem,))
    result = manifests.read_manifest(body)
    if result.is_error():
        return expression.Error(result.error)
    manifest = result.ok
    problems = manifests.check_bodies(manifest, bodies)
    if problems:
        return expression.Error(problems)
    return _read_tables(manifest, bodies).bind(
        lambda parts: _build_declaration(manifest, parts)
    )


def check_for_deployment(
    bodies: collections.abc.Mapping[str, bytes], deployment: str
) -> expression.Result[
    declarations.Declaration, tuple[option_schemas.Problem, ...]
]:
    """Checks a configuration and that it is meant for ``deployment``.

    Args:
      bodies: The manifest under "manifest" and each part under its key.
      deployment: Name of the deployment in the settings of the host.

    Returns:
      The declaration, or the problems found; a declaration of another
      deployment is refused.
    """
    checked = check_declaration(bodies)
    if checked.is_error() or checked.ok.deployment == deployment:
        return checked
    problem = option_schemas.Problem(
        file=manifests.MANIFEST_FILE,
        key=f"{_DEPLOYMENT}.name",
        value=checked.ok.deployment,
        allowed=f"{deployment!r}, as in the settings of the host",
    )
    return expression.Error((problem,))


def describe_problems(
    problems: collections.abc.Iterable[option_schemas.Problem],
) -> str:
    """Returns the problems as text, one per line."""
    return "\n".join(problem.describe() for problem in problems)


class PartRows:
    """The checked rows of one part.

    Instances compare by identity: an unchanged part gives the same cached
    object, which ``_build_fleet`` uses as its cache key.

    Attributes:
      rows: Rows by table.
      problems: Problems found in the part.
    """

    __slots__ = ("rows", "problems")

    def __init__(
        self,
        *,
        rows: dict[str, list[templates.Row]],
        problems: tuple[option_schemas.Problem, ...],
    ):
        self.rows = rows
        self.problems = problems


def _read_tables(
    manifest: manifests.Manifest,
    bodies: collections.abc.Mapping[str, bytes],
) -> expression.Result[
    tuple[PartRows, ...], tuple[option_schemas.Problem, ...]
]:
    """Returns the checked rows of all parts, or every problem in them."""
    parts = tuple(
        _read_part(f"{key}.toml", bodies[key]) for key in manifest.parts
    )
    problems = [problem for part in parts for problem in part.problems]
    deployments = _collect_rows(parts, (_DEPLOYMENT,))[_DEPLOYMENT]
    if len(deployments) != 1 and not problems:
        files = [row.file for row in deployments]
        problems.append(
            option_schemas.Problem(
                file=files[-1] if files else manifests.MANIFEST_FILE,
                key=f"[{_DEPLOYMENT}]",
                value=files or None,
                allowed="exactly one such table over all parts",
            )
        )
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(parts)


def _collect_rows(
    parts: collections.abc.Iterable[PartRows],
    tables: collections.abc.Iterable[str],
) -> dict[str, list[templates.Row]]:
    return {
        table: [row for part in parts for row in part.rows.get(table, ())]
        for table in tables
    }


# Most changes touch one part; the rows of the others come from the cache.
@functools.lru_cache(maxsize=_PART_CACHE_SIZE)
def _read_part(file: str, body: bytes) -> PartRows:
    """Checks a part; returns its rows and the problems found."""
    parsed = manifests.parse_toml(body, file)
    if parsed.is_error():
        return PartRows(rows={}, problems=tuple(parsed.error))
    rows: dict[str, list[templates.Row]] = {}
    problems: list[option_schemas.Problem] = []
    for table, content in parsed.ok.items():
        rows[table], table_problems = _read_table(file, table, content)
        problems.extend(table_problems)
    return PartRows(rows=rows, problems=tuple(problems))


def _read_table(
    file: str, table: str, content: typing.Any
) -> tuple[list[templates.Row], list[option_schemas.Problem]]:
    if table == _DEPLOYMENT:
        contents, allowed = [content], "a table [deployment]"
    elif table in declared_options.REPEATED:
        contents, allowed = content, f"tables [[{table}]]"
    else:
        known_tables = {_DEPLOYMENT, *declared_options.REPEATED}
        allowed, advice = option_schemas.explain_unknown(table, known_tables)
        problem = option_schemas.Problem(
            file=file,
            key=f"unknown table {table!r}",
            value=content,
            allowed=allowed,
            advice=advice,
        )
        return [], [problem]
    is_list_of_tables = isinstance(contents, list) and all(
        isinstance(values, dict) for values in contents
    )
    if not is_list_of_tables:
        problem = option_schemas.Problem(
            file=file, key=table, value=content, allowed=allowed
        )
        return [], [problem]
    rows: list[templates.Row] = []
    problems: list[option_schemas.Problem] = []
    for index, values in enumerate(contents, start=1):
        result = _read_row(file, table, index, values)
        if result.is_error():
            problems.extend(result.error)
        else:
            rows.append(result.ok)
    return rows, problems


def _read_row(
    file: str, table: str, index: int, values: dict[str, typing.Any]
) -> expression.Result[templates.Row, tuple[option_schemas.Problem, ...]]:
    location = table
    options = declared_options.DEPLOYMENT
    if table != _DEPLOYMENT:
        label = values.get("name", values.get("service"))
        location = f"{table}[{label if isinstance(label, str) else index}]"
        options = declared_options.REPEATED[table]
    if table == "targets" and "replicas" in values:
        options = declared_options.TARGET_TEMPLATES
    checked = option_schemas.check_options(
        options, values, file=file, prefix=f"{location}."
    )
    return checked.map(
        lambda checked_values: templates.build_row(
            table, checked_values, file=file, location=location, index=index
        )
    )


class ExpandedFleet:
    """Data centres, hosts, services and targets with their templates expanded.

    Attributes:
      expanded: Entries by table.
      expansion_problems: Problems found while expanding templates.
      reference_problems: Problems of the references between these tables.
        Not checked, hence empty, if the expansion found problems.
      by_name: Records by table, then by name.
    """

    __slots__ = (
        "expanded",
        "expansion_problems",
        "reference_problems",
        "by_name",
    )

    def __init__(self, *, parts: tuple[PartRows, ...]):
        tables = templates.FLEET_TABLES
        rows = _collect_rows(parts, tables)
        self.expanded, self.expansion_problems = templates.expand_rows(
            rows, tables, {}
        )
        self.reference_problems: list[option_schemas.Problem] = []
        if not self.expansion_problems:
            self.reference_problems = references.check_references(
                self.expanded, references.FLEET_CHECKS
            )
        self.by_name = _index_by_name(self.expanded, tables)


# Two entries, for the declaration in force and a new one. If only other parts
# change, the new declaration has the same table objects, so that a comparison
# by identity shows that they are unchanged.
@functools.lru_cache(maxsize=2)
def _build_fleet(parts: tuple[PartRows, ...]) -> ExpandedFleet:
    return ExpandedFleet(parts=parts)


def _index_by_name(
    expanded: templates.EntriesByTable, tables: collections.abc.Iterable[str]
) -> dict[str, dict[str, typing.Any]]:
    return {
        table: {entry.record.name: entry.record for entry in expanded[table]}
        for table in tables
    }


def _build_declaration(
    manifest: manifests.Manifest, parts: tuple[PartRows, ...]
) -> expression.Result[
    declarations.Declaration, tuple[option_schemas.Problem, ...]
]:
    fleet = _build_fleet(
        tuple(
            part
            for part in parts
            if not part.rows.keys().isdisjoint(templates.FLEET_TABLES)
        )
    )
    tables = templates.LOOKUP_TABLES
    expanded, expansion_problems = templates.expand_rows(
        _collect_rows(parts, tables), tables, fleet.expanded
    )
    problems = fleet.expansion_problems + expansion_problems
    if not problems:
        problems = fleet.reference_problems + references.check_references(
            expanded, references.LOOKUP_CHECKS
        )
    if problems:
        return expression.Error(tuple(problems))
    deployment = dict(
        _collect_rows(parts, (_DEPLOYMENT,))[_DEPLOYMENT][0].values
    )
    return expression.Ok(
        declarations.Declaration(
            deployment=deployment.pop("name"),
            revision=manifest.revision,
            digest=manifest.digest,
            **deployment,
            **fleet.by_name,
            **_index_by_name(expanded, tables),
        )
    )
