"""Settings of the target stand-in."""

import typing

from standins import records

Holding = tuple[int, int, int, int]  # Index version, map version, low, high.


class SettingsError(ValueError):
    """A settings file is invalid."""


class TargetSettings(records.Record):
    """Settings of one target.

    Attributes:
      name: Unique name.
      service: Service it serves.
      address: address:port; port 0 takes a free one.
      slots: Requests run at once.
      queue: Requests that may wait.
      connections: Limit of open connections.
      connect_ms: Time from accepting a connection to its first request.
      service_ms: Mean time of a run.
      jitter: Half width of the uniform spread of ``service_ms``, as a part.
      seed: Seed of the jitter and of faults with a probability.
      cold_in_flight: Requests borne at once while cold.
      cold_rate: Requests a second borne while cold.
      cold_period_s: From the end of the first run to warm.
      cold_service_factor: Multiplies ``service_ms`` while cold.
      start_cold: Whether the first start is cold; a restart always is.
      fall_over: Whether a violation of the cold limits crashes the target.
      restart_after_s: From a crash to listening again; None for never.
      holdings: Ranges held per snapshot.
      record_stride: A record exists at each multiple of this key.
      retry_after_ms: Sent with each shed reply.
      latency: One-way milliseconds by prefix of the source address.
      journal_limit: Attempts kept in the journal; the oldest are dropped.
    """

    __slots__ = (
        "name", "service", "address", "slots", "queue", "connections",
        "connect_ms", "service_ms", "jitter", "seed", "cold_in_flight",
        "cold_rate", "cold_period_s", "cold_service_factor", "start_cold",
        "fall_over", "restart_after_s", "holdings", "record_stride",
        "retry_after_ms", "latency", "journal_limit",
    )  # fmt: skip

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {
        "address": "127.0.0.1:0",
        "slots": 2,
        "queue": 8,
        "connections": 25,
        "connect_ms": 0.0,
        "service_ms": 2.0,
        "jitter": 0.1,
        "seed": 0,
        "cold_in_flight": 2,
        "cold_rate": 20.0,
        "cold_period_s": 1.0,
        "cold_service_factor": 1.0,
        "start_cold": False,
        "fall_over": False,
        "restart_after_s": 0.5,
        "holdings": [[1, 1, 0, 65536]],
        "record_stride": 1024,
        "retry_after_ms": 20,
        "latency": {},
        "journal_limit": 20000,
    }


# Smallest value of each number; those that are whole have a whole limit.
_MINIMUMS = {
    "slots": 1,
    "queue": 0,
    "connections": 0,
    "connect_ms": 0.0,
    "service_ms": 0.0,
    "jitter": 0.0,
    "cold_in_flight": 1,
    "cold_rate": 0.0,
    "cold_period_s": 0.0,
    "cold_service_factor": 0.0,
    "record_stride": 1,
    "retry_after_ms": 0,
    "journal_limit": 0,
}


def _check_numbers(settings: TargetSettings) -> None:
    for name, minimum in _MINIMUMS.items():
        value = getattr(settings, name)
        valid_types = (int,) if type(minimum) is int else (int, float)
        if type(value) not in valid_types or value < minimum:
            raise SettingsError(
                f"target {settings.name!r}: {name} is {value!r}; it must be"
                f" {'a whole number' if valid_types == (int,) else 'a number'}"
                f" of at least {minimum}"
            )


def check_holdings(value: typing.Any) -> tuple[Holding, ...]:
    """Returns checked holdings.

    Raises:
      SettingsError: A row is not [index_version, map_version, low, high].
    """
    if not isinstance(value, list):
        raise SettingsError(f"holdings is {value!r}; it must be a list")
    for row in value:
        is_row = isinstance(row, list) and len(row) == 4
        if not is_row or not all(type(part) is int for part in row):
            raise SettingsError(
                f"holding {row!r} must be [index_version, map_version, low,"
                " high] with integers"
            )
        if not 0 <= row[2] < row[3] <= 65536:
            raise SettingsError(
                f"holding {row!r} needs 0 <= low < high <= 65536"
            )
    return tuple(tuple(row) for row in value)


def parse_address(text: str) -> tuple[str, int]:
    """Returns (address, port) of an "address:port" text."""
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise SettingsError(f"address {text!r} must be address:port")
    return address, int(port)


def read_targets(document: dict[str, typing.Any]) -> list[TargetSettings]:
    """Returns the settings of all targets of a settings document.

    ``defaults`` in the document apply to every target.

    Raises:
      SettingsError: A field is missing, unknown or invalid.
    """
    defaults = document.get("defaults", {})
    targets = []
    for row in document.get("targets", []):
        try:
            settings = TargetSettings(**{**defaults, **row})
        except TypeError as error:
            raise SettingsError(f"target {row!r}: {error}") from None
        parse_address(settings.address)
        _check_numbers(settings)
        holdings = check_holdings(list(settings.holdings))
        targets.append(settings.replace(holdings=holdings))
    names = [settings.name for settings in targets]
    if not names or len(names) != len(set(names)):
        raise SettingsError(f"targets {names!r} must be unique, at least one")
    return targets
