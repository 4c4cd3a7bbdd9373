"""Checks deploy/system.toml against the programs, ports and requirements.

A deploy file that disagrees with the repository fails only on the users'
machines.
"""

import pathlib
import tomllib

import platform_settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def read_pins(name):
    lines = (ROOT / name).read_text().splitlines()
    return {line for line in lines if line and not line.startswith("#")}


def test_each_role_runs_a_program_of_the_repository():
    for role in DEPLOY["roles"].values():
        interpreter, program, *_ = role["run"].split(" ")
        assert interpreter == "python3"
        assert (ROOT / program).is_file()


def test_some_role_answers_the_directory():
    served = [s for role in DEPLOY["roles"].values() for s in role["serves"]]
    assert "directory" in served
    assert len(served) == len(set(served))


def test_metrics_are_served_where_the_deploy_file_says():
    for role in DEPLOY["roles"].values():
        port, _, path = role["metrics"].partition("/")
        assert int(port) == platform_settings.METRICS_PORT
        assert path == "metrics"


def test_run_time_requirements_are_pinned_as_tested():
    pins = read_pins("requirements.txt")
    assert pins
    assert pins <= read_pins("requirements.lock")
    assert "requirements.txt" in DEPLOY["build"]
