"""Streams of length-prefixed records between entry hosts, over TCP.

Each frame is a 4-byte length in network byte order and one encoded record.
"""

import asyncio
import collections.abc
import logging
import struct

from bramleyfork.core import records
from bramleyfork.entry.transports import _record_codec

_LOG = logging.getLogger(__name__)

_LENGTH = struct.Struct("!I")


class RecordStream(asyncio.Protocol):
    """One end of a record stream.

    Args:
      max_frame_bytes: Maximum size of a received record. A larger one is a
        protocol error.
      on_record: Called with this stream and each record that is received.
      on_closed: Called once with this stream when the connection has ended.
      encode: Encodes a record as bytes.
    """

    __slots__ = (
        "_max_frame_bytes",
        "_on_record",
        "_on_closed",
        "_encode",
        "_transport",
        "_buffer",
    )

    def __init__(
        self,
        *,
        max_frame_bytes: int,
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
        self._max_frame_bytes = max_frame_bytes
        self._on_record = on_record
        self._on_closed = on_closed
        self._encode = encode
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, so that records can be sent."""
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the stream as closed and calls ``on_closed``."""
        del exc
        self._transport = None
        self._buffer.clear()
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Passes the record of each complete frame to ``on_record``.

        Closes the connection on a frame that is too large or can't be decoded.
        """
        self._buffer += data
        self._read_frames()

    def _can_read(self) -> bool:
        """Returns whether the next frame may be read."""
        return self._transport is not None and not self._transport.is_closing()

    def _read_frames(self) -> int:
        """Passes on the complete frames; returns their number."""
        count = 0
        while self._can_read() and len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > self._max_frame_bytes:
                self.close_with_error(
                    f"frame of {length} bytes exceeds the limit of"
                    f" {self._max_frame_bytes}"
                )
                break
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                record = _record_codec.decode(frame)
            except _record_codec.RecordDecodeError as error:
                self.close_with_error(str(error))
                break
            count += 1
            self._on_record(self, record)
        return count

    def send(self, record: records.Record) -> None:
        """Sends a record; does nothing if the connection has ended."""
        if self._transport is None:
            return
        frame = self._encode(record)
        self._transport.write(_LENGTH.pack(len(frame)) + frame)

    def close(self) -> None:
        """Closes the connection at once; unsent data is discarded."""
        if self._transport is not None:
            self._transport.abort()

    def close_with_error(self, detail: str) -> None:
        """Closes the connection after a protocol error and logs the error.

        Args:
          detail: What was wrong, for the log.
        """
        _LOG.warning(
            "record stream closed after a protocol error",
            extra={"detail": detail},
        )
        self.close()
