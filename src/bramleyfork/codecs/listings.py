"""Decoding of the platform's JSON list of targets."""

import json
import typing

import expression

from bramleyfork.codecs import holdings as holdings_codec
from bramleyfork.core import fleet

_STATES = ("live", "leaving")


def decode_listing(
    body: bytes,
) -> expression.Result[tuple[fleet.ListedTarget, ...], str]:
    """Decodes the platform's list of targets.

    One malformed row rejects the whole list.

    Returns:
      The rows, or a description of the first error.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return expression.Error(f"the list is not valid JSON: {error}")
    rows = document.get("targets") if isinstance(document, dict) else None
    if not isinstance(rows, list):
        return expression.Error('the list has no array "targets"')
    try:
        return expression.Ok(tuple(_decode_row(row) for row in rows))
    except (ValueError, TypeError, KeyError) as error:
        return expression.Error(
            f"a row of the list is malformed: {type(error).__name__}: {error}"
        )


def _decode_row(row: typing.Any) -> fleet.ListedTarget:
    name, state = row["name"], row["state"]
    if not isinstance(name, str):
        raise ValueError(f"name {name!r} is not a string")
    if state not in _STATES:
        raise ValueError(f"state {state!r} of {name!r} is not one of {_STATES}")
    holdings = tuple(
        holdings_codec.decode_holding(holding) for holding in row["holdings"]
    )
    return fleet.ListedTarget(target=name, state=state, holdings=holdings)
