"""Differences between two readings of the platform's list of targets."""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.core import messages

# Rows of one message; with ten holdings each they stay below 1 MiB.
_ROWS_PER_UPDATE = 2000


def find_changed(
    present: collections.abc.Mapping[str, fleet.ListedTarget],
    rows: collections.abc.Iterable[fleet.ListedTarget],
) -> list[fleet.ListedTarget]:
    """Returns the rows that are new or differ from the present ones."""
    return [row for row in rows if present.get(row.target) != row]


def find_vanished(
    present: collections.abc.Mapping[str, fleet.ListedTarget],
    rows: collections.abc.Iterable[fleet.ListedTarget],
) -> list[str]:
    """Returns the targets that a whole list no longer names."""
    named = {row.target for row in rows}
    return [target for target in present if target not in named]


def build_updates(
    rows: collections.abc.Sequence[fleet.ListedTarget],
    receivers: collections.abc.Iterable[str],
) -> list[messages.ListingUpdate]:
    """Returns messages that pass the rows to each of the receivers."""
    return [
        messages.ListingUpdate(
            to=receiver,
            rows=tuple(
                (row.target, row.state, row.holdings)
                for row in rows[start : start + _ROWS_PER_UPDATE]
            ),
        )
        for receiver in receivers
        for start in range(0, len(rows), _ROWS_PER_UPDATE)
    ]
