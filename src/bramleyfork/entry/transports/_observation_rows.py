"""Encodes observations as rows of a datagram, with ages in place of times."""

import math
import typing

from bramleyfork.entry import observations

# Fields that are sent as they are, with their types.
_FIELDS = (
    ("kind", str),
    ("subject", str),
    ("host", str),
    ("incarnation", int),
    ("number", int),
    ("occasion", str),
    ("born_ms", int),
    ("services", tuple),
    ("value", float),
)
# Limits of received values, so that a malformed datagram takes no memory.
_MAX_ROWS = 64
_MAX_TEXT_CHARS = 256
_MAX_SERVICES = 64
_MAX_VALUE = 1e12
_MAX_SECONDS = 86_400.0


class DatagramError(ValueError):
    """Raised for a datagram that is not a valid message."""


def encode_rows(
    batch: tuple[observations.Observation, ...], now: float
) -> list[list[typing.Any]]:
    """Returns one row per observation.

    Args:
      batch: The observations.
      now: Monotonic time in seconds, from which their ages are computed.
    """
    return [
        [
            *(getattr(observation, name) for name, _ in _FIELDS),
            max(0.0, now - observation.observed_at),
            max(0.0, observation.ends_at - now),
        ]
        for observation in batch
    ]


def decode_rows(rows: object) -> list[observations.ReceivedObservation]:
    """Returns the observations of the rows of a datagram.

    Raises:
      DatagramError: There are too many rows, or one has a wrong type or value.
    """
    if not isinstance(rows, tuple) or len(rows) > _MAX_ROWS:
        raise DatagramError(f"message must have at most {_MAX_ROWS} rows")
    return [_decode_row(row) for row in rows]


def _decode_row(row: object) -> observations.ReceivedObservation:
    size = len(_FIELDS) + 2
    if not isinstance(row, tuple) or len(row) != size:
        raise DatagramError(f"observation must have {size} fields, got {row!r}")
    for (name, kind), value in zip(_FIELDS, row, strict=False):
        if not isinstance(value, kind) or isinstance(value, bool):
            raise DatagramError(
                f"field {name} is {value!r}, not {kind.__name__}"
            )
        if kind is str:
            _check_text(name, value)
    fields = {
        name: value for (name, _), value in zip(_FIELDS, row, strict=False)
    }
    if len(fields["services"]) > _MAX_SERVICES:
        raise DatagramError(
            f"observation names more than {_MAX_SERVICES} services"
        )
    for service in fields["services"]:
        _check_text("services", service)
    _check_number("value", fields["value"], _MAX_VALUE)
    age_s, remaining_s = row[-2:]
    _check_number("age", age_s, _MAX_SECONDS)
    _check_number("remaining time", remaining_s, _MAX_SECONDS)
    return observations.ReceivedObservation(
        observation=observations.Observation(
            **fields, observed_at=0.0, ends_at=0.0
        ),
        age_s=age_s,
        remaining_s=remaining_s,
    )


def _check_text(name: str, value: object) -> None:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARS:
        raise DatagramError(
            f"field {name} is not text of at most {_MAX_TEXT_CHARS} characters"
        )


def _check_number(name: str, value: object, limit: float) -> None:
    if not isinstance(value, float) or not math.isfinite(value):
        raise DatagramError(f"{name} is {value!r}, not a finite number")
    if not 0.0 <= value <= limit:
        raise DatagramError(f"{name} is {value!r}, not from 0 to {limit}")
