import hypothesis
from hypothesis import strategies as st
import pytest

from bramleyfork.configuration import manifests  # noqa: F401 - registers types.
from bramleyfork.configuration import option_schemas


def create_option(type_, **fields):
    return option_schemas.Option(
        key="speed", type=type_, purpose="Test.", **fields
    )


def check(option, **values):
    return option_schemas.check_options(
        [option], values, file="a.toml", prefix="t."
    )


@pytest.mark.parametrize(
    ("type_", "good", "bad"),
    [
        ("name", "bilbao-1", ["", "Bilbao", "a-", "a" * 64, 7, None, "a\n"]),
        ("pattern", "booking-*", ["", "a?", ["a"], 1]),
        ("path", "/run/cut", ["", "a\0b", 1]),
        ("flag", True, [1, "true"]),
        ("integer", 5, [1, 11, 5.0, True, "5"]),
        ("number", 5, [1.9, 10.1, float("nan"), float("inf"), True, "5"]),
        (
            "address",
            "127.0.1.1:7000",
            ["127.0.1.1", "host:1", "127.0.1.1:0", "127.0.1.1:65536"]
            + ["127.0.1.1:07", "::1:80", "[::1:80", "127.0.1.1:٣", 80],
        ),
        ("ip", "::1", ["127.0.1", "localhost", "127.0.0.1:1", 1]),
        ("names", ["a"], ["a", [1], ["A"], {}]),
        ("patterns", ["a", "b-*"], ["a", ["?"]]),
        ("addresses", ["[::1]:80"], [["::1"], "a"]),
        ("ips", ["127.0.0.1"], [["a"], ["127.0.0.1:1"]]),
        ("choice", "owner", ["OWNER", 1, ["owner"]]),
        ("part key", "hosts", ["manifest", "a/b", "../a", "", "A", 1]),
        ("digest", "0" * 64, ["0" * 63, "G" * 64, 1]),
    ],
)
def test_each_type_accepts_its_values_only(type_, good, bad):
    option = create_option(type_, low=2, high=10, choices=("owner",))
    if type_.endswith("s"):
        option = option.replace(low=None, high=None)
    assert check(option, speed=good).is_ok()
    for value in bad:
        (problem,) = check(option, speed=value).error
        assert (problem.file, problem.key) == ("a.toml", "t.speed")
        assert problem.value == value or value != value  # NaN.
        if value is not None:
            assert option_schemas.shorten(value) in problem.describe()


def test_unknown_key_suggests_the_nearest():
    result = check(create_option("flag", default=False), sped=True)
    (problem,) = result.error
    assert "'t.sped'" in problem.describe()
    assert "did you mean 'speed'?" in problem.describe()


def test_missing_key_is_reported_or_has_its_default():
    (problem,) = check(create_option("integer", low=1)).error
    assert "t.speed is missing; allowed: a whole number" in problem.describe()
    assert check(create_option("flag", default=True)).ok == {"speed": True}


def test_all_problems_are_reported_at_once():
    option = create_option("integer", low=1, high=2)
    assert len(check(option, speed=3, other=1, third=2).error) == 3


def test_long_values_are_shortened():
    # Guards against error messages as large as the refused file.
    (problem,) = check(create_option("flag"), speed="x" * 10_000).error
    assert len(problem.describe()) < 300


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@hypothesis.given(
    VALUES, st.sampled_from(option_schemas.VALIDATORS.list_names())
)
def test_no_value_makes_a_validator_raise(value, type_):
    option = create_option(type_, low=1, high=2, choices=("a",))
    result = option_schemas.VALIDATORS.find(type_)(option, value)
    assert result.is_ok() or isinstance(result.error, str)
