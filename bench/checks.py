"""Checks of answers against what the target stand-ins hold."""

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
    """Returns what is wrong in an answer; a refusal has nothing wrong.

    Args:
      answer: The answer's JSON document.
      lookup: The lookup that was asked.
      key: The key of a keyed lookup.
      stride: Distance of the stand-ins' records.
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
                f"{service}: {len(got[service])} records in place of"
                f" {len(expected)}"
            )
    lost = sum(b - a for parts in missing.values() for a, b in parts)
    share = 1 - lost / ((high - low) * len(lookup.services))
    if abs(share - answer["coverage"]) > 1e-6:
        errors.append(f"coverage {answer['coverage']} in place of {share}")
    return errors


def _list_expected(
    service: str,
    snapshot: list[int],
    asked: tuple[int, int],
    missing: dict[str, list[tuple[int, int]]],
    stride: int,
) -> list[list[typing.Any]]:
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
