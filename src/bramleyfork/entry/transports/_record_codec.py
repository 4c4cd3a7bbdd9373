"""Records of the feed as msgpack, for other hosts."""

import collections.abc
import typing

import msgpack

from bramleyfork.core import records
from bramleyfork.entry import carrier_records
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import feeds

_RECORD = 1  # Extension: class name and fields in the order of the slots.
_SET = 2  # Extension: a frozenset as an array.

_CLASSES = {
    each.__name__: each
    for each in (
        carrier_records.Abort,
        carrier_records.Call,
        carrier_records.Result,
        exchanges.CallerRequest,
        declarations.CallerLimits,
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
    """Bytes are not an encoded record."""


def encode(value: typing.Any) -> bytes:
    """Returns a record, or a tuple or mapping of records, as bytes."""
    return msgpack.packb(value, default=_encode_other)


class CachingEncoder:
    """Encodes records and keeps the bytes of the last route table.

    A route table of many services takes milliseconds to encode and goes to
    each of the hosts that read from this one.
    """

    __slots__ = ("_table", "_encoded")

    def __init__(self):
        self._table: declarations.RouteTable | None = None
        self._encoded: msgpack.ExtType | None = None

    def encode(self, value: typing.Any) -> bytes:
        """Returns the same bytes as the function of this name."""
        return msgpack.packb(value, default=self._encode_other)

    def _encode_other(self, value: typing.Any) -> msgpack.ExtType:
        if isinstance(value, declarations.RouteTable):
            if value is not self._table:
                self._table, self._encoded = value, _encode_other(value)
            return self._encoded
        return _encode_other(value, self.encode)


def decode(data: bytes) -> typing.Any:
    """Returns what ``encode`` was given, with tuples for sequences.

    Raises:
      RecordDecodeError: The bytes are not of ``encode``.
    """
    try:
        return msgpack.unpackb(data, use_list=False, ext_hook=_decode_other)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordDecodeError(f"unreadable record: {error}") from error


def _encode_other(
    value: typing.Any,
    encode_nested: collections.abc.Callable[[typing.Any], bytes] = encode,
) -> msgpack.ExtType:
    if isinstance(value, records.Record):
        fields = [getattr(value, name) for name in value.__slots__]
        return msgpack.ExtType(
            _RECORD, encode_nested([type(value).__name__, *fields])
        )
    if isinstance(value, frozenset):
        return msgpack.ExtType(_SET, encode_nested(sorted(value)))
    raise TypeError(f"{type(value).__name__} has no encoding")


def _decode_other(code: int, data: bytes) -> typing.Any:
    fields = decode(data)
    if not isinstance(fields, tuple):
        raise RecordDecodeError("an extension holds an array")
    if code == _SET:
        return frozenset(fields)
    if code != _RECORD or not fields:
        raise RecordDecodeError(f"unknown extension {code}")
    record_class = _CLASSES.get(fields[0])
    if record_class is None:
        valid = ", ".join(sorted(_CLASSES))
        raise RecordDecodeError(f"unknown record {fields[0]!r}; valid: {valid}")
    names = record_class.__slots__
    if len(names) != len(fields) - 1:
        raise RecordDecodeError(
            f"{fields[0]} has {len(names)} fields, not {len(fields) - 1}"
        )
    return record_class(**dict(zip(names, fields[1:], strict=True)))
