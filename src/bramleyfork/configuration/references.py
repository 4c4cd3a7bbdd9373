"""Checks of the whole declaration: unique names, addresses and references.

They run after the templates are expanded, as they compare records of all
tables.
"""

import collections.abc

from bramleyfork.configuration import option_schemas
from bramleyfork.configuration import templates
from bramleyfork.core import registries

Check = collections.abc.Callable[
    [templates.EntriesByTable], collections.abc.Iterable[option_schemas.Problem]
]
# The checks of data centres, hosts, services and targets take long, and their
# result can be reused after most changes, so the checks of lookups have a
# registry of their own.
FLEET_CHECKS: registries.Registry[Check] = registries.Registry(
    kind="fleet check"
)
LOOKUP_CHECKS: registries.Registry[Check] = registries.Registry(
    kind="lookup check"
)

_TABLES_WITH_DATA_CENTRES = ("hosts", "targets")


def check_references(
    expanded: templates.EntriesByTable, checks: registries.Registry[Check]
) -> list[option_schemas.Problem]:
    """Runs the checks of a registry; returns all problems that they find."""
    return [
        problem
        for _, check in checks.list_items()
        for problem in check(expanded)
    ]


@FLEET_CHECKS.register("names")
def check_fleet_names(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports names, except of lookups, that are not unique in their table."""
    return _check_names(expanded, templates.FLEET_TABLES)


@LOOKUP_CHECKS.register("names")
def check_lookup_names(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports lookups with the same name."""
    return _check_names(expanded, templates.LOOKUP_TABLES)


def _check_names(
    expanded: templates.EntriesByTable, tables: tuple[str, ...]
) -> collections.abc.Iterable[option_schemas.Problem]:
    for table in tables:
        entries = expanded[table]
        seen: dict[str, templates.Row] = {}
        for entry in entries:
            name = entry.record.name
            if name in seen:
                yield entry.row.build_problem(
                    "name",
                    name,
                    f"names that are unique among {table}",
                    f"{seen[name].location} in {seen[name].file} has this name",
                )
            seen.setdefault(name, entry.row)


@FLEET_CHECKS.register("addresses")
def check_addresses(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports addresses of hosts and targets that are declared twice."""
    seen: dict[str, templates.Entry] = {}
    for entry in [*expanded["hosts"], *expanded["targets"]]:
        for key in ("peer_address", "caller_address", "address"):
            address = getattr(entry.record, key, None)
            if address is None:
                continue
            if address in seen:
                other = seen[address]
                yield entry.row.build_problem(
                    key,
                    address,
                    "an address that is declared only once",
                    f"{other.record.name!r} in {other.row.file} uses it too",
                )
            seen.setdefault(address, entry)


@FLEET_CHECKS.register("data_centres")
def check_data_centres(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports hosts and targets in undeclared data centres."""
    known = {entry.record.name for entry in expanded["data_centres"]}
    for table in _TABLES_WITH_DATA_CENTRES:
        for entry in expanded[table]:
            name = entry.record.data_centre
            if name not in known:
                allowed, advice = option_schemas.explain_unknown(name, known)
                yield entry.row.build_problem(
                    "data_centre", name, allowed, advice
                )


@FLEET_CHECKS.register("services")
def check_services(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports targets of undeclared services and services without targets."""
    known = {entry.record.name for entry in expanded["services"]}
    served = set()
    for entry in expanded["targets"]:
        service = entry.record.service
        served.add(service)
        if service not in known:
            suggestion = option_schemas.suggest_name(service, known)
            advice = (
                f"did you mean {suggestion!r}?" if suggestion else "declare it"
            )
            yield entry.row.build_problem(
                "service", service, "a declared service", advice
            )
    for entry in expanded["services"]:
        if entry.record.name not in served:
            yield entry.row.build_problem(
                "name", entry.record.name, "a service with at least one target"
            )


@LOOKUP_CHECKS.register("lookups")
def check_lookups(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports lookups that are not idempotent but have several segments.

    A lookup that is not idempotent must run at most once, so it makes one
    attempt at a time. This requires a single segment: one key of one service.
    """
    for entry in expanded["lookups"]:
        lookup = entry.record
        if lookup.idempotent:
            continue
        if not lookup.keyed:
            yield entry.row.build_problem(
                "keyed", False, "true, as the lookup is not idempotent"
            )
        if len(lookup.services) != 1:
            yield entry.row.build_problem(
                "services",
                list(lookup.services),
                "exactly one service, as the lookup is not idempotent",
            )


@FLEET_CHECKS.register("hosts")
def check_hosts(
    expanded: templates.EntriesByTable,
) -> collections.abc.Iterable[option_schemas.Problem]:
    """Reports a declaration without hosts."""
    if not expanded["hosts"]:
        yield option_schemas.Problem(
            file="manifest.toml",
            key="[[hosts]]",
            value=None,
            allowed="at least one host",
            advice="declare a host in one of the parts",
        )
