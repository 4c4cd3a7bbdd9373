"""Streams of records between hosts, each with its length before it."""

import asyncio
import collections.abc
import logging
import struct

from bramleyfork.core import records
from bramleyfork.entry.transports import _records

_LOG = logging.getLogger(__name__)

_LENGTH = struct.Struct("!I")
_FRAME_LIMIT = 32 * 1024 * 1024  # Bytes.


class Link(asyncio.Protocol):
    """One end of a stream.

    Args:
      take: Called with this link and each record that arrives.
      closed: Called once with this link when the stream has ended.
      encode: Turns records into bytes.
    """

    __slots__ = ("_take", "_closed", "_encode", "_transport", "_buffer")

    def __init__(
        self,
        *,
        take: collections.abc.Callable[["Link", records.Record], None],
        closed: collections.abc.Callable[["Link"], None] = lambda _: None,
        encode: collections.abc.Callable[
            [records.Record], bytes
        ] = _records.encode,
    ):
        self._take = take
        self._closed = closed
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
        self._closed(self)

    def data_received(self, data: bytes) -> None:
        """Hands over each whole record; anything else ends the stream."""
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > _FRAME_LIMIT:
                self.refuse(f"a frame of {length} bytes")
                return
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                record = _records.decode(frame)
            except _records.RecordError as error:
                self.refuse(str(error))
                return
            self._take(self, record)

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

    def refuse(self, detail: str) -> None:
        """Ends the stream of a host that broke the protocol."""
        _LOG.warning("stream of a host refused", extra={"detail": detail})
        self.close()
