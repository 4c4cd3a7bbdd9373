"""Computes how much of the requested key ranges an answer covers."""

import collections.abc

from bramleyfork.core import ranges
from bramleyfork.core import records

ServiceRange = tuple[str, ranges.KeyRange]


class OverlapError(ValueError):
    """Two parts of an answer overlap, so records would be counted twice."""


class Coverage(records.Record):
    """The fraction of the requested keys that was read.

    Attributes:
      fraction: Number of keys read divided by keys requested, 0 to 1.
      missing: Service and key range of each part that was not read.
    """

    __slots__ = ("fraction", "missing")

    def __init__(self, *, fraction: float, missing: tuple[ServiceRange, ...]):
        self.fraction = fraction
        self.missing = missing


def measure_coverage(
    requested_ranges: collections.abc.Mapping[str, ranges.KeyRange],
    read: collections.abc.Iterable[ServiceRange],
) -> Coverage:
    """Returns the coverage of the ranges that were read.

    Args:
      requested_ranges: Requested key range of each service.
      read: Service and key range of each part in the answer.

    Raises:
      OverlapError: Two parts of one service overlap.
    """
    by_service: dict[str, list[ranges.KeyRange]] = {
        s: [] for s in requested_ranges
    }
    for service, key_range in read:
        by_service[service].append(key_range)
    missing: list[ServiceRange] = []
    for service, parts in sorted(by_service.items()):
        _check_disjoint(service, parts)
        gaps = ranges.find_gaps(parts, requested_ranges[service])
        missing.extend((service, gap) for gap in gaps)
    total = sum(key_range.length for key_range in requested_ranges.values())
    lost = sum(gap.length for _, gap in missing)
    fraction = 1.0 - lost / total if total else 0.0
    return Coverage(fraction=fraction, missing=tuple(missing))


def _check_disjoint(service: str, parts: list[ranges.KeyRange]) -> None:
    ordered = sorted(parts)
    for first, second in zip(ordered, ordered[1:], strict=False):
        if first.overlaps(second):
            raise OverlapError(
                f"parts {first!r} and {second!r} of service {service!r} overlap"
            )
