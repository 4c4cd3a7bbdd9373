import pytest

from bramleyfork.standalone import settings
from tests.standalone import files


def load(tmp_path, values):
    path = tmp_path / "host.toml"
    path.write_text(files.write_toml(values))
    return settings.load_settings(path)


def test_settings_are_read_with_their_defaults(tmp_path):
    loaded = load(tmp_path, files.SETTINGS | {"retry_ratio": 0.2}).ok
    assert loaded.region == "left"
    assert loaded.caller_address == ("127.0.0.1", 7001)
    assert loaded.metrics_address is None
    assert loaded.retry_limits.ratio == 0.2
    assert loaded.adapters == settings.ADAPTER_NAMES


@pytest.mark.parametrize(
    ("changes", "key", "allowed"),
    [
        ({"data_centre": "east"}, "data_centre", "north, south"),
        ({"regions": {}}, "regions", "names to names"),
        ({"regions": {"north": 1}}, "regions", "names to names"),
        ({"grace_s": 0}, "grace_s", "1 to 600"),
        ({"log_level": "LOUD"}, "log_level", "'INFO'"),
        ({"peer_address": "127.0.0.1:7001"}, "peer_address", "caller_address"),
        ({"seeds": ["here"]}, "seeds", "IP address"),
        ({"hosts": 3}, "unknown key 'hosts'", "host"),
    ],
)
def test_a_bad_value_is_named_with_what_is_allowed(
    tmp_path, changes, key, allowed
):
    (problem,) = load(tmp_path, files.SETTINGS | changes).error
    assert problem.key == key
    assert allowed in problem.allowed + problem.advice


def test_every_problem_is_reported(tmp_path):
    values = files.drop(files.SETTINGS, "host", "regions") | {"cores": "two"}
    keys = {problem.key for problem in load(tmp_path, values).error}
    assert keys == {"host", "regions", "cores"}


def test_a_missing_file_is_a_problem(tmp_path):
    (problem,) = settings.load_settings(tmp_path / "none.toml").error
    assert "check the path" in problem.describe()
