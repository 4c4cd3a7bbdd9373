"""Exchanges the feed between entry hosts over record streams.

A host that doesn't read the feed from the platform's store reads it from
another host. Each host answers the listings and watches of others from its own
copy of the feed, in the same way as the store does.
"""

import asyncio

from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry.transports import _accepted_streams
from bramleyfork.entry.transports import _record_codec
from bramleyfork.entry.transports import _record_streams
from bramleyfork.listeners import sockets

# A host refuses reads of others if its own last successful read is older than
# this.
_MAX_FEED_AGE_S = 3.5
_MAX_WAIT_S = 30.0  # Longest wait for a change, whatever a read asks for.
_MAX_READ_FRAME_BYTES = 64 * 1024  # A read has a few short fields.
_MAX_RESULT_FRAME_BYTES = 32 * 1024 * 1024  # A listing of the whole feed.


@components.register(
    components.TRANSPORTS,
    "feed_peers",
    reads=("feed_reads", "feed_state"),
    passive_reads=("feed_entries",),
    writes=("peer_feed_results",),
)
class FeedPeerTransport(components.Component):
    """Reads the feed from another host and answers reads of other hosts."""

    __slots__ = (
        "_loop",
        "_server",
        "_stream",
        "_stream_address",
        "_accepted_streams",
        "_pending_read",
        "_tasks",
        "_pending_watches",
        "_cached_changes",
        "_encoder",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._stream: _record_streams.RecordStream | None = None
        self._stream_address: tuple[str, int] | None = None
        self._accepted_streams: set[_record_streams.RecordStream] = set()
        self._pending_read: feeds.FeedRead | None = None
        self._tasks: set[asyncio.Task] = set()
        self._pending_watches: list[_PendingWatch] = []
        # Cache of the last list of changes, as its key and the list.
        self._cached_changes: tuple[tuple, tuple[feeds.Change, ...]] = ((), ())
        self._encoder = _record_codec.CachingEncoder()

    async def open(self) -> None:
        """Listens for streams of other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await sockets.open_server(
            self._accept, self.context.settings.peer_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        self._drop_stream()
        for stream in list(self._accepted_streams):
            stream.close()

    def _accept(self) -> _record_streams.RecordStream:
        stream = _accepted_streams.AcceptedStream(
            connections=self.context.connections,
            max_frame_bytes=_MAX_READ_FRAME_BYTES,
            on_record=self._handle_read,
            on_closed=self._accepted_streams.discard,
            encode=self._encoder.encode,
        )
        self._accepted_streams.add(stream)
        return stream

    def step(self, now: float) -> float | None:
        """Sends new reads, and answers watches for which there is a change.

        A watch without a change is answered by a timer at the end of its wait.

        Args:
          now: Monotonic time in seconds.

        Returns:
          None: the transport is woken by changes only.
        """
        for read in self.read_new_records("feed_reads"):
            if read.source is not None:
                self._start_read(read)
        unanswered = []
        for pending_watch in self._pending_watches:
            result = self._find_result(pending_watch, now)
            if result is None:
                unanswered.append(pending_watch)
            else:
                pending_watch.stream.send(result)
        self._pending_watches = unanswered
        return None

    # Reads from another host.

    def _start_read(self, read: feeds.FeedRead) -> None:
        self._pending_read = read
        task = self._loop.create_task(self._send_read(read))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Has no effect if the result has arrived by then.
        self._loop.call_later(
            read.limit_s, self._report_lost, read, "no result in time"
        )

    async def _send_read(self, read: feeds.FeedRead) -> None:
        try:
            if self._stream is None or self._stream_address != read.source:
                self._drop_stream()
                async with asyncio.timeout(read.limit_s):
                    _, self._stream = await self._loop.create_connection(
                        lambda: _record_streams.RecordStream(
                            max_frame_bytes=_MAX_RESULT_FRAME_BYTES,
                            on_record=self._handle_result,
                            on_closed=self._handle_closed,
                        ),
                        *read.source,
                    )
                self._stream_address = read.source
            self._stream.send(read)
        except (OSError, TimeoutError) as error:
            self._report_lost(read, type(error).__name__)

    def _report_lost(self, read: feeds.FeedRead, detail: str) -> None:
        if read is not self._pending_read:
            return
        self._pending_read = None
        self._drop_stream()
        self.get_writer("peer_feed_results").append(
            feeds.FeedResult(
                number=read.number, status=feeds.LOST, detail=detail
            )
        )

    def _handle_result(
        self, stream: _record_streams.RecordStream, result: feeds.FeedResult
    ) -> None:
        if stream is not self._stream or not isinstance(
            result, feeds.FeedResult
        ):
            stream.close_with_error(
                "unexpected record; expected a FeedResult on the current stream"
            )
            return
        self._pending_read = None
        now = self._loop.time()
        changes = tuple(_shift_change(c, now) for c in result.changes)
        self.get_writer("peer_feed_results").append(
            result.replace(changes=changes)
        )

    def _handle_closed(self, stream: _record_streams.RecordStream) -> None:
        if stream is self._stream and self._pending_read is not None:
            self._report_lost(self._pending_read, "connection lost")

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
        self._stream = None
        self._stream_address = None

    # Reads by other hosts.

    def _handle_read(
        self, stream: _record_streams.RecordStream, read: feeds.FeedRead
    ) -> None:
        if not isinstance(read, feeds.FeedRead):
            stream.close_with_error("expected a FeedRead record")
            return
        now = self._loop.time()
        wait_s = min(read.wait_s, _MAX_WAIT_S)
        pending_watch = _PendingWatch(
            stream=stream, read=read, wait_until=now + wait_s
        )
        result = self._find_result(pending_watch, now)
        if result is not None:
            stream.send(result)
            return
        self._pending_watches.append(pending_watch)
        self._loop.call_later(wait_s, self._handle_watch_timeout, pending_watch)

    def _handle_watch_timeout(self, pending_watch: "_PendingWatch") -> None:
        if pending_watch not in self._pending_watches:
            return
        self._pending_watches.remove(pending_watch)
        result = self._find_result(pending_watch, pending_watch.wait_until)
        if result is not None:
            pending_watch.stream.send(result)

    def _find_result(
        self, pending_watch: "_PendingWatch", now: float
    ) -> feeds.FeedResult | None:
        """Returns the result of a read, or None while a watch has to wait."""
        read = pending_watch.read
        state = self.get_table("feed_state").get("current")
        if not _can_answer_reads(state, now):
            return feeds.FeedResult(
                number=read.number, status=feeds.REFUSED, detail="stale"
            )
        if read.kind == feeds.LIST:
            return self._build_result(read, state, now, after=None)
        if read.after_era > state.era:
            return feeds.FeedResult(
                number=read.number, status=feeds.REFUSED, detail="older era"
            )
        if read.after < state.compact_position:
            return feeds.FeedResult(number=read.number, status=feeds.GONE)
        if state.position > read.after or now >= pending_watch.wait_until:
            return self._build_result(read, state, now, after=read.after)
        return None

    def _build_result(
        self,
        read: feeds.FeedRead,
        state: feeds.FeedState,
        now: float,
        *,
        after: feeds.Position | None,
    ) -> feeds.FeedResult:
        changes = ()
        if after is None or state.position > after:
            changes = self._list_changes(after, now)
        return feeds.FeedResult(
            number=read.number,
            status=feeds.OK,
            revision=state.revision,
            changes=changes,
            lapse_s=max(0.0, state.removal_grace_until - now),
            age_s=now - state.synced_at,
            hops=state.hops,
            era=state.era,
        )

    def _list_changes(
        self, after: feeds.Position | None, now: float
    ) -> tuple[feeds.Change, ...]:
        """Returns the changes after a position.

        The last list is cached, so that hosts that wait for the same change
        share its records and their encoding.

        Args:
          after: The position; None for all current entries, without removals.
          now: Monotonic time in seconds.
        """
        entries = self.get_table("feed_entries")
        key = (entries.version, after, now)
        if key != self._cached_changes[0]:
            changes = tuple(
                _shift_change(change, -now)
                for change in entries.list_records()
                if _is_listed(change, after)
            )
            self._cached_changes = key, changes
        return self._cached_changes[1]


def _can_answer_reads(state: feeds.FeedState | None, now: float) -> bool:
    """Returns whether this host may answer reads of other hosts.

    It may while its copy of the feed is current: a source answers, the last
    successful read is recent, and the host is not too many hops from the store.
    """
    return (
        state is not None
        and not state.is_lost
        and not state.exceeds_hop_limit
        and now - state.synced_at <= _MAX_FEED_AGE_S
    )


def _is_listed(change: feeds.Change, after: feeds.Position | None) -> bool:
    if after is None:
        return not change.is_removed
    return change.position > after


class _PendingWatch:
    """A read by another host that has not been answered.

    Attributes:
      stream: The stream on which the result is sent.
      read: The read.
      wait_until: Monotonic time at which the wait for a change ends.
    """

    __slots__ = ("stream", "read", "wait_until")

    def __init__(
        self,
        *,
        stream: _record_streams.RecordStream,
        read: feeds.FeedRead,
        wait_until: float,
    ):
        self.stream = stream
        self.read = read
        self.wait_until = wait_until


def _shift_change(change: feeds.Change, by: float) -> feeds.Change:
    """Returns a change with ``warm_at`` of its target shifted.

    The monotonic clocks of two hosts differ, so the remaining time in seconds
    is sent in place of the time itself.

    Args:
      change: The change; it is returned as it is if it has no such time.
      by: Seconds to add: the negative current time before sending, the current
        time after receiving.
    """
    target = change.content
    if not isinstance(target, declarations.ListedTarget):
        return change
    if not target.warm_at:
        return change
    warm_at = max(0.0, target.warm_at + by)
    return change.replace(content=target.replace(warm_at=warm_at))
