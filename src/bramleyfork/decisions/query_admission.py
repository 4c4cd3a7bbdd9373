"""Decides whether a router accepts a query."""

import collections.abc

from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import answers
from bramleyfork.decisions import fingerprints
from bramleyfork.decisions import lease as lease_decisions


def find_refusal(
    query: requests.Query,
    *,
    declaration: declarations.Declaration | None,
    lease: fleet.Lease | None,
    host: str,
    now: float,
) -> replies.Answer | None:
    """Returns the refusal of a query, or None to accept it.

    Args:
      query: The query.
      declaration: The active configuration, or None.
      lease: This host's control lease, or None.
      host: Name of this host.
      now: Monotonic seconds.
    """
    if declaration is None:
        return answers.build_refusal(
            query.query_id, "starting", detail="no configuration is in force"
        )
    error = _find_query_error(query, declaration)
    if error is not None:
        code, detail = error
        return answers.build_refusal(query.query_id, code, detail=detail)
    if query.deadline <= now:
        return answers.build_refusal(
            query.query_id, "deadline_past", detail="the deadline has passed"
        )
    if not lease_decisions.is_held(lease, now):
        return answers.build_refusal(
            query.query_id,
            "no_lease",
            detail="this host holds no control lease: neither peers nor the "
            "platform have renewed it",
            hosts=_list_other_hosts(declaration, host),
        )
    return None


def refuse_used_ticket(
    query: requests.Query, use: fleet.TicketUse
) -> replies.Answer:
    """Returns the refusal of a query whose ticket was used before."""
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if use.verdict is verdicts.Verdict.NOT_RUN:
        verdict = verdicts.Verdict.NOT_RUN
    return answers.build_refusal(
        query.query_id,
        "ticket_used",
        verdict=verdict,
        detail=f"query {use.query_id!r} has already used the ticket",
    )


def find_quarantine_refusal(
    query_id: str,
    fingerprint: str,
    services: collections.abc.Iterable[str],
    quarantine: collections.abc.Mapping[str, fleet.QuarantineEntry],
) -> replies.Answer | None:
    """Returns the refusal of a query that has crashed targets, or None.

    Args:
      query_id: Id of the query.
      fingerprint: Hash of its lookup, key and parameters.
      services: Services that it reads from.
      quarantine: Entries by fingerprint of a query at one service.
    """
    if not quarantine:
        return None
    for service in services:
        entry = quarantine.get(
            fingerprints.build_service_fingerprint(fingerprint, service)
        )
        if entry is not None and entry.level == "refused":
            return answers.build_refusal(
                query_id,
                "quarantined",
                detail=f"the request has crashed {', '.join(entry.targets)}",
            )
    return None


def has_quarantine_entry(
    fingerprint: str,
    services: collections.abc.Iterable[str],
    quarantine: collections.abc.Mapping[str, fleet.QuarantineEntry],
) -> bool:
    """Returns whether the quarantine has an entry for a query.

    There is one if the query was in flight on a target that died.
    """
    return bool(quarantine) and any(
        fingerprints.build_service_fingerprint(fingerprint, service)
        in quarantine
        for service in services
    )


def count_deaths(
    fingerprint: str,
    services: collections.abc.Iterable[str],
    quarantine: collections.abc.Mapping[str, fleet.QuarantineEntry],
) -> int:
    """Returns the number of targets that died with a query in flight.

    Targets are counted per service; the result is the maximum over services.
    """
    entries = [
        quarantine.get(
            fingerprints.build_service_fingerprint(fingerprint, service)
        )
        for service in services
    ]
    return max((len(e.targets) for e in entries if e is not None), default=0)


def _find_query_error(
    query: requests.Query, declaration: declarations.Declaration
) -> tuple[str, str] | None:
    """Returns code and detail if a query is invalid, else None."""
    lookup = declaration.lookups.get(query.lookup)
    if lookup is None:
        valid = ", ".join(sorted(declaration.lookups))
        return (
            "unknown_lookup",
            f"unknown lookup {query.lookup!r}; valid lookups: {valid}",
        )
    if lookup.keyed and query.key is None:
        return "bad_key", f"lookup {lookup.name!r} requires a key"
    if not lookup.keyed and query.key is not None:
        return "bad_key", f"lookup {lookup.name!r} takes no key"
    if lookup.keyed and not ranges.FULL_RANGE.contains_key(query.key):
        return (
            "bad_key",
            f"key {query.key!r} is not in [0, {ranges.KEY_SPACE})",
        )
    if not lookup.idempotent and query.ticket is None:
        return (
            "ticket_required",
            f"lookup {lookup.name!r} requires a ticket from /v1/placement",
        )
    return None


def _list_other_hosts(
    declaration: declarations.Declaration, host: str
) -> tuple[str, ...]:
    return tuple(
        other.caller_address
        for other in declaration.hosts.values()
        if other.name != host
    )
