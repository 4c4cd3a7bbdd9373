"""Creators of records for tests."""

from bramleyfork.configuration import settings as settings_module
from bramleyfork.core import blackboard
from bramleyfork.core import declarations
from bramleyfork.core import ranges
from bramleyfork.core import requests
from bramleyfork.core import sections

SNAPSHOT = requests.Snapshot(index_version=41, map_version=7)


def create_range(low, high):
    return ranges.KeyRange(low=low, high=high)


def create_holding(snapshot=SNAPSHOT, low=0, high=ranges.KEY_SPACE):
    return requests.Holding(
        snapshot=snapshot, key_range=create_range(low, high)
    )


def create_service(name="booking-01", **changes):
    service = declarations.Service(
        name=name,
        slots=2,
        queue=4,
        connections=25,
        cold_in_flight=2,
        cold_rate=20.0,
        cold_period_s=2.0,
    )
    return service.replace(**changes)


def create_target(name="booking-01-a", service="booking-01", **changes):
    target = declarations.Target(
        name=name,
        service=service,
        data_centre="bilbao",
        address="127.0.0.1:9001",
    )
    return target.replace(**changes)


def create_host(number, data_centre="bilbao"):
    return declarations.Host(
        name=f"host-{number}",
        data_centre=data_centre,
        peer_address=f"127.0.0.{number}:7001",
        caller_address=f"127.0.0.{number}:8001",
    )


def create_lookup(name="availability", **changes):
    lookup = declarations.Lookup(
        name=name,
        services=("booking-01",),
        urgent=True,
        idempotent=True,
        keyed=False,
    )
    return lookup.replace(**changes)


def create_declaration(
    *, hosts=1, targets=None, services=None, lookups=None, **changes
):
    targets = targets or [
        create_target("booking-01-a"),
        create_target("booking-01-b", address="127.0.0.1:9002"),
    ]
    services = services or [create_service()]
    lookups = lookups or [
        create_lookup(),
        create_lookup("seat-hold", idempotent=False, keyed=True),
    ]
    centre = declarations.DataCentre(name="bilbao", region="north")
    declared = [create_host(n + 1) for n in range(hosts)]
    declaration = declarations.Declaration(
        deployment="test",
        revision=1,
        digest="d1",
        placement_lifetime_s=5.0,
        longest_deadline_s=2.0,
        strategy="owner",
        replica_policy="power_of_two",
        hedge_percentile=95.0,
        hedge_budget=0.05,
        retry_budget=0.1,
        data_centres={centre.name: centre},
        hosts={h.name: h for h in declared},
        services={s.name: s for s in services},
        targets={t.name: t for t in targets},
        lookups={x.name: x for x in lookups},
    )
    return declaration.replace(**changes)


def create_active_declaration(declaration):
    return declarations.ActiveDeclaration(
        declaration=declaration, bodies={}, in_force_at=0.0, source="platform"
    )


def create_settings(**changes):
    settings = settings_module.Settings(
        deployment="test",
        host="host-1",
        data_centre="bilbao",
        incarnation=1,
        peer_address="127.0.0.1:7001",
        caller_address="127.0.0.1:8001",
        administration_address="127.0.0.1:6001",
        platform_address="127.0.0.1:5001",
    )
    return settings.replace(**changes)


def create_board():
    return blackboard.Blackboard(sections=sections.SECTIONS)


def create_query(**changes):
    query = requests.Query(
        query_id="q1",
        lookup="availability",
        key=None,
        parameters="date=2026-12-05",
        deadline=1001.0,
        received_at=1000.0,
        caller="studio",
    )
    return query.replace(**changes)


def create_sub_request(attempt_id="a1", **changes):
    request = requests.SubRequest(
        attempt_id=attempt_id,
        query_id="q1",
        router="host-1",
        owner="host-1",
        target="booking-01-a",
        service="booking-01",
        lookup="availability",
        key_range=ranges.FULL_RANGE,
        snapshot=SNAPSHOT,
        parameters="",
        urgent=True,
        idempotent=True,
        deadline=1001.0,
        fingerprint="f:booking-01",
        exclusive=False,
    )
    return request.replace(**changes)
