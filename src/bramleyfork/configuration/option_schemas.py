"""Option schemas, by which settings, manifests and declarations are checked.

An ``Option`` describes one key of a table: its type, default and bounds. The
validators of the types are registered in ``VALIDATORS``.
"""

import collections.abc
import difflib
import ipaddress
import math
import re
import typing

import expression

from bramleyfork.core import records
from bramleyfork.core import registries

REQUIRED = "required"  # Default of an option that must be given.
NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")

_SERVICE_PATTERN = re.compile(r"[a-z0-9*-]{1,63}")
_NAME_RULE = (
    "a name of 1 to 63 lower-case letters, digits and inner hyphens,"
    " such as 'bilbao-1'"
)
_ADDRESS_RULE = "an IP address and a port of 1 to 65535, such as 127.0.1.1:7000"


class Problem(records.Record):
    """A value that was refused, and what is allowed instead.

    Attributes:
      file: File or part that contains the value.
      key: Key of the value, prefixed with its table.
      value: The value found; None when the key is missing.
      allowed: What is allowed.
      advice: How to correct it, if ``allowed`` does not make that clear.
    """

    __slots__ = ("file", "key", "value", "allowed", "advice")

    def __init__(
        self,
        *,
        file: str,
        key: str,
        value: typing.Any,
        allowed: str,
        advice: str = "",
    ):
        self.file = file
        self.key = key
        self.value = value
        self.allowed = allowed
        self.advice = advice

    def describe(self) -> str:
        """Returns the problem as one line for operators."""
        finding = "is missing"
        if self.value is not None:
            finding = f"has the value {shorten(self.value)}"
        text = f"{self.file}: {self.key} {finding}; allowed: {self.allowed}"
        return f"{text}; {self.advice}" if self.advice else text


class Option(records.Record):
    """Schema of one key.

    Attributes:
      key: Name of the option.
      type: Name of its registered validator.
      default: Value if the key is absent; REQUIRED if it must be given.
      unit: Unit of the value, if it has one.
      low: Smallest value or length allowed; None for no limit.
      high: Largest value or length allowed; None for no limit.
      choices: Values allowed for the type "choice".
      purpose: What the option sets, in one sentence.
    """

    __slots__ = (
        "key",
        "type",
        "default",
        "unit",
        "low",
        "high",
        "choices",
        "purpose",
    )

    def __init__(
        self,
        *,
        key: str,
        type: str,  # noqa: A002 - the column is called type in the documents.
        purpose: str,
        default: typing.Any = REQUIRED,
        unit: str = "",
        low: float | None = None,
        high: float | None = None,
        choices: tuple[str, ...] = (),
    ):
        self.key = key
        self.type = type
        self.default = default
        self.unit = unit
        self.low = low
        self.high = high
        self.choices = choices
        self.purpose = purpose


# A validator takes the option and its value, None if absent, and returns the
# value to use or the text for ``Problem.allowed``.
Validator = collections.abc.Callable[
    [Option, typing.Any], expression.Result[typing.Any, str]
]
VALIDATORS: registries.Registry[Validator] = registries.Registry(
    kind="option type"
)


def shorten(value: typing.Any, limit: int = 120) -> str:
    """Returns ``repr(value)`` cut to ``limit`` characters."""
    text = repr(value)
    return text if len(text) <= limit else f"{text[: limit - 3]}..."


def suggest_name(name: str, valid: collections.abc.Iterable[str]) -> str | None:
    """Returns the most similar valid name, or None if none is similar."""
    matches = difflib.get_close_matches(name, list(valid), n=1, cutoff=0.5)
    return matches[0] if matches else None


def explain_unknown(
    name: str, valid: collections.abc.Collection[str]
) -> tuple[str, str]:
    """Returns ``allowed`` and ``advice`` of a problem with an unknown name."""
    suggestion = suggest_name(name, valid)
    advice = f"did you mean {suggestion!r}?" if suggestion else "remove it"
    return f"one of {', '.join(sorted(valid))}", advice


def check_options(
    options: collections.abc.Sequence[Option],
    values: dict[str, typing.Any],
    *,
    file: str,
    prefix: str = "",
) -> expression.Result[dict[str, typing.Any], tuple[Problem, ...]]:
    """Checks the values of one table against its options.

    Args:
      options: The options of the table.
      values: Values to check, by key.
      file: Name of the file in problems.
      prefix: Prefix of each key in problems.

    Returns:
      The checked or default value of every option, or every problem.
    """
    known = {option.key: option for option in options}
    problems = [
        _report_unknown(file, prefix, key, value, known)
        for key, value in values.items()
        if key not in known
    ]
    checked = {}
    for key, option in known.items():
        result = _check_option(option, values)
        if result.is_ok():
            checked[key] = result.ok
            continue
        actual, allowed = values.get(key), result.error
        problem = Problem(
            file=file, key=prefix + key, value=actual, allowed=allowed
        )
        problems.append(problem)
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(checked)


def check_distinct(
    values: dict[str, typing.Any],
    keys: collections.abc.Iterable[str],
    *,
    file: str,
) -> list[Problem]:
    """Returns a problem for each key with the same value as an earlier key.

    Args:
      values: Checked values by key; None stands for an option left out.
      keys: Keys whose values must differ.
      file: Name of the file in problems.
    """
    problems = []
    seen: dict[typing.Any, str] = {}
    for key in keys:
        value = values[key]
        if value is not None and value in seen:
            problems.append(
                Problem(
                    file=file,
                    key=key,
                    value=value,
                    allowed=f"an address other than {seen[value]}",
                )
            )
        seen.setdefault(value, key)
    return problems


def _report_unknown(
    file: str,
    prefix: str,
    key: str,
    value: typing.Any,
    known: collections.abc.Collection[str],
) -> Problem:
    allowed, advice = explain_unknown(key, known)
    return Problem(
        file=file,
        key=f"unknown key {prefix + key!r}",
        value=value,
        allowed=allowed,
        advice=advice,
    )


def _check_option(
    option: Option, values: dict[str, typing.Any]
) -> expression.Result[typing.Any, str]:
    if option.key not in values and option.default != REQUIRED:
        return expression.Ok(option.default)
    return VALIDATORS.find(option.type)(option, values.get(option.key))


def describe_bounds(option: Option) -> str:
    """Returns the bounds of an option as text, empty if it has none."""
    if option.low is None and option.high is None:
        return ""
    if option.high is None:
        return f"at least {option.low}"
    return f"{option.low} to {option.high}"


def _is_within_bounds(option: Option, number: float) -> bool:
    if option.low is not None and number < option.low:
        return False
    return option.high is None or number <= option.high


@VALIDATORS.register("name")
def check_name(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a name, such as that of a host or a service."""
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return expression.Ok(value)
    return expression.Error(_NAME_RULE)


@VALIDATORS.register("pattern")
def check_pattern(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a name in which ``*`` stands for any characters."""
    if isinstance(value, str) and _SERVICE_PATTERN.fullmatch(value):
        return expression.Ok(value)
    return expression.Error(
        "a name, or a pattern in which * stands for any characters,"
        " such as 'booking-*'"
    )


@VALIDATORS.register("path")
def check_path(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts the path of a file."""
    if isinstance(value, str) and value and "\0" not in value:
        return expression.Ok(value)
    return expression.Error("the path of a file")


@VALIDATORS.register("choice")
def check_choice(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts one of the option's choices."""
    if isinstance(value, str) and value in option.choices:
        return expression.Ok(value)
    return expression.Error(f"one of {', '.join(map(repr, option.choices))}")


@VALIDATORS.register("flag")
def check_flag(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts true or false."""
    if isinstance(value, bool):
        return expression.Ok(value)
    return expression.Error("true or false")


@VALIDATORS.register("integer")
def check_integer(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a whole number within the bounds."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and _is_within_bounds(option, value):
        return expression.Ok(value)
    return expression.Error(f"a whole number, {describe_bounds(option)}")


@VALIDATORS.register("number")
def check_number(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a finite number within the bounds; returns it as a float."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and _is_within_bounds(option, value) and math.isfinite(value):
        return expression.Ok(float(value))
    unit = f" of {option.unit}" if option.unit else ""
    return expression.Error(f"a number{unit}, {describe_bounds(option)}")


@VALIDATORS.register("address")
def check_address(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts an IP address with a port; IPv6 addresses need brackets."""
    if not isinstance(value, str):
        return expression.Error(_ADDRESS_RULE)
    ip, _, port = value.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    elif ":" in ip:
        return expression.Error(_ADDRESS_RULE)
    port_match = re.fullmatch(r"[1-9][0-9]{0,4}", port)
    if not _is_ip(ip) or not port_match or int(port) > 65535:
        return expression.Error(_ADDRESS_RULE)
    return expression.Ok(value)


@VALIDATORS.register("ip")
def check_ip(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts an IP address without a port."""
    if isinstance(value, str) and _is_ip(value):
        return expression.Ok(value)
    return expression.Error("an IP address, such as 127.0.1.10")


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_list(
    option: Option, value: typing.Any, check: Validator
) -> expression.Result[typing.Any, str]:
    low = option.low or 0
    rule = f"a list of at least {low} entries" if low else "a list"
    if not isinstance(value, list) or len(value) < low:
        entry_rule = check(option, None).error
        return expression.Error(f"{rule}, each {entry_rule}")
    checked = []
    for entry in value:
        result = check(option, entry)
        if result.is_error():
            return expression.Error(
                f"{rule}, each {result.error} (refused entry: {entry!r})"
            )
        checked.append(result.ok)
    return expression.Ok(tuple(checked))


@VALIDATORS.register("names")
def check_names(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of names."""
    return _check_list(option, value, check_name)


@VALIDATORS.register("patterns")
def check_patterns(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of names or patterns."""
    return _check_list(option, value, check_pattern)


@VALIDATORS.register("addresses")
def check_addresses(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of IP addresses with ports."""
    return _check_list(option, value, check_address)


@VALIDATORS.register("ips")
def check_ips(
    option: Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of IP addresses without ports."""
    return _check_list(option, value, check_ip)
