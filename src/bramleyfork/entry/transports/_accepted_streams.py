"""Record streams that other hosts have opened to this one.

Anyone can connect to the address of a listener, so what such a stream holds is
counted and bounded in time.
"""

import asyncio
import typing

from bramleyfork.entry.transports import _record_streams
from bramleyfork.listeners import budgets
from bramleyfork.listeners import resources

_STREAM_BYTES = 8 * 1024  # Memory of a stream without a frame.
# Time within which the other side has to complete its first frame, and each one
# that it has begun, and to read part of what it was sent.
_STALL_LIMIT_S = 5.0


class AcceptedStream(_record_streams.RecordStream):
    """A stream that another host has opened.

    While the other side doesn't read what it was sent, no frames are read.

    Args:
      connections: What the connections of all listeners share.
      **others: Arguments of ``RecordStream``.
    """

    __slots__ = (
        "_connections",
        "_loop",
        "_account",
        "_timer",
        "_has_progressed",
        "_is_write_paused",
    )

    def __init__(
        self, *, connections: resources.LoopResources, **others: typing.Any
    ):
        super().__init__(**others)
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._account: budgets.Account | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_progressed = False
        self._is_write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the account of the new connection."""
        super().connection_made(transport)
        now = self._loop.time()
        self._account = self._connections.budget.open_account(
            evict=self.close, loop=self._loop, now=now
        )
        self._account.admit(now)
        self._update_account()
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the account and calls ``on_closed``."""
        self._account.close()
        if self._timer is not None:
            self._timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Passes on the records that are complete."""
        super().data_received(data)
        self._update_account()
        if self._buffer:
            self._start_timer()

    def pause_writing(self) -> None:
        """Stops reading until the other side has read what it was sent."""
        self._is_write_paused = True
        if self._transport is not None:
            self._transport.pause_reading()
            self._update_account()
            self._start_timer()

    def resume_writing(self) -> None:
        """Continues with the frames that have arrived."""
        self._is_write_paused = False
        if self._transport is None:
            return
        self._note_progress()
        self._transport.resume_reading()
        self._read_frames()
        self._update_account()

    def _can_read(self) -> bool:
        return super()._can_read() and not self._is_write_paused

    def _read_frames(self) -> int:
        count = super()._read_frames()
        if count:
            self._note_progress()
        return count

    def _note_progress(self) -> None:
        self._has_progressed = True
        self._account.progress_at = self._loop.time()

    def _update_account(self) -> None:
        if self._transport is None:
            return
        self._account.is_idle = not self._buffer
        # A host that has sent a frame is waited for, not evicted.
        self._account.is_working = (
            self._has_progressed and not self._is_write_paused
        )
        self._account.hold(
            _STREAM_BYTES
            + len(self._buffer)
            + self._transport.get_write_buffer_size(),
            self._loop.time(),
        )

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_at(
                self._loop.time() + _STALL_LIMIT_S, self._check_progress
            )

    def _check_progress(self) -> None:
        """Closes the stream if its other side keeps this one waiting."""
        self._timer = None
        if self._transport is None:
            return
        is_waiting = not self._has_progressed or self._buffer
        if not is_waiting and not self._is_write_paused:
            return
        stalled_s = self._loop.time() - self._account.progress_at
        if stalled_s >= _STALL_LIMIT_S:
            self.close_with_error("the other side made no progress in time")
            return
        self._start_timer()
