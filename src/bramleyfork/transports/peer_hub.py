"""All streams of one host: connecting, sending and receiving."""

import asyncio
import contextlib
import logging

from bramleyfork.codecs import frames
from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import clocks
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_cuts
from bramleyfork.transports import peer_handshake
from bramleyfork.transports import peer_inbox
from bramleyfork.transports import peer_link_table
from bramleyfork.transports import peer_links
from bramleyfork.transports import peer_outbox
from bramleyfork.transports import peer_streams

_LOG = logging.getLogger(__name__)

_CONNECT_LIMIT_S = 1.0  # For the connection and the other side's hello.
_SWEEP_PERIOD_S = 1.0
_CLOSE_LIMIT_S = 0.5


class PeerHub:
    """Keeps a link per host; used by the event loop's thread only.

    Args:
      settings: Settings of the daemon.
      clock: Source of monotonic time.
      links: Finds the link of a host.
      outbox: Encodes messages and reports those that cannot be sent.
      inbox: Takes received messages.
      counters: Traffic by kind.
      cuts: Hosts with which traffic is cut.
    """

    __slots__ = (
        "_settings",
        "_clock",
        "_links",
        "_outbox",
        "_inbox",
        "_counters",
        "_cuts",
        "_streams",
        "_touched",
        "_tasks",
        "_sweep_timer",
        "_all_lost",
        "_loop",
    )

    def __init__(
        self,
        *,
        settings: daemon_settings.Settings,
        clock: clocks.Clock,
        links: peer_link_table.LinkTable,
        outbox: peer_outbox.Outbox,
        inbox: peer_inbox.Inbox,
        counters: peer_counters.Counters,
        cuts: peer_cuts.Cuts,
    ):
        self._settings = settings
        self._clock = clock
        self._links = links
        self._outbox = outbox
        self._inbox = inbox
        self._counters = counters
        self._cuts = cuts
        self._streams: set[peer_streams.Stream] = set()
        self._touched: dict[peer_links.Link, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._all_lost: asyncio.Event | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Binds the hub to the running event loop."""
        self._loop = asyncio.get_running_loop()

    async def stop(self) -> None:
        """Closes all streams, sending first what was handed to them."""
        for task in list(self._tasks):
            task.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for stream in list(self._streams):
            stream.close()
        if self._streams:
            self._all_lost = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_lost.wait(), _CLOSE_LIMIT_S)
        for stream in list(self._streams):
            stream.abort()
        await asyncio.sleep(0)

    def begin(self) -> None:
        """Prepares a turn of sends."""
        self._cuts.refresh(self._clock.read_monotonic())
        self._links.refresh()

    def send(self, message: records.Record, host: str) -> None:
        """Queues a message for one host."""
        outgoing = self._outbox.encode(message)
        if outgoing is None:
            return
        link = self._links.find_link(host)
        if link is None:
            self._outbox.refuse([outgoing], f"no address of host {host!r}")
            return
        link.batch.append(outgoing)
        self._touched[link] = None

    def send_every(self, message: records.Record) -> None:
        """Queues a message for each connected host, or for each seed."""
        outgoing = self._outbox.encode(message)
        if outgoing is None:
            return
        for link in self._links.list_every():
            link.batch.append(outgoing)
            self._touched[link] = None

    def flush(self) -> None:
        """Hands each host's queued messages over in one write."""
        touched, self._touched = self._touched, {}
        for link in touched:
            stream = link.find_stream()
            if stream is None:
                self._hold(link, link.take_batch())
            else:
                self._write(link, stream, link.take_batch())

    # Streams report here.

    def build_stream(self) -> peer_streams.Stream:
        """Returns the protocol of an accepted connection."""
        return peer_streams.Stream(
            hub=self, clock=self._clock, own_host=self._settings.host
        )

    def handle_open(self, stream: peer_streams.Stream) -> None:
        """Sends the hello of the side that dialled."""
        self._streams.add(stream)
        if stream.dialled is not None:
            self._greet(stream)
            return
        self._loop.call_later(_CONNECT_LIMIT_S, self._check_greeted, stream)

    def handle_hello(
        self, stream: peer_streams.Stream, frame: frames.Frame
    ) -> None:
        """Accepts or closes a stream."""
        hello = frame.message
        self._counters.count_in(frame.kind, frame.size)
        reason = peer_handshake.find_fault(
            hello, expected=stream.expected, settings=self._settings
        )
        if reason is not None:
            self._close_invalid(stream, reason)
            return
        now = self._clock.read_monotonic()
        self._cuts.refresh(now)
        if self._cuts.is_cut(hello.host):
            return
        if stream.dialled is None:
            self._greet(stream)
        stream.accept(hello)
        link = self._links.adopt(stream)
        # A new process of that host has replaced the one before.
        for other in list(link.streams):
            if other.incarnation != hello.incarnation:
                other.abort()
        link.streams.append(stream)
        link.note_connected()
        self._links.publish(link, connected=True)
        _LOG.info("stream up", extra=_describe(stream))
        self._write(link, stream, self._outbox.renew(link.take_held(), now))

    def handle_frames(
        self, stream: peer_streams.Stream, batch: list[frames.Frame]
    ) -> None:
        """Passes messages on unless the sender is cut off."""
        now = self._clock.read_monotonic()
        self._cuts.refresh(now)
        if self._cuts.is_in_cut(stream.host):
            return
        for frame in batch:
            self._counters.count_in(frame.kind, frame.size)
        self._inbox.put(self._links.get_link(stream.host), batch, now)

    def handle_invalid(
        self, stream: peer_streams.Stream, error: frames.FrameError
    ) -> None:
        """Closes a stream that carries something else than messages."""
        self._close_invalid(stream, str(error))

    def handle_lost(self, stream: peer_streams.Stream) -> None:
        """Reports the sub-requests that were unanswered on the stream."""
        self._streams.discard(stream)
        if self._all_lost is not None and not self._streams:
            self._all_lost.set()
        if stream.host is None:
            return
        link = self._links.get_link(stream.host)
        link.streams.remove(stream)
        lost = link.take_lost(stream, self._clock.read_monotonic())
        _LOG.info(
            "stream down", extra=_describe(stream) | {"unanswered": len(lost)}
        )
        self._outbox.report_lost(
            lost,
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
        batch: list[peer_links.Outgoing],
    ) -> None:
        is_cut = self._cuts.is_out_cut(link.host)
        room = peer_links.OUTGOING_LIMIT - stream.buffered
        payloads, refused = [], []
        for outgoing in batch:
            size = len(outgoing.payload)
            if size > room:
                refused.append(outgoing)
                continue
            room -= size
            message = outgoing.message
            if type(message) is requests.SubRequest:
                link.note_sent(message, stream)
            elif type(message) is requests.Cancel:
                link.forget(message.attempt_id)
            if not is_cut:
                payloads.append(outgoing.payload)
                self._counters.count_out(outgoing.kind, size)
        if payloads:
            stream.write(b"".join(payloads))
        if refused:
            self._outbox.refuse(refused, "too many bytes wait for this host")
        if link.has_outstanding:
            self._order_sweep()

    def _hold(
        self, link: peer_links.Link, batch: list[peer_links.Outgoing]
    ) -> None:
        address = self._links.find_address(link)
        now = self._clock.read_monotonic()
        if address is None or (not link.connecting and now < link.retry_at):
            self._outbox.refuse(batch, f"no stream to host {link.host!r}")
            return
        refused = [outgoing for outgoing in batch if not link.hold(outgoing)]
        if refused:
            self._outbox.refuse(refused, "too many bytes wait for this host")
        if not link.connecting and link.holds_messages:
            link.connecting = True
            task = self._loop.create_task(self._connect(link, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    # Connecting.

    async def _connect(self, link: peer_links.Link, address: str) -> None:
        stream = peer_streams.Stream(
            hub=self,
            clock=self._clock,
            own_host=self._settings.host,
            expected=link.host,
            dialled=address,
        )
        detail = "the other side closed the stream"
        try:
            async with asyncio.timeout(_CONNECT_LIMIT_S):
                await self._dial(stream, link, address)
        except (OSError, TimeoutError, ValueError) as error:
            detail = str(error) or "no answer in time"
        finally:
            link.connecting = False
        if stream.host is not None:
            return
        stream.abort()
        now = self._clock.read_monotonic()
        link.note_failure(now)
        if link.failures == 1:
            _LOG.warning(
                "no stream to a peer",
                extra={"peer": link.host, "address": address, "reason": detail},
            )
        self._outbox.refuse(
            self._outbox.renew(link.take_held(), now), f"{address}: {detail}"
        )

    async def _dial(
        self, stream: peer_streams.Stream, link: peer_links.Link, address: str
    ) -> None:
        if link.host is not None and self._cuts.is_cut(link.host):
            await asyncio.sleep(2 * _CONNECT_LIMIT_S)
        ip, port = peer_streams.parse_address(address)
        own_ip, _ = peer_streams.parse_address(self._settings.peer_address)
        await self._loop.create_connection(
            lambda: stream, ip, port, local_addr=(own_ip, 0)
        )
        await stream.ready

    def _greet(self, stream: peer_streams.Stream) -> None:
        hello = self._outbox.encode(peer_handshake.build_hello(self._settings))
        self._counters.count_out(hello.kind, len(hello.payload))
        stream.write(hello.payload)

    def _check_greeted(self, stream: peer_streams.Stream) -> None:
        if stream.host is None and stream in self._streams:
            _LOG.info("no hello in time", extra=_describe(stream))
            stream.abort()

    def _close_invalid(self, stream: peer_streams.Stream, reason: str) -> None:
        _LOG.warning(
            "stream closed", extra=_describe(stream) | {"reason": reason}
        )
        stream.abort()

    # Deadlines.

    def _order_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(
                _SWEEP_PERIOD_S, self._sweep
            )

    def _sweep(self) -> None:
        self._sweep_timer = None
        now = self._clock.read_monotonic()
        links = self._links.list_links()
        for link in links:
            link.forget_expired(now)
        if any(link.has_outstanding for link in links):
            self._order_sweep()


def _describe(stream: peer_streams.Stream) -> dict[str, object]:
    return {
        "peer": stream.host,
        "remote": stream.remote,
        "dialled": stream.dialled is not None,
    }
