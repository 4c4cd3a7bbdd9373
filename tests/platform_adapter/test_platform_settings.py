import json
import subprocess
import sys

import pytest

import platform_settings

FIELDS = {
    "node": "front-north-1",
    "ip": "10.1.0.9",
    "zone": "north",
    "zones": {"north": "left", "south": "right"},
    "listen": {
        "front": "10.1.0.9:8104",
        "ready": "10.1.0.9:8108",
        "control": "10.1.0.9:8106",
        "directory": "10.1.0.9:8100",
    },
    "limits": {
        "cpu_share": 0.5,
        "cores": 2,
        "link_mbps": 100.0,
        "memory_mb": 300,
        "max_fds": 4100,
    },
    "internal_ports": [7380, 7395],
    "seeds": ["10.1.0.9:8106", "10.2.0.21:8106"],
    "bounds": {
        "grace_s": 6,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 52,
        "retry_window_s": 10,
        "ttl_max_s": 5,
    },
    "platform": {"address": "10.200.1.7:8102"},
    "a_field_of_tomorrow": 5,
}


def test_settings_are_read():
    settings = platform_settings.build_settings(FIELDS)
    assert settings.host == "front-north-1"
    assert settings.region == "left"
    assert (settings.cores, settings.link_mbps) == (1.0, 100.0)
    assert settings.caller_address == ("10.1.0.9", 8104)
    assert settings.peer_address == ("10.1.0.9", 7380)
    assert settings.carrier_address == ("10.1.0.9", 7395)
    assert settings.seeds == (("10.1.0.9", 7380), ("10.2.0.21", 7380))
    assert settings.store_address == ("10.200.1.7", 8102)
    assert settings.retry_limits.slack == 52


def test_the_platform_limits_the_lifetime_of_the_directory():
    fields = FIELDS | {"bounds": FIELDS["bounds"] | {"ttl_max_s": 1}}
    assert platform_settings.build_settings(fields).directory_lifetime_s == 1


def write(tmp_path, text):
    path = tmp_path / "boot.json"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "boot.json"),
        (json.dumps(FIELDS | {"seeds": ["x"]}), "'x' is not an address"),
        (json.dumps({**FIELDS, "listen": {}}), "'front'"),
    ],
)
def test_the_error_of_an_invalid_file_names_the_cause(tmp_path, text, expected):
    with pytest.raises(platform_settings.SettingsError, match=expected):
        platform_settings.load_settings(write(tmp_path, text))


def test_a_missing_file_is_named():
    with pytest.raises(platform_settings.SettingsError, match="/none/"):
        platform_settings.load_settings("/none/boot.json")


def test_the_programs_folder_does_not_hide_the_standard_library():
    # Guards against an import path on which the folder platform/ shadows the
    # standard library's module of that name.
    found = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.__file__)"],
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip().endswith("platform.py")
