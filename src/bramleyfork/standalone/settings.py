"""Settings file of a standalone entry host, read once when it starts."""

import pathlib
import typing

import expression

from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.entry import settings

ADAPTER_NAMES = ("declaration_file", "host_pages")


@option_schemas.VALIDATORS.register("names_by_name")
def check_names_by_name(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a non-empty table that maps names to names."""
    del option
    if isinstance(value, dict) and value:
        texts = [*value, *value.values()]
        if all(
            isinstance(text, str)
            and option_schemas.NAME_PATTERN.fullmatch(text)
            for text in texts
        ):
            return expression.Ok(value)
    return expression.Error(
        "a table from names to names, such as { bilbao = 'pais-vasco' }"
    )


OPTIONS = (
    option_schemas.Option(
        key="host", type="name", purpose="Name of this host."
    ),
    option_schemas.Option(
        key="data_centre",
        type="name",
        purpose="Data centre of this host; a key of regions.",
    ),
    option_schemas.Option(
        key="regions",
        type="names_by_name",
        purpose="Region of each data centre.",
    ),
    option_schemas.Option(
        key="declaration_file",
        type="path",
        purpose="TOML file with routes, services and targets.",
    ),
    option_schemas.Option(
        key="caller_address",
        type="address",
        purpose="Address to listen on for callers.",
    ),
    option_schemas.Option(
        key="pages_address",
        type="address",
        purpose="Address to listen on for requests to /hosts and /ready.",
    ),
    option_schemas.Option(
        key="peer_address",
        type="address",
        purpose="Address to listen on for other hosts, over UDP and TCP.",
    ),
    option_schemas.Option(
        key="carrier_address",
        type="address",
        purpose="Address to listen on for attempts that other hosts delegate.",
    ),
    option_schemas.Option(
        key="metrics_address",
        type="address",
        default=None,
        purpose="Address to serve metrics on; if absent, they are not served.",
    ),
    option_schemas.Option(
        key="seeds",
        type="addresses",
        default=(),
        purpose="Peer addresses of hosts to contact; some may be down.",
    ),
    option_schemas.Option(
        key="cores",
        type="number",
        default=1.0,
        unit="cores",
        low=0.01,
        high=1024,
        purpose="Number of CPU cores of this host; may be a fraction.",
    ),
    option_schemas.Option(
        key="link_mbps",
        type="number",
        default=1000.0,
        unit="Mbit/s",
        low=0.1,
        high=1_000_000,
        purpose="Bandwidth of this host's network link.",
    ),
    option_schemas.Option(
        key="memory_mb",
        type="integer",
        default=200,
        unit="MB",
        low=64,
        high=1_000_000,
        purpose="Memory that the process may use.",
    ),
    option_schemas.Option(
        key="retry_ratio",
        type="number",
        default=0.1,
        unit="attempts per request",
        low=0,
        high=1,
        purpose="Retry budget: extra attempts per request, over all hosts.",
    ),
    option_schemas.Option(
        key="retry_slack",
        type="number",
        default=10.0,
        unit="attempts",
        low=0,
        high=100_000,
        purpose="Extra attempts per window beyond the ratio, over all hosts.",
    ),
    option_schemas.Option(
        key="retry_window_s",
        type="number",
        default=10.0,
        unit="seconds",
        low=1,
        high=600,
        purpose="Length of the retry budget's sliding window.",
    ),
    option_schemas.Option(
        key="directory_lifetime_s",
        type="number",
        default=settings.DIRECTORY_LIFETIME_S,
        unit="seconds",
        low=0.1,
        high=60,
        purpose="How long callers may cache the directory of hosts.",
    ),
    option_schemas.Option(
        key="grace_s",
        type="number",
        default=6.0,
        unit="seconds",
        low=1,
        high=600,
        purpose="Time from SIGTERM until the process is killed.",
    ),
    option_schemas.Option(
        key="log_level",
        type="choice",
        default="INFO",
        choices=daemon_settings.LOG_LEVELS,
        purpose="Lowest level of logs written.",
    ),
)

_ADDRESSES = (
    "caller_address",
    "pages_address",
    "peer_address",
    "carrier_address",
    "metrics_address",
)
_BYTES_PER_MB = 1_000_000
_RETRY_KEYS = {
    "ratio": "retry_ratio",
    "slack": "retry_slack",
    "window_s": "retry_window_s",
}


class StandaloneSettings(settings.Settings):
    """Settings of an entry host, with those that only its adapters need.

    Attributes:
      declaration_file: Path of the file with routes, services and targets.
      pages_address: IP address and port on which this host serves the
        directory of hosts and its readiness.
    """

    __slots__ = ("declaration_file", "pages_address")

    def __init__(
        self,
        *,
        declaration_file: str,
        pages_address: tuple[str, int],
        **others: typing.Any,
    ):
        super().__init__(adapters=ADAPTER_NAMES, **others)
        self.declaration_file = declaration_file
        self.pages_address = pages_address


def load_settings(
    path: str | pathlib.Path,
) -> expression.Result[StandaloneSettings, tuple[option_schemas.Problem, ...]]:
    """Reads and validates a settings file.

    Args:
      path: Path of a TOML file with the keys of OPTIONS.

    Returns:
      The settings, or all problems found in the file.
    """
    file = str(path)
    return (
        manifests.read_file(path, "a readable settings file")
        .bind(lambda body: manifests.parse_toml(body, file))
        .bind(
            lambda values: option_schemas.check_options(
                OPTIONS, values, file=file
            )
        )
        .bind(lambda values: _build_settings(values, file))
    )


def parse_address(text: str) -> tuple[str, int]:
    """Splits a validated address into IP address and port."""
    ip, _, port = text.rpartition(":")
    return ip.strip("[]"), int(port)


def _build_settings(
    values: dict[str, typing.Any], file: str
) -> expression.Result[StandaloneSettings, tuple[option_schemas.Problem, ...]]:
    problems = []
    if values["data_centre"] not in values["regions"]:
        problems.append(
            option_schemas.Problem(
                file=file,
                key="data_centre",
                value=values["data_centre"],
                allowed="one of " + ", ".join(sorted(values["regions"])),
            )
        )
    problems += option_schemas.check_distinct(values, _ADDRESSES, file=file)
    if problems:
        return expression.Error(tuple(problems))
    limits = {name: values.pop(key) for name, key in _RETRY_KEYS.items()}
    for key in _ADDRESSES:
        if values[key] is not None:
            values[key] = parse_address(values[key])
    values["memory_bytes"] = values.pop("memory_mb") * _BYTES_PER_MB
    values["seeds"] = tuple(parse_address(seed) for seed in values["seeds"])
    return expression.Ok(
        StandaloneSettings(
            retry_limits=settings.RetryBudgetLimits(**limits), **values
        )
    )
