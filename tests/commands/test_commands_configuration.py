import pathlib
import shutil

import pytest

from bramleyfork.commands import configuration
from bramleyfork.commands import registry

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "torno-norte"


def run(name, *arguments):
    command = registry.COMMANDS.find(name)
    return command([str(a) for a in arguments], registry.CommandOptions())


@pytest.fixture
def folder(tmp_path):
    """A copy of a declaration that tests may change."""
    return shutil.copytree(EXAMPLE / "declaration", tmp_path / "declaration")


def test_commands_are_registered():
    assert configuration.check_path is registry.COMMANDS.find("check")


def test_declaration_and_settings_are_accepted():
    result = run("check", EXAMPLE / "declaration")
    assert (result.exit_code, result.rows[0]["targets"]) == (0, 107)
    result = run("check", EXAMPLE / "hosts" / "bilbao-1.toml")
    assert result.exit_code == 0
    assert {"key": "host", "value": "bilbao-1"} in result.rows


def test_refusals_name_file_key_value_and_what_is_allowed(folder):
    (folder / "lookups.toml").write_text("[[lookup]]\nname = 'a'\n")
    result = run("publish-manifest", folder)
    assert result.exit_code == 1
    (row,) = result.rows
    assert row["file"] == "lookups.toml"
    assert "did you mean 'lookups'?" in row["advice"]
    assert run("check", folder).exit_code == 1
    assert run("check", folder / "lookups.toml").exit_code == 1


def test_manifest_is_written_only_for_changed_parts(folder):
    before = (folder / "manifest.toml").read_bytes()
    assert "up to date" in run("publish-manifest", folder).message
    assert (folder / "manifest.toml").read_bytes() == before
    with (folder / "hosts.toml").open("a") as part:
        part.write("# One more part.\n")
    assert run("check", folder).exit_code == 1
    assert run("publish-manifest", folder).rows[0]["revision"] == 2
    assert run("publish-manifest", folder, 9).rows[0]["revision"] == 9
    assert run("check", folder).exit_code == 0
    assert not list(folder.glob("*.new"))


def test_refused_declaration_leaves_the_manifest_alone(folder):
    before = (folder / "manifest.toml").read_bytes()
    (folder / "targets.toml").write_text("")
    assert run("publish-manifest", folder).exit_code == 1
    assert (folder / "manifest.toml").read_bytes() == before


@pytest.mark.parametrize(
    "arguments",
    [
        ("check",),
        ("check", "a", "b"),
        ("publish-manifest",),
        ("publish-manifest", "/none"),
        ("publish-manifest", ".", "0"),
        ("publish-manifest", ".", "-1"),
        ("publish-manifest", ".", "1", "2"),
    ],
)
def test_wrong_usage_has_its_own_exit_code(arguments):
    result = run(*arguments)
    assert result.exit_code == 2
    assert result.message.startswith("usage: bramleyfork ")


def test_absent_path_is_refused():
    assert run("check", "/none.toml").exit_code == 1
