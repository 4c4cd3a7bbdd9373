"""Whether a router takes on a query."""

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
    """Returns the refusal of a query, or None to take it on.

    Args:
      query: The query.
      declaration: The configuration in force, or None.
      lease: This host's right to start work, or None.
      host: Name of this host.
      now: Monotonic seconds.
    """
    if declaration is None:
        return answers.build_refusal(
            query.query_id, "starting", detail="no configuration is in force"
        )
    fault = _find_fault(query, declaration)
    if fault is not None:
        code, detail = fault
        return answers.build_refusal(query.query_id, code, detail=detail)
    if query.deadline <= now:
        return answers.build_refusal(
            query.query_id, "deadline_past", detail="no time is left"
        )
    if not lease_decisions.is_held(lease, now):
        return answers.build_refusal(
            query.query_id,
            "no_lease",
            detail="this host hears neither peers nor the platform",
            hosts=_list_other_hosts(declaration, host),
        )
    return None


def refuse_used_ticket(
    query: requests.Query, use: fleet.TicketUse
) -> replies.Answer:
    """Returns the refusal of a second presentation of a ticket."""
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if use.verdict is verdicts.Verdict.NOT_RUN:
        verdict = verdicts.Verdict.NOT_RUN
    return answers.build_refusal(
        query.query_id,
        "ticket_used",
        verdict=verdict,
        detail=f"query {use.query_id!r} has used the ticket",
    )


def find_quarantine_refusal(
    query_id: str,
    fingerprint: str,
    services: collections.abc.Iterable[str],
    quarantine: collections.abc.Mapping[str, fleet.QuarantineEntry],
) -> replies.Answer | None:
    """Returns the refusal of a query that has crashed targets, or None.

    Args:
      query_id: The query.
      fingerprint: Hash of what it asks.
      services: Services it reaches.
      quarantine: Entries by fingerprint of a query's part at one service.
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
                detail=f"the request crashed {', '.join(entry.targets)}",
            )
    return None


def has_quarantine_entry(
    fingerprint: str,
    services: collections.abc.Iterable[str],
    quarantine: collections.abc.Mapping[str, fleet.QuarantineEntry],
) -> bool:
    """Returns whether a query was in flight on a target that died."""
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
    """Returns the most targets of one service that died with a query."""
    entries = [
        quarantine.get(
            fingerprints.build_service_fingerprint(fingerprint, service)
        )
        for service in services
    ]
    return max((len(e.targets) for e in entries if e is not None), default=0)


def _find_fault(
    query: requests.Query, declaration: declarations.Declaration
) -> tuple[str, str] | None:
    """Returns code and detail of what is wrong with a query."""
    lookup = declaration.lookups.get(query.lookup)
    if lookup is None:
        valid = ", ".join(sorted(declaration.lookups))
        return (
            "unknown_lookup",
            f"unknown lookup {query.lookup!r}; valid lookups: {valid}",
        )
    if lookup.keyed and query.key is None:
        return "bad_key", f"lookup {lookup.name!r} needs a key"
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
            f"lookup {lookup.name!r} needs a ticket from /v1/placement",
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
