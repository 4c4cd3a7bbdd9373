"""Connections to all other hosts: connecting, sending and receiving."""

import asyncio
import contextlib
import logging

from bramleyfork.codecs import frames
from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import clocks
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.listeners import budgets
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_encoder
from bramleyfork.transports import peer_handshake
from bramleyfork.transports import peer_link_table
from bramleyfork.transports import peer_links
from bramleyfork.transports import peer_partitions
from bramleyfork.transports import peer_receiver
from bramleyfork.transports import peer_streams

_LOG = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0  # For the TCP connection and the peer's hello.
_SWEEP_PERIOD_S = 1.0
_CLOSE_TIMEOUT_S = 0.5  # For sending buffered bytes at a stop.


class PeerConnectionManager:
    """Opens, accepts and closes streams and sends messages over them.

    Only the thread of the event loop may call it. It implements
    ``peer_streams.StreamCallbacks``.

    Args:
      settings: Settings of the daemon.
      clock: Source of monotonic time.
      links: The links to other hosts.
      encoder: Encodes messages and reports those that cannot be sent.
      receiver: Writes received messages to the blackboard.
      counters: Traffic by kind of message.
      injected_partitions: Hosts to which traffic is blocked by a test.
      budget: Budget of the process, in which accepted streams count.
    """

    __slots__ = (
        "_settings",
        "_clock",
        "_links",
        "_encoder",
        "_receiver",
        "_counters",
        "_injected_partitions",
        "_budget",
        "_streams",
        "_links_to_flush",
        "_tasks",
        "_sweep_timer",
        "_all_disconnected",
        "_loop",
    )

    def __init__(
        self,
        *,
        settings: daemon_settings.Settings,
        clock: clocks.Clock,
        links: peer_link_table.LinkTable,
        encoder: peer_encoder.PeerEncoder,
        receiver: peer_receiver.PeerReceiver,
        counters: peer_counters.TrafficCounters,
        injected_partitions: peer_partitions.InjectedPartitions,
        budget: budgets.ConnectionBudget,
    ):
        self._settings = settings
        self._clock = clock
        self._links = links
        self._encoder = encoder
        self._receiver = receiver
        self._counters = counters
        self._injected_partitions = injected_partitions
        self._budget = budget
        self._streams: set[peer_streams.Stream] = set()
        self._links_to_flush: dict[peer_links.Link, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._all_disconnected: asyncio.Event | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Binds the manager to the running event loop; call it from there."""
        self._loop = asyncio.get_running_loop()

    async def stop(self) -> None:
        """Closes all streams after their buffered bytes are sent.

        Streams that are still open after ``_CLOSE_TIMEOUT_S`` are aborted.
        """
        for task in list(self._tasks):
            task.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for stream in list(self._streams):
            stream.close()
        if self._streams:
            self._all_disconnected = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._all_disconnected.wait(), _CLOSE_TIMEOUT_S
                )
        for stream in list(self._streams):
            stream.abort()
        await asyncio.sleep(0)

    def prepare_sends(self) -> None:
        """Refreshes partitions and links before a batch of sends."""
        self._injected_partitions.refresh(self._clock.read_monotonic())
        self._links.refresh()

    def send(self, message: records.Record, host: str) -> None:
        """Queues a message for one host."""
        outgoing = self._encoder.encode(message)
        if outgoing is None:
            return
        link = self._links.get_or_create_link(host)
        if link is None:
            self._encoder.drop_messages(
                [outgoing], f"host {host!r} has no known address"
            )
            return
        link.batch.append(outgoing)
        self._links_to_flush[link] = None

    def broadcast(self, message: records.Record) -> None:
        """Queues a message for each connected host.

        Before a declaration is in force, it goes to each seed instead.
        """
        outgoing = self._encoder.encode(message)
        if outgoing is None:
            return
        for link in self._links.list_broadcast_links():
            link.batch.append(outgoing)
            self._links_to_flush[link] = None

    def flush(self) -> None:
        """Writes the queued messages of each host to its stream at once.

        A host without a stream is connected first.
        """
        links_to_flush, self._links_to_flush = self._links_to_flush, {}
        for link in links_to_flush:
            stream = link.find_stream()
            if stream is None:
                self._enqueue(link, link.pop_batch())
            else:
                self._write(link, stream, link.pop_batch())

    # Callbacks of streams.

    def build_stream(self) -> peer_streams.Stream:
        """Returns the asyncio protocol for an accepted connection."""
        return peer_streams.Stream(
            callbacks=self,
            clock=self._clock,
            own_host=self._settings.host,
            budget=self._budget,
        )

    def handle_connected(self, stream: peer_streams.Stream) -> None:
        """Handles a new TCP connection.

        The connecting side sends its hello at once; the accepting side waits
        for it until a timeout.
        """
        self._streams.add(stream)
        if stream.dialled_address is not None:
            self._send_hello(stream)
            return
        self._loop.call_later(
            _CONNECT_TIMEOUT_S, self._check_hello_received, stream
        )

    def handle_hello(
        self, stream: peer_streams.Stream, frame: frames.Frame
    ) -> None:
        """Checks the peer's hello and registers or closes the stream."""
        hello = frame.message
        self._counters.count_received(frame.kind, frame.size)
        reason = peer_handshake.find_mismatch(
            hello, expected_host=stream.expected_host, settings=self._settings
        )
        if reason is not None:
            self._close_invalid(stream, reason)
            return
        now = self._clock.read_monotonic()
        self._injected_partitions.refresh(now)
        if self._injected_partitions.blocks_connecting(hello.host):
            return
        if stream.dialled_address is None:
            self._send_hello(stream)
        stream.complete_handshake(hello)
        link = self._links.register_stream(stream)
        # Another incarnation is a process that this one has replaced.
        for other in list(link.streams):
            if other.incarnation != hello.incarnation:
                other.abort()
        link.streams.append(stream)
        link.reset_backoff()
        self._links.publish(link, connected=True)
        _LOG.info("peer stream established", extra=_describe(stream))
        self._write(
            link, stream, self._encoder.reencode_queued(link.pop_queued(), now)
        )

    def handle_frames(
        self, stream: peer_streams.Stream, batch: list[frames.Frame]
    ) -> None:
        """Passes messages to the receiver unless a partition blocks them."""
        now = self._clock.read_monotonic()
        self._injected_partitions.refresh(now)
        if self._injected_partitions.blocks_incoming(stream.host):
            return
        for frame in batch:
            self._counters.count_received(frame.kind, frame.size)
        self._receiver.write_messages(
            self._links.get_link(stream.host), batch, now
        )

    def handle_protocol_error(
        self, stream: peer_streams.Stream, error: frames.FrameError
    ) -> None:
        """Closes a stream whose peer violated the protocol."""
        self._close_invalid(stream, str(error))

    def handle_disconnected(self, stream: peer_streams.Stream) -> None:
        """Removes a closed stream and reports its unanswered sub-requests."""
        self._streams.discard(stream)
        if self._all_disconnected is not None and not self._streams:
            self._all_disconnected.set()
        if stream.host is None:
            return
        link = self._links.get_link(stream.host)
        link.streams.remove(stream)
        unanswered = link.pop_unanswered(stream, self._clock.read_monotonic())
        _LOG.info(
            "peer stream ended",
            extra=_describe(stream) | {"unanswered": len(unanswered)},
        )
        self._encoder.report_unanswered(
            unanswered,
            verdicts.Verdict.MAY_HAVE_RUN,
            f"the stream to {stream.host} broke before the reply",
        )
        if not link.streams:
            self._links.publish(link, connected=False)
            self._links.remove_undeclared()

    # Sending.

    def _write(
        self,
        link: peer_links.Link,
        stream: peer_streams.Stream,
        batch: list[peer_links.OutgoingMessage],
    ) -> None:
        is_blocked = self._injected_partitions.blocks_outgoing(link.host)
        available_bytes = peer_links.MAX_QUEUED_BYTES - stream.buffered
        payloads, dropped = [], []
        for outgoing in batch:
            size = len(outgoing.payload)
            if size > available_bytes:
                dropped.append(outgoing)
                continue
            available_bytes -= size
            message = outgoing.message
            if type(message) is requests.SubRequest:
                link.record_sent(message, stream)
            elif type(message) is requests.Cancel:
                link.remove_unanswered(message.attempt_id)
            if not is_blocked:
                payloads.append(outgoing.payload)
                self._counters.count_sent(outgoing.kind, size)
        if payloads:
            stream.write(b"".join(payloads))
        if dropped:
            self._encoder.drop_messages(
                dropped, "the send buffer of this host is full"
            )
        if link.has_unanswered:
            self._schedule_sweep()

    def _enqueue(
        self, link: peer_links.Link, batch: list[peer_links.OutgoingMessage]
    ) -> None:
        address = self._links.find_address(link)
        now = self._clock.read_monotonic()
        if address is None or (not link.connecting and now < link.retry_at):
            self._encoder.drop_messages(
                batch, f"host {link.host!r} is not connected"
            )
            return
        dropped = [outgoing for outgoing in batch if not link.enqueue(outgoing)]
        if dropped:
            self._encoder.drop_messages(
                dropped, "the queue of messages to this host is full"
            )
        if not link.connecting and link.has_queued:
            link.connecting = True
            task = self._loop.create_task(self._connect(link, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    # Connecting.

    async def _connect(self, link: peer_links.Link, address: str) -> None:
        stream = peer_streams.Stream(
            callbacks=self,
            clock=self._clock,
            own_host=self._settings.host,
            expected_host=link.host,
            dialled_address=address,
        )
        detail = "the stream was closed during the handshake"
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await self._dial(stream, link, address)
        except (OSError, TimeoutError, ValueError) as error:
            detail = str(error) or "connect or handshake timed out"
        finally:
            link.connecting = False
        if stream.host is not None:
            return
        stream.abort()
        now = self._clock.read_monotonic()
        link.extend_backoff(now)
        if link.failures == 1:
            _LOG.warning(
                "connection to peer failed",
                extra={"peer": link.host, "address": address, "reason": detail},
            )
        self._encoder.drop_messages(
            self._encoder.reencode_queued(link.pop_queued(), now),
            f"{address}: {detail}",
        )

    async def _dial(
        self, stream: peer_streams.Stream, link: peer_links.Link, address: str
    ) -> None:
        if (
            link.host is not None
            and self._injected_partitions.blocks_connecting(link.host)
        ):
            await asyncio.sleep(2 * _CONNECT_TIMEOUT_S)
        ip, port = peer_streams.parse_address(address)
        own_ip, _ = peer_streams.parse_address(self._settings.peer_address)
        await self._loop.create_connection(
            lambda: stream, ip, port, local_addr=(own_ip, 0)
        )
        await stream.handshake_done

    def _send_hello(self, stream: peer_streams.Stream) -> None:
        hello = self._encoder.encode(peer_handshake.build_hello(self._settings))
        self._counters.count_sent(hello.kind, len(hello.payload))
        stream.write(hello.payload)

    def _check_hello_received(self, stream: peer_streams.Stream) -> None:
        if stream.host is None and stream in self._streams:
            _LOG.info("no hello before the timeout", extra=_describe(stream))
            stream.abort()

    def _close_invalid(self, stream: peer_streams.Stream, reason: str) -> None:
        _LOG.warning(
            "invalid peer stream closed",
            extra=_describe(stream) | {"reason": reason},
        )
        stream.abort()

    # Expiry of unanswered sub-requests.

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(
                _SWEEP_PERIOD_S, self._sweep
            )

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self._clock.read_monotonic()
        links = self._links.list_links()
        for link in links:
            link.remove_expired(now)
        if any(link.has_unanswered for link in links):
            self._schedule_sweep()


def _describe(stream: peer_streams.Stream) -> dict[str, object]:
    return {
        "peer": stream.host,
        "remote": stream.remote,
        "dialled": stream.dialled_address is not None,
    }
