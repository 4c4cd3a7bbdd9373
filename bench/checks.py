"""Checks answers against the records that the target stand-ins hold."""

import typing

from bramleyfork.core import declarations
from standins import target_records

RECORD_STRIDE = 1024  # Default of the target stand-in.


def find_answer_errors(
    answer: dict[str, typing.Any],
    lookup: declarations.Lookup,
    key: int | None = None,
    stride: int = RECORD_STRIDE,
) -> list[str]:
    """Returns the errors in an answer's records, missing ranges and coverage.

    A refusal has no errors.

    Args:
      answer: The answer's JSON document.
      lookup: Declaration of the queried lookup.
      key: Requested key; None for the whole key space.
      stride: Distance between the keys of two records of the stand-ins.
    """
    if answer["verdict"] != "RAN" or answer["snapshot"] is None:
        return []
    low, high = (0, 65536) if key is None else (key, key + 1)
    missing: dict[str, list[tuple[int, int]]] = {}
    for service, first, last in answer["missing"]:
        missing.setdefault(service, []).append((first, last))
    got: dict[str, list] = {service: [] for service in lookup.services}
    for service, record_key, value in answer["records"]:
        got[service].append([record_key, value])
    errors = []
    for service in lookup.services:
        expected = _list_expected(
            service, answer["snapshot"], (low, high), missing, stride
        )
        if sorted(got[service], key=lambda row: row[0]) != expected:
            errors.append(
                f"{service}: {len(got[service])} records, expected"
                f" {len(expected)}"
            )
    lost = sum(b - a for parts in missing.values() for a, b in parts)
    share = 1 - lost / ((high - low) * len(lookup.services))
    if abs(share - answer["coverage"]) > 1e-6:
        errors.append(f"coverage {answer['coverage']}, expected {share}")
    return errors


def _list_expected(
    service: str,
    snapshot: list[int],
    asked: tuple[int, int],
    missing: dict[str, list[tuple[int, int]]],
    stride: int,
) -> list[list[typing.Any]]:
    """Returns the records of a service outside its missing ranges."""
    records = target_records.list_records(
        service=service,
        index_version=snapshot[0],
        map_version=snapshot[1],
        low=asked[0],
        high=asked[1],
        stride=stride,
    )
    return [
        [key, value]
        for key, value in records
        if not any(a <= key < b for a, b in missing.get(service, []))
    ]
