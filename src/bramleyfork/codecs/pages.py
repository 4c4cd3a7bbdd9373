"""Records as JSON values for operators."""

import collections.abc
import enum
import math
import typing

from bramleyfork.core import records


def describe(value: typing.Any) -> typing.Any:
    """Returns a value made of JSON types.

    Records become objects, bytes their length, infinities null. Anything
    unknown becomes its type's name, so that working state is not spelt out.
    """
    if value is None or isinstance(value, (str, bool, int)):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else None
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, records.Record):
        return {
            name: describe(getattr(value, name)) for name in value.__slots__
        }
    if isinstance(value, collections.abc.Mapping):
        return {str(key): describe(each) for key, each in value.items()}
    if isinstance(value, bytes):
        return len(value)
    if isinstance(value, collections.abc.Set):
        return sorted(describe(each) for each in value)
    if isinstance(value, collections.abc.Sequence):
        return [describe(each) for each in value]
    return type(value).__name__
