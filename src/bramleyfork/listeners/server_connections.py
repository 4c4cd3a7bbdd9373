"""Server side of HTTP/1.1 connections: reads requests, writes responses."""

import asyncio

from bramleyfork.listeners import budgets
from bramleyfork.listeners import connection_handlers
from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import read_pauses
from bramleyfork.listeners import request_queues
from bramleyfork.listeners import request_readers
from bramleyfork.listeners import sockets

# Requests of one connection that are handled in one turn of the event loop.
_MAX_REQUESTS_PER_TURN = 16
# Memory of a connection without a request.
_CONNECTION_BYTES = 8 * 1024
# Received bytes that count as progress of a request.
_PROGRESS_BYTES = 4 * 1024
# Calls of the parser after which a read was costly. A read without very small
# chunks or fields takes far fewer.
_COSTLY_CALLS = 256

# States of a connection.
IDLE = "idle"
READING_HEAD = "reading"  # Part of a request head has arrived.
READING_BODY = "receiving"  # The head and part of the body have arrived.
BUSY = "busy"  # A request waits for its response.
SENDING = "sending"  # The client has yet to read responses.
LINGERING = "lingering"  # The client was refused; what it sends is dropped.
CLOSING = "closing"  # Closed once the client has read the last response.


class ServerConnection(asyncio.BufferedProtocol):
    """Reads requests of one connection and writes their responses in order.

    One request is handled at a time; further ones are queued. A request that is
    malformed or exceeds a limit is refused after the responses to those before
    it, and the connection is closed, as the start of the next request can't be
    determined.

    Args:
      handler: Handles the requests.
      loop: The event loop.

    Attributes:
      caller: IP address of the caller.
      rtt_s: Round-trip time to the caller; 0 if it is not known.
      state: IDLE, READING_HEAD, READING_BODY, BUSY, SENDING, LINGERING or
        CLOSING.
      state_changed_at: Monotonic time at which the state last changed, or at
        which the client last read part of its responses.
    """

    __slots__ = (
        "caller",
        "rtt_s",
        "state",
        "state_changed_at",
        "_handler",
        "_loop",
        "_resources",
        "_account",
        "_transport",
        "_reader",
        "_queued",
        "_current",
        "_refusal_status",
        "_is_dispatching",
        "_is_write_paused",
        "_pauses",
        "_unmarked_bytes",
        "_dropped_bytes",
        "_unsent_bytes",
    )

    def __init__(
        self,
        *,
        handler: connection_handlers.ConnectionHandler,
        loop: asyncio.AbstractEventLoop,
    ):
        self.caller = ""
        self.rtt_s = 0.0
        self.state = IDLE
        self.state_changed_at = loop.time()
        self._handler = handler
        self._loop = loop
        self._resources = handler.resources
        self._account: budgets.Account | None = None
        self._transport: asyncio.Transport | None = None
        self._reader: request_readers.RequestReader | None = None
        self._queued = request_queues.RequestQueue()
        self._current: http_requests.HttpRequest | None = None
        self._refusal_status = 0
        self._is_dispatching = False
        self._is_write_paused = False
        self._pauses: read_pauses.ReadPauses | None = None
        self._unmarked_bytes = 0
        self._dropped_bytes = 0
        self._unsent_bytes = 0

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and reads the caller's address and latency."""
        self._transport = transport
        self._pauses = read_pauses.ReadPauses(transport=transport)
        self._reader = request_readers.RequestReader(
            get_limits=lambda: self._handler.limits,
            on_request=self._queue_request,
            on_expectation=self._continue_request,
        )
        peer = transport.get_extra_info("peername")
        self.caller = peer[0] if peer else ""
        self.rtt_s = sockets.measure_round_trip(
            transport.get_extra_info("socket")
        )
        self._handler.add_connection(self)
        now = self._loop.time()
        self._account = self._resources.budget.open_account(
            evict=self.evict, loop=self._loop, now=now
        )
        self._account.admit(now)
        self._account.hold(_CONNECTION_BYTES, now)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that received data is written to."""
        del sizehint
        return self._resources.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the data in the buffer."""
        self.data_received(self._resources.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received data; refuses a request that is malformed."""
        if self._reader is None:
            self._drop(len(data))
            return
        now = self._loop.time()
        if self.state == IDLE:
            self._set_state(READING_HEAD, now)
        calls_before = self._reader.parser_calls
        try:
            self._reader.feed(data, now)
        except request_readers.RequestError as error:
            self.refuse(error.status)
        self._note_progress(len(data), now)
        self._handle_next()
        if self._reader is None or self._transport is None:
            return
        if self._reader.parser_calls - calls_before > _COSTLY_CALLS:
            self._wait_for_turn()
        if self._is_queue_full():
            self._pauses.add(read_pauses.FULL)

    def pause_writing(self) -> None:
        """Stops handling requests until the client has read responses."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Handles the requests that were queued."""
        self._is_write_paused = False
        self._note_progress(_PROGRESS_BYTES, self._loop.time())
        self._handle_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops queued requests and notifies the handler."""
        del exc
        self._transport = None
        self._close_reader()
        self._queued.clear()
        self._account.close()
        self._handler.remove_connection(self)

    # Called by the handler.

    def respond(
        self, status: int, headers: http_heads.Headers, body: bytes
    ) -> None:
        """Writes the response to the current request.

        Does nothing if the connection has ended.

        Args:
          status: Status code.
          headers: Header fields; those of the connection are left out.
          body: Whole body.
        """
        http_request = self._current
        if self._transport is None or http_request is None:
            return
        self._current = None
        keeps_alive = http_request.keeps_alive and not self._handler.is_closing
        self._write(
            http_heads.encode_response(
                status, headers, body, http_request.method, keeps_alive
            )
        )
        if not keeps_alive:
            self.close()
            return
        self._handle_next()

    def refuse(self, status: int) -> None:
        """Refuses the request that is being read and closes the connection.

        Requests that were read before it are answered first.

        Args:
          status: Status code of the refusal.
        """
        if self._reader is None:
            return
        self._close_reader()
        self._refusal_status = status
        if self._current is None and not self._queued:
            self._write_refusal()

    def close(self) -> None:
        """Closes the connection after buffered data has been sent."""
        if self._transport is None:
            return
        now = self._loop.time()
        self._close_reader()
        self._set_state(CLOSING, now)
        self._update_account(now)
        self._transport.close()

    def evict(self) -> None:
        """Closes the connection to make room for others.

        A request that was being read is refused; it has not run.
        """
        if self._transport is None:
            return
        is_reading = self.state in (READING_HEAD, READING_BODY)
        has_unsent = self._transport.get_write_buffer_size() > 0
        if has_unsent or self.state in (LINGERING, CLOSING):
            self._close_reader()
            self._transport.abort()
            return
        if is_reading:
            self._write(self._encode_refusal(503))
        self.close()

    def abort_if_stuck(self, now: float, limit_s: float) -> None:
        """Ends the connection if its client hasn't read for some time.

        Args:
          now: Monotonic time in seconds.
          limit_s: Seconds without progress after which it is ended.
        """
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self.state_changed_at = now
            self._note_progress(_PROGRESS_BYTES, now)
        elif now - self.state_changed_at > limit_s:
            self._transport.abort()

    # Called by the queue of costly connections.

    def resume_reading(self) -> None:
        """Continues to read after a costly read."""
        self._pauses.remove(read_pauses.TURN)

    # Reading.

    def _queue_request(self, http_request: http_requests.HttpRequest) -> None:
        self._queued.append(http_request)
        self._unmarked_bytes = _PROGRESS_BYTES

    def _close_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def _continue_request(self) -> None:
        self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _drop(self, count: int) -> None:
        if self.state != LINGERING or self._transport is None:
            return
        self._dropped_bytes += count
        if self._dropped_bytes > self._handler.linger_bytes:
            self._transport.abort()

    def _note_progress(self, count: int, now: float) -> None:
        self._unmarked_bytes += count
        if self._unmarked_bytes >= _PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self._account.progress_at = now

    def _is_queue_full(self) -> bool:
        """Returns whether enough requests wait behind the current one."""
        if self._current is None and not self._queued:
            return False
        return self._queued.is_full(self._reader.count_held_bytes())

    def _wait_for_turn(self) -> None:
        if self._pauses.has(read_pauses.TURN):
            return
        self._pauses.add(read_pauses.TURN)
        self._resources.turns.add(self, self._loop)

    # Handling.

    def _handle_next(self) -> None:
        """Passes queued requests to the handler, one at a time.

        A handler that responds at once doesn't recurse, and other connections
        get their turn after a number of requests.
        """
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            for _ in range(_MAX_REQUESTS_PER_TURN):
                if not self._can_handle():
                    break
                self._handle_one()
            else:
                self._loop.call_soon(self._handle_next)
        finally:
            self._is_dispatching = False
        if self._transport is not None:
            self._settle()

    def _can_handle(self) -> bool:
        return (
            self._current is None
            and not self._is_write_paused
            and bool(self._queued)
            and self._transport is not None
            and self.state != CLOSING
        )

    def _handle_one(self) -> None:
        self._current = self._queued.pop()
        self.state = BUSY
        self._handler.handle_request(self, self._current)

    def _settle(self) -> None:
        """Sets the state after requests were handled or data was read."""
        now = self._loop.time()
        if self.state in (LINGERING, CLOSING):
            pass
        elif self._current is not None:
            self.state = BUSY
        elif self._is_write_paused:
            self._set_state(SENDING, now)
        elif self._queued:
            self.state = BUSY
        elif self._reader is None:
            self._write_refusal()
        else:
            self._set_state(self._find_reading_state(), now)
        if not self._queued:
            self._pauses.remove(read_pauses.FULL)
        self._update_account(now)

    def _find_reading_state(self) -> str:
        if self._reader.is_in_request:
            return READING_BODY if self._reader.is_in_body else READING_HEAD
        # Bytes before a request, such as blank lines, are part of its head.
        return READING_HEAD if self.state == READING_HEAD else IDLE

    def _set_state(self, state: str, now: float) -> None:
        if state != self.state:
            self.state = state
            self.state_changed_at = now

    def _update_account(self, now: float) -> None:
        held_bytes = (
            _CONNECTION_BYTES
            + self._queued.held_bytes
            + self._transport.get_write_buffer_size()
        )
        if self._current is not None:
            held_bytes += self._current.held_bytes
        if self._reader is not None:
            held_bytes += self._reader.count_held_bytes()
        self._account.is_idle = self.state == IDLE
        self._account.is_working = self.state == BUSY
        self._account.hold(held_bytes, now)

    # Writing.

    def _write_refusal(self) -> None:
        """Writes the refusal and drops what the client still sends."""
        self._write(self._encode_refusal(self._refusal_status))
        now = self._loop.time()
        self._set_state(LINGERING, now)
        self._update_account(now)
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()

    def _encode_refusal(self, status: int) -> bytes:
        headers, body = self._handler.build_refusal(status)
        return http_heads.encode_response(status, headers, body, b"GET", False)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)
