"""Registries of the message formats between hosts, and shared field checks.

``control_formats`` and ``request_formats`` register an encoder and a decoder
per kind of message; ``frames`` looks them up.
"""

import collections.abc
import functools
import itertools
import math
import typing

from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import registries
from bramleyfork.core import requests

CONTROL = "control"
DATA = "data"

NONE_TYPE = type(None)

_COUNT_LIMIT = 2**63  # Exclusive; numbers fit a signed 64-bit integer.
# Entries per cache. Messages repeat the same key ranges, snapshots and
# holdings, and records are immutable, so decoders share equal ones.
_CACHE_SIZE = 4096
# Levels of nesting in a value. check_value recurses once per level, and
# Python's recursion limit is 1000 frames.
_MAX_VALUE_DEPTH = 64
_STRING_TYPES = frozenset((str,))
_SCALAR_TYPES = frozenset((str, int, float, bool, NONE_TYPE))

Encode = collections.abc.Callable[[typing.Any, float], list]
Decode = collections.abc.Callable[[list, float, str], records.Record]


class FrameError(Exception):
    """Bytes are not a valid message, or a message cannot be encoded.

    Attributes:
      reason: "malformed", "unknown_kind", "wrong_type", "too_large",
        "truncated" or "not_encodable".
      detail: Description of the error for log messages.
    """

    def __init__(self, *, reason: str, detail: str):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class InvalidFieldError(ValueError):
    """A field has a value that its message does not allow."""


class Decoder:
    """Decodes the fields of one kind of message.

    Attributes:
      field_types: Allowed combinations of field types, the type of the kind
        included.
      decode: Builds the record from the fields, the current monotonic time in
        seconds and the name of the receiving host.
    """

    __slots__ = ("field_types", "decode")

    def __init__(self, *, field_types: frozenset[tuple], decode: Decode):
        self.field_types = field_types
        self.decode = decode


ENCODERS: registries.Registry[Encode] = registries.Registry(
    kind="message encoder"
)
DECODERS: registries.Registry[Decoder] = registries.Registry(
    kind="message kind"
)
KIND_BY_CLASS: dict[type[records.Record], str] = {}
GROUP_BY_KIND: dict[str, str] = {}  # CONTROL or DATA by kind.


def register_encoder(
    kind: str, record_class: type[records.Record], group: str = CONTROL
) -> collections.abc.Callable[[Encode], Encode]:
    """Returns a decorator that registers the encoder of a kind of message.

    The encoder gets a record and the current monotonic time in seconds, and
    returns the fields of the message.

    Args:
      kind: First field of the message.
      record_class: Class of the records that the encoder accepts.
      group: CONTROL or DATA; the traffic counters are summed by it.
    """
    KIND_BY_CLASS[record_class] = kind
    GROUP_BY_KIND[kind] = group
    return ENCODERS.register(kind)


def register_decoder(
    kind: str, *types: type | tuple[type, ...]
) -> collections.abc.Callable[[Decode], Decode]:
    """Returns a decorator that registers the decoder of a kind of message.

    Args:
      kind: First field of the message.
      *types: Type of each further field, or a tuple of the allowed types.
    """
    choices = [t if isinstance(t, tuple) else (t,) for t in types]
    field_types = frozenset(itertools.product((str,), *choices))

    def add_decoder(decode: Decode) -> Decode:
        DECODERS.register(kind)(Decoder(field_types=field_types, decode=decode))
        return decode

    return add_decoder


def check_count(value: int) -> int:
    """Returns ``value``; raises InvalidFieldError if outside [0, 2**63)."""
    if not 0 <= value < _COUNT_LIMIT:
        raise InvalidFieldError(f"number {value!r} must be in [0, 2**63)")
    return value


def check_non_negative(value: float) -> float:
    """Returns ``value``; raises InvalidFieldError if negative or not finite."""
    if not 0.0 <= value < math.inf:
        raise InvalidFieldError(
            f"number {value!r} must be finite and not negative"
        )
    return value


def check_choice(
    value: str, choices: collections.abc.Container[str], field: str
) -> str:
    """Returns ``value``; raises InvalidFieldError if not in ``choices``."""
    if value not in choices:
        raise InvalidFieldError(f"{field} {value!r} is not one of {choices!r}")
    return value


def check_name(value: str, field: str) -> str:
    """Returns ``value``; raises InvalidFieldError if it is empty."""
    if not value:
        raise InvalidFieldError(f"{field} must not be empty")
    return value


def check_strings(values: list) -> tuple[str, ...]:
    """Returns a list as a tuple.

    Raises:
      InvalidFieldError: An item is not a string.
    """
    if not _are_strings(values):
        raise InvalidFieldError("all items of the list must be strings")
    return tuple(values)


def check_types(value: typing.Any, item_types: tuple[type, ...]) -> list:
    """Returns ``value``, a list with items of the types ``item_types``.

    Raises:
      InvalidFieldError: It is not a list, or its items have other types.
    """
    if type(value) is not list or tuple(map(type, value)) != item_types:
        names = ", ".join(t.__name__ for t in item_types)
        raise InvalidFieldError(f"{value!r:.80} must be a list of {names}")
    return value


def check_value(value: typing.Any, depth: int = 0) -> None:
    """Checks that the value of a target's record can be written as JSON.

    Args:
      value: The value, or a part of it.
      depth: Number of lists and dicts around ``value``.

    Raises:
      InvalidFieldError: A part has a type that JSON lacks, or the value is
        nested too deeply.
    """
    if type(value) in _SCALAR_TYPES:
        return
    if depth > _MAX_VALUE_DEPTH:
        raise InvalidFieldError(
            f"a value is nested over {_MAX_VALUE_DEPTH} levels deep"
        )
    items = value
    if type(value) is dict:
        if not _are_strings(value):
            raise InvalidFieldError("all keys of an object must be strings")
        items = value.values()
    elif type(value) is not list:
        raise InvalidFieldError(
            f"a value has type {type(value).__name__}, must be a JSON type"
        )
    if _SCALAR_TYPES.issuperset(map(type, items)):
        return
    for item in items:
        check_value(item, depth + 1)


def _are_strings(keys: collections.abc.Iterable[typing.Any]) -> bool:
    return _STRING_TYPES.issuperset(map(type, keys))


def decode_range(pair: typing.Any) -> ranges.KeyRange:
    """Returns the key range of ``[low, high]``.

    Raises:
      ValueError: ``pair`` is not a list, or the range is invalid.
      TypeError: ``pair`` does not have two hashable items.
    """
    if type(pair) is not list:
        raise InvalidFieldError(f"{pair!r:.80} must be a list")
    return _intern_range(*pair)


def decode_snapshot(pair: typing.Any) -> requests.Snapshot:
    """Returns the snapshot of ``[index_version, map_version]``.

    Raises:
      ValueError: ``pair`` is not a list, or a version is invalid.
      TypeError: ``pair`` does not have two hashable items.
    """
    if type(pair) is not list:
        raise InvalidFieldError(f"{pair!r:.80} must be a list")
    return _intern_snapshot(*pair)


def encode_holdings(holdings: tuple[requests.Holding, ...]) -> list:
    """Returns holdings as ``[[snapshot, key_range], ...]``."""
    return [
        (
            (h.snapshot.index_version, h.snapshot.map_version),
            (h.key_range.low, h.key_range.high),
        )
        for h in holdings
    ]


def decode_holdings(rows: list) -> tuple[requests.Holding, ...]:
    """Returns the holdings of ``[[snapshot, key_range], ...]``."""
    decoded = []
    for row in rows:
        snapshot, key_range = check_types(row, (list, list))
        decoded.append(_intern_holding(*snapshot, *key_range))
    return tuple(decoded)


# typed=True, because 1, 1.0 and True are equal and would share an entry, which
# would let a wrong type pass the checks.


@functools.lru_cache(_CACHE_SIZE, typed=True)
def _intern_range(low: int, high: int) -> ranges.KeyRange:
    check_types([low, high], (int, int))
    return ranges.KeyRange(low=low, high=high)


@functools.lru_cache(_CACHE_SIZE, typed=True)
def _intern_snapshot(index_version: int, map_version: int) -> requests.Snapshot:
    check_types([index_version, map_version], (int, int))
    return requests.Snapshot(
        index_version=check_count(index_version),
        map_version=check_count(map_version),
    )


@functools.lru_cache(_CACHE_SIZE, typed=True)
def _intern_holding(
    index_version: int, map_version: int, low: int, high: int
) -> requests.Holding:
    return requests.Holding(
        snapshot=_intern_snapshot(index_version, map_version),
        key_range=_intern_range(low, high),
    )
