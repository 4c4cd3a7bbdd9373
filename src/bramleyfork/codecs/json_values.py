"""Conversion of records to JSON values for the administration pages."""

import collections.abc
import enum
import math
import typing

from bramleyfork.core import records


def to_json_value(value: typing.Any) -> typing.Any:
    """Converts a value to JSON types.

    Records become objects, bytes their length, and infinities and NaN null.
    An object of any other type becomes the name of its type, so that internal
    state does not appear on a page.
    """
    if value is None or isinstance(value, (str, bool, int)):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else None
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, records.Record):
        return {
            name: to_json_value(getattr(value, name))
            for name in value.__slots__
        }
    if isinstance(value, collections.abc.Mapping):
        return {str(key): to_json_value(each) for key, each in value.items()}
    if isinstance(value, bytes):
        return len(value)
    if isinstance(value, collections.abc.Set):
        return sorted(to_json_value(each) for each in value)
    if isinstance(value, collections.abc.Sequence):
        return [to_json_value(each) for each in value]
    return type(value).__name__
