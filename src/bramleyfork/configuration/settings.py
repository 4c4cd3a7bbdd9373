"""Settings of a daemon, read from a TOML file once at its start."""

import pathlib
import secrets
import time

import expression

from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.core import records

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

OPTIONS = (
    option_schemas.Option(
        key="deployment",
        type="name",
        purpose="Name of the deployment; hosts of other ones are rejected.",
    ),
    option_schemas.Option(
        key="host", type="name", purpose="Name of this host, as declared."
    ),
    option_schemas.Option(
        key="data_centre",
        type="name",
        purpose="Data centre of this host, as declared.",
    ),
    option_schemas.Option(
        key="peer_address",
        type="address",
        purpose="Listen address for other hosts; its IP is also the source IP.",
    ),
    option_schemas.Option(
        key="caller_address",
        type="address",
        purpose="Address to listen on for callers.",
    ),
    option_schemas.Option(
        key="administration_address",
        type="address",
        purpose="Address to listen on for operators.",
    ),
    option_schemas.Option(
        key="platform_address",
        type="address",
        purpose="Address of the platform's configuration service.",
    ),
    option_schemas.Option(
        key="seeds",
        type="addresses",
        default=(),
        purpose="Peer addresses to contact at start; may include this host.",
    ),
    option_schemas.Option(
        key="caller_threads",
        type="integer",
        default=64,
        unit="queries",
        low=1,
        high=1024,
        purpose="Maximum number of queries served concurrently.",
    ),
    option_schemas.Option(
        key="target_threads",
        type="integer",
        default=64,
        unit="attempts",
        low=1,
        high=1024,
        purpose="Maximum number of attempts in flight.",
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
        key="log_level",
        type="choice",
        default="INFO",
        choices=LOG_LEVELS,
        purpose="Lowest level of logs written.",
    ),
    option_schemas.Option(
        key="cut_file",
        type="path",
        default=None,
        purpose="For tests: file that lists hosts whose traffic is blocked.",
    ),
)


_TICKET_KEY_BYTES = 16
_BYTES_PER_MB = 1_000_000


class _ProcessSecret(records.Record):
    """Holds the ticket key, which is generated and not read from the file.

    ``Record`` leaves the slots of a base class out of equality and ``repr``,
    so that the key does not get into logs.
    """

    __slots__ = ("ticket_key",)


class Settings(_ProcessSecret):
    """Checked settings of a daemon.

    ``ticket_key`` signs the tickets of this process. Each instance generates
    a random one, so a copy has another key.

    Attributes:
      deployment: Name of the deployment; hosts of other ones are rejected.
      host: Name of this host, as declared.
      data_centre: Data centre of this host, as declared.
      incarnation: Start time of this process, milliseconds since 1970.
      peer_address: address:port to listen on for other hosts.
      caller_address: address:port to listen on for callers.
      administration_address: address:port to listen on for operators.
      platform_address: address:port of the platform.
      seeds: Peer addresses to contact at start; may include this host.
      caller_threads: Maximum number of queries served concurrently.
      target_threads: Maximum number of attempts in flight.
      memory_mb: Memory that the process may use, MB.
      log_level: Lowest level of logs written.
      cut_file: For tests: file that lists hosts whose traffic is blocked.
    """

    __slots__ = (
        "deployment",
        "host",
        "data_centre",
        "incarnation",
        "peer_address",
        "caller_address",
        "administration_address",
        "platform_address",
        "seeds",
        "caller_threads",
        "target_threads",
        "memory_mb",
        "log_level",
        "cut_file",
    )

    def __init__(
        self,
        *,
        deployment: str,
        host: str,
        data_centre: str,
        incarnation: int,
        peer_address: str,
        caller_address: str,
        administration_address: str,
        platform_address: str,
        seeds: tuple[str, ...] = (),
        caller_threads: int = 64,
        target_threads: int = 64,
        memory_mb: int = 200,
        log_level: str = "INFO",
        cut_file: str | None = None,
    ):
        self.deployment = deployment
        self.host = host
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.administration_address = administration_address
        self.platform_address = platform_address
        self.seeds = seeds
        self.caller_threads = caller_threads
        self.target_threads = target_threads
        self.memory_mb = memory_mb
        self.log_level = log_level
        self.cut_file = cut_file
        self.ticket_key = secrets.token_bytes(_TICKET_KEY_BYTES)

    @property
    def memory_bytes(self) -> int:
        """Memory that the process may use, bytes."""
        return self.memory_mb * _BYTES_PER_MB


def load_settings(
    path: str | pathlib.Path,
) -> expression.Result[Settings, tuple[option_schemas.Problem, ...]]:
    """Reads and checks a settings file; returns settings or problems.

    The incarnation is set to the current time.

    Args:
      path: A TOML file with the keys of OPTIONS.
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


def _build_settings(
    values: dict, file: str
) -> expression.Result[Settings, tuple[option_schemas.Problem, ...]]:
    addresses = ("peer_address", "caller_address", "administration_address")
    problems = option_schemas.check_distinct(values, addresses, file=file)
    if problems:
        return expression.Error(tuple(problems))
    incarnation = time.time_ns() // 1_000_000
    return expression.Ok(Settings(incarnation=incarnation, **values))
