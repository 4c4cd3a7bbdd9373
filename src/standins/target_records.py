"""Computes the records that a target returns for a key range."""

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
    """Returns the [key, value] pairs in the reply to a read of [low, high).

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
    """Returns the single [key, value] pair in the reply to a write."""
    return [[low, build_record_value(service, low, index_version, map_version)]]


# A benchmark repeats few distinct reads. Without a cache, encoding their
# replies would take most of the stand-in's time.
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
    """Returns the records of the reply to a "read" or "write" as JSON text."""
    if kind == "write":
        records = list_write_records(service, low, index_version, map_version)
    else:
        records = list_records(
            service, low, high, index_version, map_version, stride
        )
    return json.dumps(records, separators=(",", ":"))
