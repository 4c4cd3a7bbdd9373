"""Records as JSON values for operators."""

import collections.abc
import enum
import math
import typing

from bramleyfork.core import records


def to_json_value(value: typing.Any) -> typing.Any:
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
