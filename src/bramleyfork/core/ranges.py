"""Half-open ranges of integer keys within one service."""

import collections.abc

from bramleyfork.core import records

KEY_SPACE = 65536  # Keys of a service are the integers in [0, KEY_SPACE).


class KeyRange(records.Record):
    """The keys ``low <= key < high`` of one service.

    Raises:
      ValueError: The range is empty or exceeds the key space.
    """

    __slots__ = ("low", "high")

    def __init__(self, *, low: int, high: int):
        if not 0 <= low < high <= KEY_SPACE:
            raise ValueError(
                f"key range [{low!r}, {high!r}) must satisfy"
                f" 0 <= low < high <= {KEY_SPACE}"
            )
        self.low = low
        self.high = high

    def __lt__(self, other: "KeyRange") -> bool:
        return (self.low, self.high) < (other.low, other.high)

    @property
    def length(self) -> int:
        """Number of keys in the range."""
        return self.high - self.low

    def contains(self, other: "KeyRange") -> bool:
        """Returns whether this range includes every key of ``other``."""
        return self.low <= other.low and other.high <= self.high

    def contains_key(self, key: int) -> bool:
        """Returns whether this range includes ``key``."""
        return self.low <= key < self.high

    def overlaps(self, other: "KeyRange") -> bool:
        """Returns whether the two ranges have a key in common."""
        return self.low < other.high and other.low < self.high


FULL_RANGE = KeyRange(low=0, high=KEY_SPACE)


def merge_ranges(
    parts: collections.abc.Iterable[KeyRange],
) -> list[KeyRange]:
    """Returns the union of ranges as sorted, disjoint, non-adjacent ranges."""
    merged: list[KeyRange] = []
    for part in sorted(parts):
        if merged and part.low <= merged[-1].high:
            high = max(merged[-1].high, part.high)
            merged[-1] = KeyRange(low=merged[-1].low, high=high)
            continue
        merged.append(part)
    return merged


def find_gaps(
    parts: collections.abc.Iterable[KeyRange], whole: KeyRange = FULL_RANGE
) -> list[KeyRange]:
    """Returns the ranges of ``whole`` that no part covers, sorted."""
    gaps: list[KeyRange] = []
    position = whole.low
    for part in merge_ranges(parts):
        if part.low > position:
            gaps.append(KeyRange(low=position, high=min(part.low, whole.high)))
        position = max(position, part.high)
        if position >= whole.high:
            return gaps
    gaps.append(KeyRange(low=position, high=whole.high))
    return gaps
