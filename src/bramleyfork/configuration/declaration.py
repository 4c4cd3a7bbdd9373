"""The one check of a published configuration, for daemon and tool."""

import collections.abc
import functools
import typing

import expression

from bramleyfork.configuration import declared_options
from bramleyfork.configuration import manifests
from bramleyfork.configuration import references
from bramleyfork.configuration import tables
from bramleyfork.configuration import templates
from bramleyfork.core import declarations

_DEPLOYMENT = "deployment"
_PARTS_KEPT = 64


def check_declaration(
    parts: collections.abc.Mapping[str, bytes],
) -> expression.Result[declarations.Declaration, tuple[tables.Problem, ...]]:
    """Accepts a configuration as a whole or refuses it with every problem.

    Problems are reported in stages: the manifest, then the parts against it,
    then the keys, then the references between tables. A stage is only run when
    the one before found nothing.

    Args:
      parts: The manifest under "manifest" and each part under its key.
    """
    body = parts.get(manifests.MANIFEST_KEY)
    if body is None:
        problem = tables.Problem(
            file=manifests.MANIFEST_FILE,
            key="content",
            value=None,
            allowed="a manifest",
            advice="run publish-manifest",
        )
        return expression.Error((problem,))
    read = manifests.read_manifest(body)
    if read.is_error():
        return expression.Error(read.error)
    manifest = read.ok
    problems = manifests.check_bodies(manifest, parts)
    if problems:
        return expression.Error(problems)
    return _read_tables(manifest, parts).bind(
        lambda rows: _build_declaration(manifest, rows)
    )


def check_for_deployment(
    parts: collections.abc.Mapping[str, bytes], deployment: str
) -> expression.Result[declarations.Declaration, tuple[tables.Problem, ...]]:
    """Checks a configuration that hosts of ``deployment`` are to take."""
    checked = check_declaration(parts)
    if checked.is_error() or checked.ok.deployment == deployment:
        return checked
    problem = tables.Problem(
        file=manifests.MANIFEST_FILE,
        key=f"{_DEPLOYMENT}.name",
        value=checked.ok.deployment,
        allowed=f"{deployment!r}, as in the settings of the host",
    )
    return expression.Error((problem,))


def describe_problems(
    problems: collections.abc.Iterable[tables.Problem],
) -> str:
    """Returns the problems as one line each."""
    return "\n".join(problem.describe() for problem in problems)


def _read_tables(
    manifest: manifests.Manifest,
    parts: collections.abc.Mapping[str, bytes],
) -> expression.Result[
    dict[str, list[templates.Row]], tuple[tables.Problem, ...]
]:
    """Returns the checked rows of all parts by table."""
    rows: dict[str, list[templates.Row]] = {_DEPLOYMENT: []}
    rows.update({name: [] for name in declared_options.REPEATED})
    problems: list[tables.Problem] = []
    for key in manifest.parts:
        found, faults = _read_part(f"{key}.toml", parts[key])
        problems.extend(faults)
        for table, row in found:
            rows[table].append(row)
    if len(rows[_DEPLOYMENT]) != 1 and not problems:
        files = [row.file for row in rows[_DEPLOYMENT]]
        problems.append(
            tables.Problem(
                file=files[-1] if files else manifests.MANIFEST_FILE,
                key=f"[{_DEPLOYMENT}]",
                value=files or None,
                allowed="exactly one such table over all parts",
            )
        )
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(rows)


# Most changes touch one part, so the rows of the others are kept.
@functools.lru_cache(maxsize=_PARTS_KEPT)
def _read_part(
    file: str, body: bytes
) -> tuple[tuple[tuple[str, templates.Row], ...], tuple[tables.Problem, ...]]:
    """Returns the checked rows of a part with their tables, and problems."""
    parsed = manifests.parse_toml(body, file)
    if parsed.is_error():
        return (), parsed.error
    rows: list[tuple[str, templates.Row]] = []
    problems: list[tables.Problem] = []
    for table, content in parsed.ok.items():
        found, faults = _read_table(file, table, content)
        rows.extend((table, row) for row in found)
        problems.extend(faults)
    return tuple(rows), tuple(problems)


def _read_table(
    file: str, table: str, content: typing.Any
) -> tuple[list[templates.Row], list[tables.Problem]]:
    if table == _DEPLOYMENT:
        contents, allowed = [content], "a table [deployment]"
    elif table in declared_options.REPEATED:
        contents, allowed = content, f"tables [[{table}]]"
    else:
        names = {_DEPLOYMENT, *declared_options.REPEATED}
        allowed, advice = tables.check_unknown(table, names)
        problem = tables.Problem(
            file=file,
            key=f"unknown table {table!r}",
            value=content,
            allowed=allowed,
            advice=advice,
        )
        return [], [problem]
    shaped = isinstance(contents, list) and all(
        isinstance(values, dict) for values in contents
    )
    if not shaped:
        problem = tables.Problem(
            file=file, key=table, value=content, allowed=allowed
        )
        return [], [problem]
    rows: list[templates.Row] = []
    problems: list[tables.Problem] = []
    for index, values in enumerate(contents, start=1):
        result = _read_row(file, table, index, values)
        if result.is_error():
            problems.extend(result.error)
        else:
            rows.append(result.ok)
    return rows, problems


def _read_row(
    file: str, table: str, index: int, values: dict[str, typing.Any]
) -> expression.Result[templates.Row, tuple[tables.Problem, ...]]:
    place = table
    options = declared_options.DEPLOYMENT
    if table != _DEPLOYMENT:
        label = values.get("name", values.get("service"))
        place = f"{table}[{label if isinstance(label, str) else index}]"
        options = declared_options.REPEATED[table]
    if table == "targets" and "replicas" in values:
        options = declared_options.TARGET_TEMPLATES
    checked = tables.check_options(
        options, values, file=file, prefix=f"{place}."
    )
    return checked.map(
        lambda good: templates.Row(
            file=file, place=place, index=index, values=good
        )
    )


def _build_declaration(
    manifest: manifests.Manifest, rows: dict[str, list[templates.Row]]
) -> expression.Result[declarations.Declaration, tuple[tables.Problem, ...]]:
    expanded, problems = templates.expand_rows(rows)
    if not problems:
        problems = references.check_references(expanded)
    if problems:
        return expression.Error(tuple(problems))
    deployment = dict(rows[_DEPLOYMENT][0].values)
    by_name = {
        table: {entry.record.name: entry.record for entry in entries}
        for table, entries in expanded.items()
    }
    return expression.Ok(
        declarations.Declaration(
            deployment=deployment.pop("name"),
            revision=manifest.revision,
            digest=manifest.digest,
            **deployment,
            **by_name,
        )
    )
