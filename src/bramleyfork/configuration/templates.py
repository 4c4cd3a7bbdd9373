"""Checked rows of a declaration and their expansion into records.

A row of the tables services and targets may be a template, which stands for
several records.
"""

import collections.abc
import fnmatch
import functools
import re
import typing

from bramleyfork.configuration import option_schemas
from bramleyfork.core import declarations
from bramleyfork.core import records
from bramleyfork.core import registries

# Bounds the memory that a mistyped template can take. No deployment has as many
# targets; the fleet is designed for 68,000.
MAX_TARGETS = 200_000


class Row(records.Record):
    """A checked row of a table in a part, before expansion.

    Attributes:
      file: File of the part.
      location: Table and name of the row, as shown in problems.
      index: Position among the rows of its table in the file, from 1.
      values: The value of each option; empty if ``record`` is set.
      record: The declared record if the row needs no expander, else None. It
        is built once, so that revisions share the records of unchanged parts.
    """

    __slots__ = ("file", "location", "index", "values", "record")

    def __init__(
        self,
        *,
        file: str,
        location: str,
        index: int,
        values: dict[str, typing.Any],
        record: typing.Any = None,
    ):
        self.file = file
        self.location = location
        self.index = index
        self.values = values
        self.record = record

    def build_problem(
        self, key: str, value: typing.Any, allowed: str, advice: str = ""
    ) -> option_schemas.Problem:
        """Returns a problem with a key of this row."""
        return option_schemas.Problem(
            file=self.file,
            key=f"{self.location}.{key}",
            value=value,
            allowed=allowed,
            advice=advice,
        )


class Entry(records.Record):
    """A record of the declaration and the row that declares it.

    Attributes:
      record: A declared data centre, host, service, target or lookup.
      row: The row that declares it.
    """

    __slots__ = ("record", "row")

    def __init__(self, *, record: typing.Any, row: Row):
        self.record = record
        self.row = row


EntriesByTable = dict[str, list[Entry]]
# An expander takes a row and the entries of the tables expanded before, and
# returns the entries of the row and the problems found.
Expander = collections.abc.Callable[
    [Row, EntriesByTable], tuple[list[Entry], list[option_schemas.Problem]]
]
EXPANDERS: registries.Registry[Expander] = registries.Registry(kind="table")

# In order of expansion: targets and lookups refer to services by pattern.
FLEET_TABLES = ("data_centres", "hosts", "services", "targets")
LOOKUP_TABLES = ("lookups",)

_RECORD_CLASSES = {
    "data_centres": declarations.DataCentre,
    "hosts": declarations.Host,
    "targets": declarations.Target,
}


def build_row(
    table: str, values: dict[str, typing.Any], **location: typing.Any
):
    """Returns a row, with its record if the row needs no expander.

    Args:
      table: Name of the table.
      values: The value of each option.
      **location: The other fields of ``Row``.
    """
    record_class = _RECORD_CLASSES.get(table)
    if record_class is None or "replicas" in values:
        return Row(values=values, **location)
    return Row(values={}, record=record_class(**values), **location)


def expand_rows(
    rows: collections.abc.Mapping[str, collections.abc.Iterable[Row]],
    tables: collections.abc.Iterable[str],
    expanded: EntriesByTable,
) -> tuple[EntriesByTable, list[option_schemas.Problem]]:
    """Expands the rows of some tables into entries.

    Args:
      rows: Rows by table.
      tables: The tables to expand, in this order.
      expanded: Entries of the tables expanded before, to which rows refer.

    Returns:
      The entries by table, with those of ``expanded``, and all problems.
    """
    expanded = dict(expanded)
    problems: list[option_schemas.Problem] = []
    for table in tables:
        entries = expanded[table] = []
        for row in rows[table]:
            if row.record is not None:
                entries.append(Entry(record=row.record, row=row))
                continue
            row_entries, row_problems = EXPANDERS.find(table)(row, expanded)
            entries.extend(row_entries)
            problems.extend(row_problems)
    return expanded, problems


def match_services(pattern: str, expanded: EntriesByTable) -> list[str]:
    """Returns the services matching a name or pattern, in declared order."""
    if "*" not in pattern:
        names = {entry.record.name for entry in expanded["services"]}
        return [pattern] if pattern in names else []
    compiled = _compile_pattern(pattern)
    return [
        entry.record.name
        for entry in expanded["services"]
        if compiled.fullmatch(entry.record.name)
    ]


@functools.lru_cache(maxsize=1024)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    return re.compile(fnmatch.translate(pattern))


def _report_no_service(
    row: Row, key: str, pattern: str, expanded: EntriesByTable
) -> option_schemas.Problem:
    names = [entry.record.name for entry in expanded["services"]]
    suggestion = option_schemas.suggest_name(pattern, names)
    advice = (
        f"did you mean {suggestion!r}?" if suggestion else "declare the service"
    )
    return row.build_problem(
        key, pattern, "a declared service or a pattern that matches one", advice
    )


@EXPANDERS.register("services")
def expand_service(
    row: Row, expanded: EntriesByTable
) -> tuple[list[Entry], list[option_schemas.Problem]]:
    """Returns one service, or ``count`` numbered services of a template."""
    values = dict(row.values)
    count = values.pop("count")
    if values["queue"] is None:
        values["queue"] = 2 * values["slots"]
    service = declarations.Service(**values)
    if not count:
        return [Entry(record=service, row=row)], []
    width = max(2, len(str(count)))
    return [
        Entry(
            record=service.replace(name=f"{service.name}-{n:0{width}}"), row=row
        )
        for n in range(1, count + 1)
    ], []


@EXPANDERS.register("targets")
def expand_target_template(
    row: Row, expanded: EntriesByTable
) -> tuple[list[Entry], list[option_schemas.Problem]]:
    """Returns the targets of a template.

    The replicas of a service are assigned to the data centres in turn, and each
    service begins with the next data centre. The ports are consecutive from
    ``first_port``.
    """
    values = row.values
    services = match_services(values["service"], expanded)
    problems = _check_target_template(row, services, expanded)
    if problems:
        return [], problems
    out_names = set(values["out"])
    data_centre_ips = list(
        zip(values["data_centres"], values["addresses"], strict=True)
    )
    entries = []
    for number, service in enumerate(services):
        for replica in range(values["replicas"]):
            data_centre, ip = data_centre_ips[
                (number + replica) % len(data_centre_ips)
            ]
            port = values["first_port"] + len(entries)
            name = f"{service}-{replica + 1}"
            record = declarations.Target(
                name=name,
                service=service,
                data_centre=data_centre,
                address=f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}",
                out=name in out_names,
            )
            entries.append(Entry(record=record, row=row))
    unknown = sorted(out_names - {entry.record.name for entry in entries})
    problems = [
        row.build_problem("out", name, "names of targets of this template")
        for name in unknown
    ]
    return entries, problems


def _check_target_template(
    row: Row, services: list[str], expanded: EntriesByTable
) -> list[option_schemas.Problem]:
    values = row.values
    if not services:
        return [_report_no_service(row, "service", values["service"], expanded)]
    if len(values["addresses"]) != len(values["data_centres"]):
        return [
            row.build_problem(
                "addresses",
                list(values["addresses"]),
                f"one IP address for each of {list(values['data_centres'])!r}",
            )
        ]
    count = len(services) * values["replicas"]
    if len(expanded["targets"]) + count > MAX_TARGETS:
        return [
            row.build_problem(
                "replicas",
                values["replicas"],
                f"at most {MAX_TARGETS} targets in all",
            )
        ]
    max_first_port = 65535 - count + 1
    if values["first_port"] > max_first_port:
        return [
            row.build_problem(
                "first_port",
                values["first_port"],
                f"at most {max_first_port}, as the template makes {count}"
                " targets",
            )
        ]
    return []


@EXPANDERS.register("lookups")
def expand_lookup(
    row: Row, expanded: EntriesByTable
) -> tuple[list[Entry], list[option_schemas.Problem]]:
    """Returns one lookup, its patterns replaced by names of services."""
    services: dict[str, None] = {}
    problems = []
    for pattern in row.values["services"]:
        matched = match_services(pattern, expanded)
        if not matched:
            problems.append(
                _report_no_service(row, "services", pattern, expanded)
            )
        services.update(dict.fromkeys(matched))
    record = declarations.Lookup(**{**row.values, "services": tuple(services)})
    return [Entry(record=record, row=row)], problems
