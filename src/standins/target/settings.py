"""Settings of the target stand-in."""

import typing

from standins import records

Holding = tuple[int, int, int, int]  # Index version, map version, low, high.


class SettingsError(ValueError):
    """The settings have an invalid value."""


class TargetSettings(records.Record):
    """Settings of one target.

    Attributes:
      name: Unique name.
      service: Service it serves.
      address: address:port; port 0 takes a free one.
      slots: Number of requests that run concurrently.
      queue: Number of requests that may be queued.
      connections: Number of connections that may be open.
      connect_ms: Delay of the first request after a connection is accepted.
      service_ms: Mean service time of a request.
      jitter: Largest deviation from ``service_ms``, as a fraction of it; the
        service times are uniformly distributed.
      seed: Seed of the jitter and of faults with a probability.
      cold_in_flight: Number of concurrent requests that it can handle while
        cold.
      cold_rate: Number of requests per second that it can handle while cold.
      cold_period_s: Time from the end of the first run until it is warm.
      cold_service_factor: Multiplies ``service_ms`` while cold.
      start_cold: Whether the first start is cold; a restart always is.
      fall_over: Whether exceeding a cold limit crashes the target.
      restart_after_s: Time from a crash to the restart; None for no restart.
      holdings: Key ranges that it can serve, per snapshot.
      record_stride: Records exist at the keys that are multiples of this.
      retry_after_ms: Value of Retry-After-Ms in replies that shed a request.
      latency: One-way latency in milliseconds, by prefix of the source address.
      journal_limit: Number of attempts kept in the journal; the oldest are
        dropped.
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


# Smallest valid values. A setting with an integer here must be an integer.
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
    """Validates holdings and returns them as tuples.

    Raises:
      SettingsError: The value is not a list, or a row is not [index_version,
        map_version, low, high] with a valid key range.
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
                f"holding {row!r} must satisfy 0 <= low < high <= 65536"
            )
    return tuple(tuple(row) for row in value)


def parse_address(text: str) -> tuple[str, int]:
    """Splits "address:port" into address and port.

    Raises:
      SettingsError: The text does not have this form.
    """
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
        raise SettingsError(
            f"targets must have unique names and not be empty, not {names!r}"
        )
    return targets
