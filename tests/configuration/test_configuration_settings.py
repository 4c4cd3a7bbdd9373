import pytest

from bramleyfork.configuration import settings

GOOD = """
deployment = "torno-norte"
host = "bilbao-1"
data_centre = "bilbao"
peer_address = "127.0.1.1:7000"
caller_address = "127.0.1.1:8080"
administration_address = "127.0.1.1:8081"
platform_address = "127.0.0.1:9000"
"""


def load(tmp_path, text):
    path = tmp_path / "host.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return settings.load_settings(path)


def test_defaults_are_those_of_the_record(tmp_path):
    loaded = load(tmp_path, GOOD).ok
    values = {
        name: getattr(loaded, name) for name in settings.Settings.__slots__[:8]
    }
    assert settings.Settings(**values) == loaded
    assert loaded.incarnation > 1_600_000_000_000


def test_each_setting_has_one_option():
    keys = {option.key for option in settings.OPTIONS} | {"incarnation"}
    assert keys == set(settings.Settings.__slots__)


@pytest.mark.parametrize(
    ("text", "quoted"),
    [
        (GOOD.replace("7000", "70000"), "'127.0.1.1:70000'"),
        (GOOD.replace("8080", "7000"), "other than peer_address"),
        (GOOD + "caller_threads = 0", "1 to 1024"),
        (GOOD + "target_threads = '8'", "'8'"),
        (GOOD + "log_level = 'LOUD'", "'DEBUG', 'INFO'"),
        (GOOD + "seeds = '127.0.1.1:7000'", "a list"),
        (GOOD + "seed = []", "did you mean 'seeds'?"),
        (GOOD.replace("host", "hots"), "host is missing"),
        (GOOD + "= 1", "TOML"),
        (b"\xff", "UTF-8"),
        ("a = " + "[" * 100_000, "nested too deeply"),
        ("a = " + "9" * 10_000, "TOML"),
    ],
)
def test_malformed_settings_are_refused(tmp_path, text, quoted):
    problems = load(tmp_path, text).error
    assert quoted in "\n".join(problem.describe() for problem in problems)
    assert all("host.toml" in problem.file for problem in problems)


def test_absent_file_is_reported(tmp_path):
    (problem,) = settings.load_settings(tmp_path / "none.toml").error
    assert "No such file" in problem.describe()
