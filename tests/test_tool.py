import json

import pytest

from bramleyfork import tool
from bramleyfork.commands import registry


@registry.COMMANDS.register("echo-for-tests")
def echo(arguments, options):
    """Shows its arguments."""
    row = {"arguments": arguments, "key": options.key}
    return registry.CommandResult(exit_code=0, rows=[row], message="done")


def test_flags_may_follow_the_command(capsys):
    argv = ["bramleyfork", "echo-for-tests", "a", "--key", "5"]
    assert tool.main([*argv, "--output=json"]) == 0
    document = json.loads(capsys.readouterr().out)
    assert document["rows"] == [{"arguments": ["a"], "key": 5}]
    assert tool.main(argv) == 0
    assert capsys.readouterr().out.splitlines() == [
        "arguments  key",
        '["a"]      5',
        "done",
    ]


@pytest.mark.parametrize(
    "arguments",
    [["unknown"], ["show", "--colour"], ["show", "--output=xml"], ["--key=1"]],
)
def test_wrong_usage_exits_with_2(capsys, arguments):
    assert tool.main(["bramleyfork", *arguments]) == 2
    assert "bramleyfork --help" in capsys.readouterr().err


def test_help_lists_commands_and_exit_codes(capsys):
    assert tool.main(["bramleyfork", "--help"]) == 0
    text = capsys.readouterr().out
    for word in ("show", "place", "query", "--deadline_ms", "exit codes"):
        assert word in text


def test_help_on_a_command_shows_its_example(capsys):
    assert tool.main(["bramleyfork", "help", "query"]) == 0
    text = capsys.readouterr().out
    assert text.startswith("Sends a query")
    assert "Example: bramleyfork query availability" in text
