import json

import pytest

from bramleyfork.commands import registry
from bramleyfork.commands import traces

LINES = [
    {"time": 1.0, "host": "h1", "message": "feed lost", "status": "lost"},
    {"time": 5.0, "host": "h2", "message": "feed lost"},
    {"time": 6.0, "host": "h1", "message": "attempt failed", "request": "q1"},
    {"time": 7.0, "host": "h1", "message": "request answered", "request": "q1"},
    {"time": 6.5, "host": "h1", "message": "request answered", "request": "q2"},
    {"time": 9.0, "host": "h1", "message": "feed regained"},
]


def write(tmp_path, lines=LINES):
    path = tmp_path / "log"
    text = "".join(f"  12.3 h1 {json.dumps(line)}\n" for line in lines)
    path.write_text(text + "no line of a host\n{broken\n[1]\n")
    return str(path)


def run(*arguments):
    return traces.trace(list(arguments), registry.CommandOptions())


def test_trace_shows_request_lines_and_earlier_state_changes(tmp_path):
    result = run("q1", write(tmp_path))
    assert [(row["time"], row["message"]) for row in result.rows] == [
        ("1.000", "feed lost"),
        ("6.000", "attempt failed"),
        ("7.000", "request answered"),
    ]
    assert result.rows[0]["details"] == "status=lost"


def test_unknown_request_id_is_refused(tmp_path):
    result = run("q9", write(tmp_path))
    assert result.exit_code == registry.EXIT_REFUSED
    assert "'q9'" in result.message


@pytest.mark.parametrize("arguments", [(), ("q1",), ("q1", "/none/log")])
def test_wrong_use_is_explained(arguments):
    result = run(*arguments)
    assert result.exit_code == registry.EXIT_USAGE
    assert result.message


def test_belief_needs_an_address():
    result = traces.show_entry_state([], registry.CommandOptions())
    assert result.exit_code == registry.EXIT_USAGE


def test_belief_names_a_host_that_can_not_be_reached():
    options = registry.CommandOptions(administration="127.0.0.1:1")
    result = traces.show_entry_state([], options)
    assert result.exit_code == registry.EXIT_UNREACHABLE
    assert "127.0.0.1:1" in result.message
