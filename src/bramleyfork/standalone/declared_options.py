"""Tables of the keys of a declaration file, with their types and limits.

The validators of types that only declarations use are registered here.
"""

import re
import typing

import expression

from bramleyfork.configuration import option_schemas

_HOST_NAME = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?")
_PATH = re.compile(r"/[!-~]{0,1023}")
_STATES = ("ready", "draining")


@option_schemas.VALIDATORS.register("host_name")
def check_host_name(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a lower-case host name without a port."""
    del option
    if isinstance(value, str) and _HOST_NAME.fullmatch(value):
        return expression.Ok(value)
    return expression.Error(
        "a host name in lower case without port, such as 'search.example'"
    )


@option_schemas.VALIDATORS.register("url_path")
def check_url_path(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts the path of a URL, which begins with a slash."""
    del option
    if isinstance(value, str) and _PATH.fullmatch(value):
        return expression.Ok(value)
    return expression.Error("a path that begins with /, such as '/health'")


@option_schemas.VALIDATORS.register("url_prefix")
def check_url_prefix(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a prefix of URL paths, which begins and ends with a slash."""
    if check_url_path(option, value).is_ok() and value.endswith("/"):
        return expression.Ok(value)
    return expression.Error("a path that begins and ends with /")


@option_schemas.VALIDATORS.register("weights")
def check_weights(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list of weights; at least one of them is positive.

    The empty list is accepted; it stands for equal weights.
    """
    del option
    is_list = isinstance(value, list) and all(
        isinstance(weight, int | float)
        and not isinstance(weight, bool)
        and 0 <= weight < 1e9
        for weight in value
    )
    if is_list and (not value or any(value)):
        return expression.Ok(tuple(float(weight) for weight in value))
    return expression.Error(
        "a list of numbers of at least 0, one of them above 0"
    )


SERVICE_OPTIONS = (
    option_schemas.Option(key="name", type="name", purpose="Unique name."),
    option_schemas.Option(
        key="health_path",
        type="url_path",
        default="/health",
        purpose="Path of the targets' health check.",
    ),
    option_schemas.Option(
        key="connection_limit",
        type="integer",
        unit="connections",
        low=1,
        high=1_000_000,
        purpose="Connections that one target accepts from all hosts.",
    ),
    option_schemas.Option(
        key="warmup_s",
        type="number",
        default=0.0,
        unit="seconds",
        low=0,
        high=3600,
        purpose="Time for which a target is cold after its start.",
    ),
)

ROUTE_OPTIONS = (
    option_schemas.Option(key="name", type="name", purpose="Unique name."),
    option_schemas.Option(
        key="host", type="host_name", purpose="Host name of the requests."
    ),
    option_schemas.Option(
        key="prefix", type="url_prefix", purpose="Path prefix of the requests."
    ),
    option_schemas.Option(
        key="idempotent",
        type="flag",
        purpose="Whether a request may run more than once.",
    ),
    option_schemas.Option(
        key="timeout_s",
        type="number",
        unit="seconds",
        low=0.001,
        high=3600,
        purpose="Longest time that a caller is kept waiting.",
    ),
    option_schemas.Option(
        key="aim_s",
        type="number",
        unit="seconds",
        low=0.001,
        high=3600,
        purpose="Latency target of a request; hedging delays derive from it.",
    ),
    option_schemas.Option(
        key="priority",
        type="integer",
        default=0,
        low=0,
        high=100,
        purpose="Priority of the route; 0 is the most urgent.",
    ),
    option_schemas.Option(
        key="attempts",
        type="integer",
        default=2,
        low=1,
        high=100,
        purpose="Maximum targets that a request may be sent to, per shard.",
    ),
    option_schemas.Option(
        key="services",
        type="names",
        default=(),
        purpose="Services that requests are divided among.",
    ),
    option_schemas.Option(
        key="weights",
        type="weights",
        default=(),
        purpose="Weights of the services; equal if left out.",
    ),
    option_schemas.Option(
        key="shards",
        type="names",
        default=(),
        purpose="In place of services: services that all get each request.",
    ),
    option_schemas.Option(
        key="record_limit",
        type="integer",
        default=0,
        unit="records",
        low=0,
        high=1_000_000,
        purpose="Maximum records in a merged answer; the greatest are kept.",
    ),
    option_schemas.Option(
        key="least_share",
        type="number",
        default=1.0,
        low=0,
        high=1,
        purpose="Minimum fraction of the shards that an answer needs.",
    ),
    option_schemas.Option(
        key="regions",
        type="names",
        default=(),
        purpose="Regions that may serve the route; empty for all.",
    ),
)

TARGET_OPTIONS = (
    option_schemas.Option(key="name", type="name", purpose="Unique id."),
    option_schemas.Option(
        key="service", type="name", purpose="Name of its service."
    ),
    option_schemas.Option(
        key="address",
        type="address",
        purpose="IP address and port on which it listens.",
    ),
    option_schemas.Option(
        key="data_centre", type="name", purpose="Name of its data centre."
    ),
    option_schemas.Option(
        key="slots",
        type="integer",
        default=1,
        unit="requests",
        low=1,
        high=100_000,
        purpose="Requests that it runs at the same time.",
    ),
    option_schemas.Option(
        key="state",
        type="choice",
        default="ready",
        choices=_STATES,
        purpose="Whether it accepts new requests or is draining.",
    ),
    option_schemas.Option(
        key="born_ms",
        type="integer",
        default=0,
        unit="milliseconds since 1970",
        low=0,
        high=2**53,
        purpose="Start time of its process, 0 if unknown; changes on restart.",
    ),
)

LIMIT_OPTIONS = (
    option_schemas.Option(
        key="header_bytes",
        type="integer",
        default=16_384,
        unit="bytes",
        low=256,
        high=1_048_576,
        purpose="Maximum size of a request's head.",
    ),
    option_schemas.Option(
        key="body_bytes",
        type="integer",
        default=1_048_576,
        unit="bytes",
        low=0,
        high=1_073_741_824,
        purpose="Maximum size of a request's body.",
    ),
    option_schemas.Option(
        key="header_s",
        type="number",
        default=5.0,
        unit="seconds",
        low=0.01,
        high=3600,
        purpose="Maximum time for a request's head to arrive.",
    ),
    option_schemas.Option(
        key="idle_s",
        type="number",
        default=60.0,
        unit="seconds",
        low=0.1,
        high=86_400,
        purpose="Longest time that a connection may be idle.",
    ),
)

TABLE_OPTIONS = {
    "services": SERVICE_OPTIONS,
    "routes": ROUTE_OPTIONS,
    "targets": TARGET_OPTIONS,
}
TOP_OPTIONS = (
    option_schemas.Option(
        key="revision",
        type="integer",
        low=1,
        high=2**53,
        purpose="Must rise with each change; older revisions are ignored.",
    ),
    option_schemas.Option(
        key="evacuated",
        type="names",
        default=(),
        purpose="Data centres whose targets get no requests.",
    ),
)
