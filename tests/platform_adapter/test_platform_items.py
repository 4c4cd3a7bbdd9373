import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.entry.transports import _record_codec
import platform_items

TARGET = {
    "service": "s1",
    "address": "10.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1700,
}
SERVICE = {
    "name": "s1",
    "health_path": "/health",
    "max_connections": 25,
    "protocol": "h1",
    "tls": False,
    "warmup_s": 3.0,
    "warmup_per_s": 0.0,
}
ROUTE = {
    "name": "r1",
    "host": "A.example",
    "prefix": "/x/",
    "route_type": "safe",
    "timeout_ms": 800,
    "target_latency_ms": 138,
    "priority": 1,
    "gather": ["s1", "s2"],
    "max_attempts": 2,
    "top_k": 20,
    "min_shard_ratio": 0.89,
    "allowed_regions": ["left"],
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def create_configuration(**route):
    return {
        "version": 7,
        "routes": [ROUTE | route],
        "services": [SERVICE],
        "limits": LIMITS,
    }


def encode(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(data).decode()


def read(key, value, now=100.0):
    return platform_items.decode_change(
        {"key": key, "revision": 5, "value": encode(value)}, now
    )


def read_target(**changes):
    return read("servers/t1", TARGET | changes)


def test_a_target_is_read():
    change = read_target()
    target = change.content
    assert (change.subject, change.name) == ("target", "t1")
    assert target.address == ("10.0.0.1", 8080)
    assert (target.service, target.data_centre) == ("s1", "north")
    assert (target.slots, target.born_ms, target.warm_at) == (2, 1700, 0.0)
    assert not target.is_draining


def test_a_cold_target_is_warm_later():
    assert read_target(warmup_left_ms=1500).content.warm_at == 101.5


def test_a_draining_target_is_read():
    assert read_target(state="draining").content.is_draining


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "gone"},
        {"state": None},
        {"service": 5},
        {"service": ""},
        {"address": "nowhere"},
        {"address": 7},
        {"address": "10.0.0.1:"},
        {"zone": []},
        {"slots": "2"},
        {"slots": True},
        {"slots": -1},
        {"warmup_left_ms": 1.5},
        {"sequence": "4"},
        {"born": "x"},
        {"born": 10**30},
        {"slots": 2**64},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"address": "replica.example:80"},
        {"address": "300.0.0.1:80"},
    ],
)
def test_an_invalid_target_has_no_content(changes):
    # Guards against a feed that fails on an entry of another program.
    change = read_target(**changes)
    assert change.content is None
    assert not change.is_removed


def read_text(text):
    value = base64.b64encode(text.encode()).decode()
    item = {"key": "servers/t1", "revision": 5, "value": value}
    return platform_items.decode_change(item, 1000.0)


@pytest.mark.parametrize("field", [*TARGET, "another"])
@pytest.mark.parametrize("depth", [100, 900, 985, 995, 1005, 100_000])
@pytest.mark.parametrize(("left", "right"), [("[", "]"), ('{"a":', "}")])
def test_a_deeply_nested_target_does_not_raise(field, depth, left, right):
    # Guards against an entry of another program that ends the process.
    others = {k: v for k, v in TARGET.items() if k != field}
    nested = left * depth + "1" + right * depth
    text = json.dumps(others)[:-1] + f', "{field}": {nested}}}'
    assert not read_text(text).is_removed


@pytest.mark.parametrize("field", [*TARGET, "another"])
@pytest.mark.parametrize(
    "number", ["1e400", "-1e400", "1" + "0" * 400, "9" * 5000, "NaN"]
)
def test_a_number_that_is_too_large_does_not_raise(field, number):
    # Guards against numbers that no later calculation can use.
    others = {k: v for k, v in TARGET.items() if k != field}
    text = json.dumps(others)[:-1] + f', "{field}": {number}}}'
    assert not read_text(text).is_removed


@pytest.mark.parametrize(
    "name", [n for n in TARGET if n not in ("version", "born")]
)
def test_a_target_without_a_required_field_has_no_content(name):
    fields = {key: value for key, value in TARGET.items() if key != name}
    assert read("servers/t1", fields).content is None


@pytest.mark.parametrize("name", ["a\r\nX-Other: 1", "a b", "\u2603", "\x00"])
def test_a_target_whose_id_does_not_fit_a_header_has_no_content(name):
    # Guards against header fields that an entry of another program adds to
    # requests, and against ids that can't be sent at all.
    assert read(f"servers/{name}", TARGET).content is None


ROUTE_FAULTS = {
    "name": 5,
    "host": None,
    "prefix": 1,
    "timeout_ms": "800",
    "target_latency_ms": -1,
    "priority": "high",
    "gather": ["s1", 2],
    "max_attempts": 1.5,
    "top_k": "20",
    "min_shard_ratio": "all",
    "allowed_regions": [None],
}


@pytest.mark.parametrize("name", ROUTE_FAULTS)
def test_a_configuration_with_an_invalid_route_has_no_content(name):
    # Guards against a table whose fields fail each request that uses them.
    fields = create_configuration(**{name: ROUTE_FAULTS[name]})
    assert read("op/config", fields).content is None


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"services": [SERVICE | {"max_connections": "25"}]},
        {"services": [SERVICE | {"health_path": "/a b\r\n"}]},
        {"limits": LIMITS | {"max_body_bytes": None}},
        {"routes": [{**ROUTE, "gather": [], "backends": []}]},
        {"routes": [{**ROUTE, "gather": []}]},
    ],
)
def test_an_invalid_configuration_has_no_content(changes):
    assert read("op/config", create_configuration() | changes).content is None


JSON_VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=True)
    | strategies.text(strategies.characters(), max_size=8)
    | strategies.sampled_from(["10.0.0.1:\u00b2", "10.0.0.1:99999", ":80"])
    | strategies.lists(strategies.integers(), max_size=2)
)


@hypothesis.given(
    key=strategies.text(strategies.characters(), max_size=8),
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(TARGET)), JSON_VALUES, max_size=3
    ),
)
def test_a_target_that_is_read_can_be_sent_to_other_hosts(key, changes):
    # Guards against one entry that stops the feed of a host, or of all hosts
    # that read the feed from it.
    change = read(f"servers/{key}", TARGET | changes)
    encoded = _record_codec.encode(change)
    assert _record_codec.decode(encoded) == change
    if change.content is not None:
        change.content.target.encode("latin-1")
        assert 0 < change.content.address[1] < 65536


@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(ROUTE)), JSON_VALUES, max_size=3
    )
)
def test_a_route_that_is_read_can_be_sent_to_other_hosts(changes):
    change = read("op/config", create_configuration(**changes))
    encoded = _record_codec.encode(change)
    assert _record_codec.decode(encoded) == change


@hypothesis.given(data=strategies.binary(max_size=60))
def test_any_bytes_are_read_without_an_error(data):
    assert read("servers/t1", data).content is None
    assert read("op/config", data).content is None


@hypothesis.given(
    value=strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from([*TARGET, *create_configuration()]),
                inner,
                max_size=6,
            )
        ),
        max_leaves=12,
    )
)
def test_any_value_is_read_without_an_error(value):
    assert read("op/config", value).content is None
    read("servers/t1", value)


def test_a_value_that_is_not_base64_has_no_content():
    event = {"key": "servers/t1", "revision": 5, "value": "*"}
    assert platform_items.decode_change(event, 0.0).content is None


def test_a_gather_is_read():
    table = read("op/config", create_configuration()).content
    (route,) = table.routes["a.example"]
    assert table.version == 7
    assert route.shards == ("s1", "s2")
    assert route.idempotent
    assert (route.timeout_s, route.aim_s) == (0.8, 0.138)
    assert (route.record_limit, route.least_share) == (20, 0.89)
    assert route.regions == {"left"}
    assert table.services["s1"].connection_limit == 25
    assert table.limits.header_s == 3.0


@pytest.mark.parametrize(
    ("kind", "expected"), [("safe", True), ("unsafe", False), ("new", False)]
)
def test_idempotence_follows_from_the_route_type(kind, expected):
    # Guards against repeats of requests whose route type is unknown.
    table = read("op/config", create_configuration(route_type=kind)).content
    assert table.routes["a.example"][0].idempotent is expected


def test_a_route_to_one_service_is_read():
    fields = create_configuration()
    del fields["routes"][0]["gather"]
    fields["routes"][0]["service"] = "s1"
    (route,) = read("op/config", fields).content.routes["a.example"]
    assert [(s.service, s.weight) for s in route.shares] == [("s1", 1.0)]


def test_a_route_with_weights_is_read():
    fields = create_configuration()
    del fields["routes"][0]["gather"]
    fields["routes"][0]["backends"] = [
        {"service": "s1", "weight": 3},
        {"service": "s2", "weight": 1},
    ]
    (route,) = read("op/config", fields).content.routes["a.example"]
    assert [(s.service, s.weight) for s in route.shares] == [
        ("s1", 3.0),
        ("s2", 1.0),
    ]


def test_an_evacuation_is_read():
    change = read("op/evacuate/north", {})
    assert (change.subject, change.name) == ("evacuation", "north")
    assert not change.is_removed


def test_a_removal_is_read():
    change = platform_items.decode_change(
        {"key": "servers/t1", "revision": 9, "tombstone": True}, 0.0
    )
    assert change.is_removed
    assert (change.revision, change.content) == (9, None)


def test_items_with_unknown_keys_have_the_subject_other():
    assert read("my/leader", {}).subject == "other"
