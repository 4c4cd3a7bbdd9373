"""The transport of the feed between hosts: streams of msgpack.

A host answers reads of others from what its own feed holds, in the same way as
the platform's store answers a listing or a watch.
"""

import asyncio

from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry.transports import _record_codec
from bramleyfork.entry.transports import _record_streams

# A host that has heard nothing for this long has no news to give.
_STALE_S = 3.5


@components.register(
    components.TRANSPORTS,
    "feed_peers",
    reads=("feed_reads", "feed_state"),
    passive_reads=("feed_entries",),
    writes=("peer_feed_results",),
)
class FeedPeerTransport(components.Component):
    """Asks other hosts for the feed and answers their reads."""

    __slots__ = (
        "_loop",
        "_server",
        "_stream",
        "_stream_address",
        "_accepted",
        "_asked",
        "_tasks",
        "_pending_watches",
        "_changes",
        "_encoder",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._stream: _record_streams.RecordStream | None = None
        self._stream_address: tuple[str, int] | None = None
        self._accepted: set[_record_streams.RecordStream] = set()
        self._asked: feeds.FeedRead | None = None
        self._tasks: set[asyncio.Task] = set()
        self._pending_watches: list[_PendingWatch] = []
        # The changes listed last, with the question.
        self._changes: tuple[tuple, tuple[feeds.Change, ...]] = ((), ())
        self._encoder = _record_codec.CachingEncoder()

    async def open(self) -> None:
        """Listens for other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._accept, *self.context.settings.peer_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        self._drop_stream()
        for stream in list(self._accepted):
            stream.close()

    def _accept(self) -> _record_streams.RecordStream:
        stream = _record_streams.RecordStream(
            on_record=self._take_read,
            on_closed=self._accepted.discard,
            encode=self._encoder.encode,
        )
        self._accepted.add(stream)
        return stream

    def step(self, now: float) -> float | None:
        """Sends reads, and answers those whose change has come.

        A timer of its own ends each watch that stays quiet.
        """
        for read in self.read_new_records("feed_reads"):
            if read.source is not None:
                self._ask(read)
        still = []
        for pending_watch in self._pending_watches:
            result = self._find_result(pending_watch, now)
            if result is None:
                still.append(pending_watch)
            else:
                pending_watch.stream.send(result)
        self._pending_watches = still
        return None

    # Asking.

    def _ask(self, read: feeds.FeedRead) -> None:
        self._asked = read
        task = self._loop.create_task(self._send_read(read))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # If the result came before, this report is not taken.
        self._loop.call_later(
            read.limit_s, self._report_lost, read, "no answer"
        )

    async def _send_read(self, read: feeds.FeedRead) -> None:
        try:
            if self._stream is None or self._stream_address != read.source:
                self._drop_stream()
                async with asyncio.timeout(read.limit_s):
                    _, self._stream = await self._loop.create_connection(
                        lambda: _record_streams.RecordStream(
                            on_record=self._take_result,
                            on_closed=self._note_closed,
                        ),
                        *read.source,
                    )
                self._stream_address = read.source
            self._stream.send(read)
        except (OSError, TimeoutError) as error:
            self._report_lost(read, type(error).__name__)

    def _report_lost(self, read: feeds.FeedRead, detail: str) -> None:
        if read is not self._asked:
            return
        self._asked = None
        self._drop_stream()
        self.get_writer("peer_feed_results").append(
            feeds.FeedResult(
                number=read.number, status=feeds.LOST, detail=detail
            )
        )

    def _take_result(
        self, stream: _record_streams.RecordStream, result: feeds.FeedResult
    ) -> None:
        if stream is not self._stream or not isinstance(
            result, feeds.FeedResult
        ):
            stream.close_with_error("no result of a read")
            return
        self._asked = None
        now = self._loop.time()
        changes = tuple(_shift_change(c, now) for c in result.changes)
        self.get_writer("peer_feed_results").append(
            result.replace(changes=changes)
        )

    def _note_closed(self, stream: _record_streams.RecordStream) -> None:
        if stream is self._stream and self._asked is not None:
            self._report_lost(self._asked, "connection lost")

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
        self._stream = None
        self._stream_address = None

    # Answering.

    def _take_read(
        self, stream: _record_streams.RecordStream, read: feeds.FeedRead
    ) -> None:
        if not isinstance(read, feeds.FeedRead):
            stream.close_with_error("no read")
            return
        now = self._loop.time()
        pending_watch = _PendingWatch(
            stream=stream, read=read, until=now + read.wait_s
        )
        result = self._find_result(pending_watch, now)
        if result is not None:
            stream.send(result)
            return
        self._pending_watches.append(pending_watch)
        self._loop.call_later(read.wait_s, self._wake, pending_watch)

    def _wake(self, pending_watch: "_PendingWatch") -> None:
        if pending_watch not in self._pending_watches:
            return
        self._pending_watches.remove(pending_watch)
        result = self._find_result(pending_watch, pending_watch.until)
        if result is not None:
            pending_watch.stream.send(result)

    def _find_result(
        self, pending_watch: "_PendingWatch", now: float
    ) -> feeds.FeedResult | None:
        """Returns the answer to a read, or None while it has to wait."""
        read = pending_watch.read
        state = self.get_table("feed_state").get("current")
        if not _can_answer_reads(state, now):
            return feeds.FeedResult(
                number=read.number, status=feeds.REFUSED, detail="stale"
            )
        if read.kind == feeds.LIST:
            return self._build_result(read, state, now, after=None)
        if read.after_revision < state.compact_revision:
            return feeds.FeedResult(number=read.number, status=feeds.GONE)
        if state.revision > read.after_revision or now >= pending_watch.until:
            return self._build_result(
                read, state, now, after=read.after_revision
            )
        return None

    def _build_result(
        self,
        read: feeds.FeedRead,
        state: feeds.FeedState,
        now: float,
        *,
        after: int | None,
    ) -> feeds.FeedResult:
        changes = ()
        if after is None or state.revision > after:
            changes = self._list_changes(after, now)
        return feeds.FeedResult(
            number=read.number,
            status=feeds.OK,
            revision=state.revision,
            changes=changes,
            lapse_s=max(0.0, state.removal_grace_until - now),
            age_s=now - state.synced_at,
            hops=state.hops,
        )

    def _list_changes(
        self, after: int | None, now: float
    ) -> tuple[feeds.Change, ...]:
        """Returns what changed after a revision; None for all that there is.

        Hosts that wait for the same change get the same records.
        """
        entries = self.get_table("feed_entries")
        key = (entries.version, after, now)
        if key != self._changes[0]:
            changes = tuple(
                _shift_change(change, -now)
                for change in entries.list_records()
                if change.revision > (after or 0)
                and not (after is None and change.is_removed)
            )
            self._changes = key, changes
        return self._changes[1]


def _can_answer_reads(state: feeds.FeedState | None, now: float) -> bool:
    """Returns whether a host's word counts for the store's."""
    return (
        state is not None
        and not state.is_lost
        and not state.exceeds_hop_limit
        and now - state.synced_at <= _STALE_S
    )


class _PendingWatch:
    """A watch of another host that has not been answered."""

    __slots__ = ("stream", "read", "until")

    def __init__(
        self,
        *,
        stream: _record_streams.RecordStream,
        read: feeds.FeedRead,
        until: float,
    ):
        self.stream = stream
        self.read = read
        self.until = until


def _shift_change(change: feeds.Change, by: float) -> feeds.Change:
    """Moves a target's time of warmth between clocks of two hosts.

    On the wire it is the time left, in seconds.
    """
    target = change.content
    if not isinstance(target, declarations.ListedTarget):
        return change
    if not target.warm_at:
        return change
    warm_at = max(0.0, target.warm_at + by)
    return change.replace(content=target.replace(warm_at=warm_at))
