"""Marks the tests listed in KNOWN-RED.txt as expected failures; prints them."""

import os
import pathlib

import hypothesis
import pytest

# Every run checks the same examples, so that its result is reproducible.
hypothesis.settings.register_profile("fixed", derandomize=True)
# `make fuzz` checks many new examples; hypothesis keeps the failing ones.
hypothesis.settings.register_profile(
    "long", max_examples=20_000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(
    os.environ.get("BRAMLEYFORK_HYPOTHESIS_PROFILE", "fixed")
)

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red(text):
    """Returns the pytest ids listed in the text of KNOWN-RED.txt."""
    return [
        line.removeprefix("test:").strip()
        for line in text.splitlines()
        if line.startswith("test:")
    ]


def pytest_collection_modifyitems(config, items):
    known = read_known_red(KNOWN_RED.read_text())
    config.known_red = known
    by_id = {item.nodeid: item for item in items}
    for nodeid in known:
        if nodeid in by_id:
            by_id[nodeid].add_marker(
                pytest.mark.xfail(reason="listed in KNOWN-RED.txt")
            )
        elif not config.args_source.name.startswith("ARGS"):
            raise pytest.UsageError(
                f"KNOWN-RED.txt names {nodeid!r}, which does not exist"
            )


def pytest_terminal_summary(terminalreporter, config):
    known = getattr(config, "known_red", [])
    terminalreporter.write_line(f"known red tests: {len(known)}")
    for nodeid in known:
        terminalreporter.write_line(f"  {nodeid}")
