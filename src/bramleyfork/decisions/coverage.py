"""Coverage of an answer, computed from the segments really read."""

import collections.abc

from bramleyfork.core import ranges
from bramleyfork.core import records

ServiceRange = tuple[str, ranges.KeyRange]


class OverlapError(ValueError):
    """Two parts of one answer share keys; their records would count twice."""


class Coverage(records.Record):
    """How much of what was asked has been read.

    Attributes:
      fraction: Covered keys per asked key, 0 to 1.
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
    """Returns the coverage of the ranges read.

    Args:
      requested_ranges: The asked range of each service.
      read: Service and key range of each part in the answer.

    Raises:
      OverlapError: Two parts of a service share keys.
    """
    by_service: dict[str, list[ranges.KeyRange]] = {
        s: [] for s in requested_ranges
    }
    for service, key_range in read:
        by_service[service].append(key_range)
    missing: list[ServiceRange] = []
    for service, parts in sorted(by_service.items()):
        _refuse_overlap(service, parts)
        gaps = ranges.find_gaps(parts, requested_ranges[service])
        missing.extend((service, gap) for gap in gaps)
    total = sum(key_range.length for key_range in requested_ranges.values())
    lost = sum(gap.length for _, gap in missing)
    fraction = 1.0 - lost / total if total else 0.0
    return Coverage(fraction=fraction, missing=tuple(missing))


def _refuse_overlap(service: str, parts: list[ranges.KeyRange]) -> None:
    ordered = sorted(parts)
    for first, second in zip(ordered, ordered[1:], strict=False):
        if first.overlaps(second):
            raise OverlapError(
                f"parts {first!r} and {second!r} of service {service!r} overlap"
            )
