"""Encodes the records that entry hosts send one another, as msgpack.

A record is encoded as its class name and the values of its slots, in order.
"""

import collections.abc
import typing

import msgpack

from bramleyfork.core import records
from bramleyfork.entry import carrier_records
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import feeds
from bramleyfork.listeners import limits

# Extension types of msgpack.
_RECORD_EXTENSION = 1  # Class name, then the values of the slots.
_SET_EXTENSION = 2  # A frozenset as a sorted array.
# Nested records are decoded recursively, and thousands of levels overflow the
# stack of the process. Valid records have at most 6 levels.
_MAX_DEPTH = 16

_CLASS_BY_NAME = {
    each.__name__: each
    for each in (
        carrier_records.Abort,
        carrier_records.Call,
        carrier_records.Result,
        exchanges.CallerRequest,
        limits.CallerLimits,
        declarations.ListedTarget,
        declarations.Route,
        declarations.RouteTable,
        declarations.Service,
        declarations.Share,
        feeds.Change,
        feeds.FeedRead,
        feeds.FeedResult,
    )
}


class RecordDecodeError(ValueError):
    """Raised for bytes that can't be decoded to known records."""


def encode(value: typing.Any) -> bytes:
    """Encodes a record, or a tuple or mapping of records."""
    return msgpack.packb(value, default=_encode_extension)


class CachingEncoder:
    """Encodes records and caches the encoding of the last route table.

    A route table of many services takes milliseconds to encode and is sent to
    each host that reads the feed from this one.
    """

    __slots__ = ("_table", "_encoded")

    def __init__(self):
        self._table: declarations.RouteTable | None = None
        self._encoded: msgpack.ExtType | None = None

    def encode(self, value: typing.Any) -> bytes:
        """Returns the same bytes as the module function ``encode``."""
        return msgpack.packb(value, default=self._encode_extension)

    def _encode_extension(self, value: typing.Any) -> msgpack.ExtType:
        if isinstance(value, declarations.RouteTable):
            if value is not self._table:
                self._table, self._encoded = value, _encode_extension(value)
            return self._encoded
        return _encode_extension(value, self.encode)


def decode(data: bytes) -> typing.Any:
    """Decodes the result of ``encode``; sequences become tuples.

    Raises:
      RecordDecodeError: The bytes are not valid msgpack, or they hold an
        unknown extension, an unknown class, a record with missing or extra
        fields or too many levels.
    """
    return _decode(data, 0)


def _decode(data: bytes, depth: int) -> typing.Any:
    if depth > _MAX_DEPTH:
        raise RecordDecodeError(f"record has more than {_MAX_DEPTH} levels")
    try:
        return msgpack.unpackb(
            data,
            use_list=False,
            ext_hook=lambda code, payload: _decode_extension(
                code, payload, depth + 1
            ),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordDecodeError(f"can't decode record: {error}") from error


def _encode_extension(
    value: typing.Any,
    encode_nested: collections.abc.Callable[[typing.Any], bytes] = encode,
) -> msgpack.ExtType:
    if isinstance(value, records.Record):
        fields = [getattr(value, name) for name in value.__slots__]
        return msgpack.ExtType(
            _RECORD_EXTENSION, encode_nested([type(value).__name__, *fields])
        )
    if isinstance(value, frozenset):
        return msgpack.ExtType(_SET_EXTENSION, encode_nested(sorted(value)))
    raise TypeError(
        f"can't encode {type(value).__name__}; valid: records, frozensets and "
        "types of msgpack"
    )


def _decode_extension(code: int, data: bytes, depth: int) -> typing.Any:
    fields = _decode(data, depth)
    if not isinstance(fields, tuple):
        raise RecordDecodeError("payload of an extension must be an array")
    if code == _SET_EXTENSION:
        return frozenset(fields)
    if code != _RECORD_EXTENSION or not fields:
        raise RecordDecodeError(
            f"extension {code} is unknown or empty; valid types: 1 and 2"
        )
    record_class = _CLASS_BY_NAME.get(fields[0])
    if record_class is None:
        valid = ", ".join(sorted(_CLASS_BY_NAME))
        raise RecordDecodeError(
            f"unknown record class {fields[0]!r}; valid: {valid}"
        )
    names = record_class.__slots__
    if len(names) != len(fields) - 1:
        raise RecordDecodeError(
            f"{fields[0]} must have {len(names)} fields, got {len(fields) - 1}"
        )
    return record_class(**dict(zip(names, fields[1:], strict=True)))
