"""Streams of records between hosts, each with its length before it."""

import asyncio
import collections.abc
import logging
import struct

from bramleyfork.core import records
from bramleyfork.entry.transports import _record_codec

_LOG = logging.getLogger(__name__)

_LENGTH = struct.Struct("!I")
_FRAME_LIMIT = 32 * 1024 * 1024  # Bytes.


class RecordStream(asyncio.Protocol):
    """One end of a stream.

    Args:
      on_record: Called with this link and each record that arrives.
      on_closed: Called once with this link when the stream has ended.
      encode: Turns records into bytes.
    """

    __slots__ = ("_on_record", "_on_closed", "_encode", "_transport", "_buffer")

    def __init__(
        self,
        *,
        on_record: collections.abc.Callable[
            ["RecordStream", records.Record], None
        ],
        on_closed: collections.abc.Callable[
            ["RecordStream"], None
        ] = lambda _: None,
        encode: collections.abc.Callable[
            [records.Record], bytes
        ] = _record_codec.encode,
    ):
        self._on_record = on_record
        self._on_closed = on_closed
        self._encode = encode
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether records can be sent."""
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the transport."""
        del exc
        self._transport = None
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Hands over each whole record; anything else ends the stream."""
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > _FRAME_LIMIT:
                self.close_with_error(f"a frame of {length} bytes")
                return
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                record = _record_codec.decode(frame)
            except _record_codec.RecordDecodeError as error:
                self.close_with_error(str(error))
                return
            self._on_record(self, record)

    def send(self, record: records.Record) -> None:
        """Writes a record unless the stream has ended."""
        if self._transport is None:
            return
        frame = self._encode(record)
        self._transport.write(_LENGTH.pack(len(frame)) + frame)

    def close(self) -> None:
        """Ends the stream."""
        if self._transport is not None:
            self._transport.abort()

    def close_with_error(self, detail: str) -> None:
        """Ends the stream of a host that broke the protocol."""
        _LOG.warning("stream of a host refused", extra={"detail": detail})
        self.close()
