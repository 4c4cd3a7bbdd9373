"""Decoding of holdings in targets' replies and in the platform's list."""

import typing

from bramleyfork.core import ranges
from bramleyfork.core import requests


def decode_holding(row: typing.Any) -> requests.Holding:
    """Returns the holding of ``[index_version, map_version, low, high]``.

    Raises:
      ValueError: ``row`` is not an array of four integers, or a value is out
        of range.
    """
    if not isinstance(row, list) or any(type(f) is not int for f in row):
        raise ValueError(f"holding {row!r} is not an array of integers")
    index_version, map_version, low, high = row
    return requests.Holding(
        snapshot=requests.Snapshot(
            index_version=index_version, map_version=map_version
        ),
        key_range=ranges.KeyRange(low=low, high=high),
    )
