"""Functions that create records of the entry host for tests."""

from bramleyfork.core import verdicts
from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import http_headers
from bramleyfork.entry import metrics
from bramleyfork.entry import settings
from bramleyfork.entry.decisions import matching
from bramleyfork.listeners import limits

REGIONS = {"north": "left", "south": "right", "east": "far"}


def create_settings(**changes):
    fields = {
        "host": "host-1",
        "data_centre": "north",
        "regions": REGIONS,
        "caller_address": ("127.0.0.1", 0),
        "peer_address": ("127.0.0.1", 0),
        "carrier_address": ("127.0.0.1", 0),
        "retry_limits": settings.RetryBudgetLimits(
            ratio=0.2, slack=32.0, window_s=10.0
        ),
    }
    return settings.Settings(**(fields | changes))


def create_context(**changes):
    fields = {
        "settings": create_settings(),
        "header_names": http_headers.HeaderNames(),
        "metrics": metrics.Metrics(),
        "incarnation": 1_700_000_000_000,
    }
    return components.Context(**(fields | changes))


def create_service(name, **changes):
    fields = {
        "name": name,
        "health_path": "/health",
        "connection_limit": 25,
        "warmup_s": 3.0,
    }
    return declarations.Service(**(fields | changes))


def create_route(**changes):
    fields = {
        "name": "find",
        "host": "a.example",
        "prefix": "/find/",
        "idempotent": True,
        "timeout_s": 0.8,
        "aim_s": 0.12,
        "priority": 1,
        "attempts": 2,
        "shares": (declarations.Share(service="s1", weight=1.0),),
    }
    return declarations.Route(**(fields | changes))


def create_gather(count=4, **changes):
    fields = {
        "shares": (),
        "shards": tuple(f"s{index + 1}" for index in range(count)),
        "record_limit": 3,
        "least_share": 0.75,
    }
    return create_route(**(fields | changes))


def create_table(*routes, version=1, **changes):
    services = {
        name: create_service(name)
        for route in routes
        for name in route.list_services()
    }
    fields = {
        "version": version,
        "revision": version,
        "routes": matching.group_routes(routes),
        "services": services,
        "limits": limits.CallerLimits(),
    }
    return declarations.RouteTable(**(fields | changes))


def create_target(name, service="s1", **changes):
    fields = {
        "target": name,
        "born_ms": 1,
        "service": service,
        "address": ("127.0.0.1", 9000),
        "data_centre": "north",
        "slots": 2,
        "is_draining": False,
        "warm_at": 0.0,
    }
    return declarations.ListedTarget(**(fields | changes))


def create_request(key=1, **changes):
    fields = {
        "key": key,
        "request_id": b"r%d" % key,
        "method": b"GET",
        "url": b"/find/x?q=1",
        "path": "/find/x",
        "host": "a.example",
        "headers": (),
        "body": b"",
        "received_at": 1000.0,
        "wait_s": 0.8,
        "caller": "127.0.0.9",
    }
    return exchanges.CallerRequest(**(fields | changes))


def create_reply(attempt, **changes):
    fields = {
        "attempt": attempt,
        "verdict": verdicts.Verdict.RAN,
        "status": 200,
        "body": b"0123456789abcdef",
        "stamp": b"stamp-%d" % attempt,
    }
    return exchanges.Reply(**(fields | changes))


def create_fault(attempt, fault, verdict=verdicts.Verdict.MAY_HAVE_RUN):
    return exchanges.Reply(attempt=attempt, verdict=verdict, fault=fault)
