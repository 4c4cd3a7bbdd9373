import pathlib

from hypothesis import given
from hypothesis import strategies
import pytest

from bramleyfork.commands import entry_hosts
from bramleyfork.commands import registry
from bramleyfork.standalone import declaration
from tests.standalone import files

ROOT = pathlib.Path(__file__).parents[2]


def read(values):
    body = files.write_toml(values).encode()
    return declaration.parse_declaration(body, "declaration.toml")


def read_one(table, **changes):
    rows = [row | changes for row in files.DECLARATION[table]]
    return read(files.DECLARATION | {table: rows})


def test_a_declaration_becomes_entries_of_the_feed():
    declared = read(files.DECLARATION | {"evacuated": ["south"]}).ok
    assert [(c.subject, c.name) for c in declared.changes] == [
        ("routes", ""),
        ("evacuation", "south"),
        ("target", "s1a"),
    ]
    table = declared.changes[0].content
    (route,) = table.routes["a.example"]
    assert (table.version, route.shards) == (1, ("s1",))
    assert declared.changes[2].content.address == ("127.0.0.1", 9000)


def test_weights_are_equal_unless_given():
    route = files.drop(files.ROUTE, "shards", "record_limit")
    route["services"] = ["s1", "s2"]
    services = [files.SERVICE, files.SERVICE | {"name": "s2"}]
    values = files.DECLARATION | {"services": services}
    table = read(values | {"routes": [route]}).ok.changes[0].content
    (found,) = table.routes["a.example"]
    assert [share.weight for share in found.shares] == [1.0, 1.0]
    route["weights"] = [3, 1]
    table = read(values | {"routes": [route]}).ok.changes[0].content
    (found,) = table.routes["a.example"]
    assert [share.weight for share in found.shares] == [3.0, 1.0]


@pytest.mark.parametrize(
    ("table", "changes", "key", "allowed"),
    [
        ("routes", {"shards": ["s2"]}, "routes[0].shards", "s1"),
        ("routes", {"shards": []}, "routes[0]", "either services or shards"),
        ("routes", {"services": ["s1"]}, "routes[0]", "either"),
        ("routes", {"prefix": "find"}, "routes[0].prefix", "ends with /"),
        ("routes", {"host": "A"}, "routes[0].host", "lower case"),
        ("routes", {"idempotent": False}, "routes[0].idempotent", "true"),
        ("routes", {"record_limit": 0}, "routes[0].record_limit", "at least 1"),
        ("routes", {"weights": [1]}, "routes[0].weights", "0 services"),
        ("routes", {"weights": [0]}, "routes[0].weights", "above 0"),
        ("routes", {"least_share": 2}, "routes[0].least_share", "0 to 1"),
        ("services", {"health_path": "x"}, "services[0].health_path", "/"),
        ("targets", {"service": "s2"}, "targets[0].service", "s1"),
        ("targets", {"state": "gone"}, "targets[0].state", "'draining'"),
        ("targets", {"address": "x:1"}, "targets[0].address", "IP address"),
    ],
)
def test_a_bad_value_is_named_with_what_is_allowed(
    table, changes, key, allowed
):
    (problem,) = read_one(table, **changes).error
    assert problem.key == key
    assert allowed in problem.allowed


@pytest.mark.parametrize("table", ["services", "targets"])
def test_names_are_unique(table):
    rows = files.DECLARATION[table] * 2
    (problem,) = read(files.DECLARATION | {table: rows}).error
    assert problem.key == f"{table}[1].name"


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"revision": 0}, "revision"),
        ({"limits": 3}, "limits"),
        ({"targets": 3}, "targets"),
        ({"target": []}, "unknown key 'target'"),
    ],
)
def test_a_bad_table_is_named(changes, key):
    found = read(files.drop(files.DECLARATION, *changes) | changes).error
    assert key in [problem.key for problem in found]


@given(strategies.binary(max_size=200))
def test_any_bytes_are_accepted_or_refused_with_a_problem(body):
    # Guards against a host that ends on a half-written file.
    found = declaration.parse_declaration(body, "declaration.toml")
    assert found.is_ok() or found.error


def test_the_example_is_accepted(monkeypatch):
    monkeypatch.chdir(ROOT)
    result = entry_hosts.check_entry(
        ["examples/standalone/host.toml"], registry.CommandOptions()
    )
    assert (result.exit_code, result.rows[0]["targets"]) == (0, 3)


def test_a_refused_declaration_is_shown_row_by_row(tmp_path):
    bad = tmp_path / "declaration.toml"
    bad.write_text("revision = 'one'\n")
    host = tmp_path / "host.toml"
    values = files.SETTINGS | {"declaration_file": str(bad)}
    host.write_text(files.write_toml(values))
    result = entry_hosts.check_entry([str(host)], registry.CommandOptions())
    assert result.exit_code == registry.EXIT_REFUSED
    assert result.rows[0]["key"] == "revision"
