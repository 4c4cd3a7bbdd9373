"""A TCP stream of messages between this host and another one."""

import asyncio
import socket
import typing

from bramleyfork.codecs import frames
from bramleyfork.core import clocks
from bramleyfork.core import messages
from bramleyfork.listeners import budgets

# The kernel closes a connection whose bytes stay unacknowledged for this long.
# Otherwise it would wait up to two minutes between retransmissions and keep
# the stream unusable long after a network partition has healed.
_TCP_USER_TIMEOUT_MS = 3000
# Bytes that a host may send before its hello has been accepted. A hello has a
# few short fields.
_MAX_HELLO_BYTES = 16 * 1024
_STREAM_BYTES = 8 * 1024  # Memory of a stream without a message.


class StreamCallbacks(typing.Protocol):
    """Receiver of a stream's events; called in the event loop's thread."""

    def handle_connected(self, stream: "Stream") -> None:
        """Called when the TCP connection is established."""

    def handle_hello(self, stream: "Stream", frame: frames.Frame) -> None:
        """Called with the peer's hello, its first message."""

    def handle_frames(
        self, stream: "Stream", batch: list[frames.Frame]
    ) -> None:
        """Called with the messages that arrive after the hello."""

    def handle_protocol_error(
        self, stream: "Stream", error: frames.FrameError
    ) -> None:
        """Called when the peer has sent bytes that are not a valid message."""

    def handle_disconnected(self, stream: "Stream") -> None:
        """Called when the connection has ended."""


class Stream(asyncio.Protocol):
    """A stream of messages to and from one process of another host.

    Attributes:
      expected_host: Host that an outgoing connection must lead to; None if the
        name is not known.
      dialled_address: Address of an outgoing connection; None for an accepted
        one, which counts in the budget of the process.
      host: Name of the peer's host; None until its hello is accepted.
      incarnation: Incarnation of the peer's process; valid if ``host`` is set.
      handshake_done: Future that is done when ``host`` is set or the connection
        has ended.
    """

    __slots__ = (
        "expected_host",
        "dialled_address",
        "host",
        "incarnation",
        "handshake_done",
        "_callbacks",
        "_budget",
        "_account",
        "_clock",
        "_decoder",
        "_hello_received",
        "_transport",
    )

    def __init__(
        self,
        *,
        callbacks: StreamCallbacks,
        clock: clocks.Clock,
        own_host: str,
        expected_host: str | None = None,
        dialled_address: str | None = None,
        budget: budgets.ConnectionBudget | None = None,
    ):
        self.expected_host = expected_host
        self.dialled_address = dialled_address
        self.host: str | None = None
        self.incarnation = 0
        self.handshake_done = asyncio.get_running_loop().create_future()
        self._callbacks = callbacks
        self._budget = budget
        self._account: budgets.Account | None = None
        self._clock = clock
        self._decoder = frames.FrameDecoder(host=own_host)
        self._hello_received = False
        self._transport: asyncio.Transport | None = None

    @property
    def remote(self) -> str:
        """Address of the peer, for log messages."""
        if self._transport is None:
            return self.dialled_address or ""
        name = self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else self.dialled_address or ""

    @property
    def usable(self) -> bool:
        """Whether messages can be written to the stream."""
        return self.host is not None and not self._transport.is_closing()

    @property
    def buffered(self) -> int:
        """Number of written bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the socket options; called by asyncio."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MS,
        )
        self._callbacks.handle_connected(self)
        if self._budget is not None:
            self._open_account()

    def data_received(self, data: bytes) -> None:
        """Decodes messages and passes them on; called by asyncio."""
        if self._transport.is_closing():
            return
        self._decode(data)
        self._update_account()

    def _decode(self, data: bytes) -> None:
        result = self._decoder.feed(data, self._clock.read_monotonic())
        if result.is_error():
            self._callbacks.handle_protocol_error(self, result.error)
            return
        batch = result.ok
        if batch and not self._hello_received:
            self._hello_received = True
            first = batch.pop(0)
            if first.kind != "hello":
                self._reject(f"the first message is {first.kind!r}, not hello")
                return
            self._callbacks.handle_hello(self, first)
        if any(frame.kind == "hello" for frame in batch):
            self._reject("hello was sent more than once")
            return
        if batch and self.host is not None:
            self._callbacks.handle_frames(self, batch)
        if self.host is None:
            self._check_hello_size()

    def _check_hello_size(self) -> None:
        if self._decoder.unfinished_bytes > _MAX_HELLO_BYTES:
            self._reject(f"no hello in the first {_MAX_HELLO_BYTES} bytes")

    def _open_account(self) -> None:
        now = self._clock.read_monotonic()
        self._account = self._budget.open_account(
            evict=self.abort, loop=asyncio.get_running_loop(), now=now
        )
        self._account.admit(now)
        self._update_account()

    def _update_account(self) -> None:
        if self._account is None or self._transport.is_closing():
            return
        now = self._clock.read_monotonic()
        self._account.is_idle = not self._decoder.unfinished_bytes
        if self.host is not None:
            # A known host is waited for, not evicted.
            self._account.is_working = True
        self._account.hold(_STREAM_BYTES + self._decoder.unfinished_bytes, now)

    def eof_received(self) -> None:
        """Reports a truncated last message; called by asyncio."""
        result = self._decoder.finish()
        if result.is_error():
            self._callbacks.handle_protocol_error(self, result.error)

    def connection_lost(self, _error: Exception | None) -> None:
        """Reports the end of the connection; called by asyncio."""
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)
        if self._account is not None:
            self._account.close()
        self._callbacks.handle_disconnected(self)

    def complete_handshake(self, hello: messages.Hello) -> None:
        """Stores the peer's host and incarnation after an accepted hello."""
        self.host = hello.host
        self.incarnation = hello.incarnation
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)

    def write(self, data: bytes) -> None:
        """Writes bytes to the stream."""
        self._transport.write(data)

    def close(self) -> None:
        """Closes the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once; buffered bytes are discarded."""
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, detail: str) -> None:
        self._callbacks.handle_protocol_error(
            self, frames.FrameError(reason="malformed", detail=detail)
        )


def parse_address(address: str) -> tuple[str, int]:
    """Returns IP address and port of ``address:port``.

    Raises:
      ValueError: The port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
