"""Compares versions of the platform's list of targets and builds updates."""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.core import messages

# Rows per message; with ten holdings per row a message stays below 1 MiB.
_ROWS_PER_UPDATE = 2000


def find_changed(
    previous: collections.abc.Mapping[str, fleet.ListedTarget],
    rows: collections.abc.Iterable[fleet.ListedTarget],
) -> list[fleet.ListedTarget]:
    """Returns the rows that are new or differ from the previous ones."""
    return [row for row in rows if previous.get(row.target) != row]


def find_vanished(
    previous: collections.abc.Mapping[str, fleet.ListedTarget],
    rows: collections.abc.Iterable[fleet.ListedTarget],
) -> list[str]:
    """Returns the previous targets that a complete list does not contain."""
    named = {row.target for row in rows}
    return [target for target in previous if target not in named]


def build_updates(
    rows: collections.abc.Sequence[fleet.ListedTarget],
    receivers: collections.abc.Iterable[str],
) -> list[messages.ListingUpdate]:
    """Returns the messages that send the rows to each receiver."""
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
