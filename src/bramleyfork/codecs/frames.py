"""Msgpack framing of the messages between hosts.

Each message is one msgpack array ``[kind, field, ...]``.
"""

import expression
import msgpack

from bramleyfork.codecs import control_formats  # noqa: F401 (registers)
from bramleyfork.codecs import formats
from bramleyfork.codecs import request_formats  # noqa: F401 (registers)
from bramleyfork.core import records
from bramleyfork.core import registries

PROTOCOL_VERSION = 1  # Sent in the hello message.

# One part of a configuration has at most 1 MiB; 64 KiB are for the other
# fields of its message.
MAX_MESSAGE_BYTES = (1 << 20) + (64 << 10)

FrameError = formats.FrameError

# Msgpack allocates an array, also a nested one, before its items arrive, so
# the number of items is bounded well below the message limit.
_MAX_ARRAY_ITEMS = 1 << 16
_CHUNK_BYTES = 256 << 10  # Passed to msgpack at once.


class Frame:
    """A decoded message.

    Attributes:
      kind: Kind of the message.
      size: Length of the encoded message, bytes.
      message: The decoded record.
    """

    __slots__ = ("kind", "size", "message")

    def __init__(self, *, kind: str, size: int, message: records.Record):
        self.kind = kind
        self.size = size
        self.message = message


class FrameEncoder:
    """Encodes records as messages. Not thread-safe."""

    __slots__ = ("_packer",)

    def __init__(self):
        self._packer = msgpack.Packer()

    def encode(self, message: records.Record, now: float) -> bytes:
        """Returns the bytes of a message.

        Errors are raised, not returned, because building an
        ``expression.Result`` takes as long as the encoding itself.

        Args:
          message: A record of a registered class.
          now: Current monotonic time, seconds; deadlines are sent as the time
            that remains from it.

        Raises:
          FrameError: The message cannot be encoded or is too large.
        """
        kind = formats.KIND_BY_CLASS.get(type(message))
        if kind is None:
            raise FrameError(
                reason="unknown_kind", detail=f"no format for {type(message)!r}"
            )
        try:
            data = self._packer.pack(formats.ENCODERS.find(kind)(message, now))
        except (TypeError, ValueError, OverflowError) as error:
            # Without a reset, the bytes of the failed message would precede
            # the next one.
            self._packer.reset()
            raise FrameError(
                reason="not_encodable", detail=f"{kind}: {error}"
            ) from None
        if len(data) > MAX_MESSAGE_BYTES:
            raise FrameError(
                reason="too_large", detail=f"{kind} of {len(data)} bytes"
            )
        return data


class FrameDecoder:
    """Decodes the messages of one stream.

    After the first error, every call returns that error.

    Args:
      host: Name of this host, the receiver of the messages.
    """

    __slots__ = ("_host", "_unpacker", "_fed_bytes", "_message_start", "_error")

    def __init__(self, *, host: str):
        self._host = host
        self._fed_bytes = 0
        self._message_start = 0  # Stream offset of the unfinished message.
        self._error: FrameError | None = None
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_MESSAGE_BYTES + _CHUNK_BYTES,
            max_array_len=_MAX_ARRAY_ITEMS,
            max_map_len=_MAX_ARRAY_ITEMS,
            max_str_len=MAX_MESSAGE_BYTES,
            max_bin_len=MAX_MESSAGE_BYTES,
            max_ext_len=0,
        )

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes of the message that is incomplete."""
        return self._fed_bytes - self._message_start

    def feed(
        self, data: bytes, now: float
    ) -> expression.Result[list[Frame], FrameError]:
        """Returns the messages that ``data`` completes.

        An invalid message makes the stream unusable; valid messages before it
        in the same ``data`` are discarded.

        Args:
          data: The next bytes of the stream.
          now: Current monotonic time, seconds; the remaining time in a message
            is added to it.
        """
        if self._error is not None:
            return expression.Error(self._error)
        frames: list[Frame] = []
        try:
            for offset in range(0, len(data), _CHUNK_BYTES):
                self._feed_chunk(
                    data[offset : offset + _CHUNK_BYTES], now, frames
                )
        except FrameError as error:
            self._error = error
            return expression.Error(error)
        return expression.Ok(frames)

    def finish(self) -> expression.Result[None, FrameError]:
        """Returns an error if the stream ended within a message."""
        if self._error is not None:
            return expression.Error(self._error)
        if self.unfinished_bytes:
            return expression.Error(
                FrameError(
                    reason="truncated",
                    detail="the stream ended after"
                    f" {self.unfinished_bytes} bytes of a message",
                )
            )
        return expression.Ok(None)

    def _feed_chunk(self, data: bytes, now: float, frames: list[Frame]) -> None:
        unpacker = self._unpacker
        try:
            unpacker.feed(data)
            self._fed_bytes += len(data)
            for fields in unpacker:
                end = unpacker.tell()
                size = end - self._message_start
                self._check_size(size)
                self._message_start = end
                frames.append(self._build_frame(fields, size, now))
        except FrameError:
            raise
        except (
            *(ValueError, TypeError, OverflowError),
            *(MemoryError, msgpack.UnpackException),
        ) as error:
            raise FrameError(
                reason="malformed", detail=f"{type(error).__name__}: {error}"
            ) from None
        # Msgpack consumes the items of an unfinished array as they arrive, so
        # its buffer limit does not bound the size of a message.
        self._check_size(self.unfinished_bytes)

    def _check_size(self, size: int) -> None:
        if size > MAX_MESSAGE_BYTES:
            raise FrameError(
                reason="too_large",
                detail=f"a message is over {MAX_MESSAGE_BYTES} bytes",
            )

    def _build_frame(self, fields: object, size: int, now: float) -> Frame:
        if type(fields) is not list or not fields:
            raise FrameError(
                reason="malformed", detail="a message must be a non-empty array"
            )
        kind = fields[0]
        if type(kind) is not str:
            raise FrameError(
                reason="malformed", detail="the kind must be a string"
            )
        try:
            decoder = formats.DECODERS.find(kind)
        except registries.UnknownNameError as error:
            raise FrameError(
                reason="unknown_kind", detail=f"{str(error):.200}"
            ) from None
        if tuple(map(type, fields)) not in decoder.field_types:
            raise FrameError(
                reason="wrong_type",
                detail=f"{kind} with fields of types"
                f" {[type(f).__name__ for f in fields[1:33]]}",
            )
        try:
            message = decoder.decode(fields, now, self._host)
        except (ValueError, TypeError) as error:
            raise FrameError(
                reason="wrong_type", detail=f"{kind}: {str(error):.200}"
            ) from None
        return Frame(kind=kind, size=size, message=message)
