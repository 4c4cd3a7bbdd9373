import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent


def test_every_scenario_named_on_the_page_exists():
    # Guards against a page that refers to tests that were renamed or deleted.
    page = (ROOT / "docs" / "proofs.md").read_text()
    named = set(re.findall(r"`(test_\w+\.py::\w+)", page))
    listed = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "--collect-only",
            "-q",
            "-o",
            "addopts=--import-mode=importlib",
            "tests/scenarios",
            "tests/entry",
            "tests/platform_adapter",
            "tests/transports",
            "tests/listeners",
            "tests/crowds",
            "tests/standalone",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    ).stdout
    existing = set(re.findall(r"(test_\w+\.py::\w+)", listed))
    assert named
    assert named <= existing, sorted(named - existing)
