"""Exchanges the feed between entry hosts over record streams.

A host that doesn't read the feed from the platform's store reads it from
another host. Each host answers the listings and watches of others from its own
copy of the feed, in the same way as the store does.
"""

import asyncio

from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry import parts
from bramleyfork.entry.transports import _links
from bramleyfork.entry.transports import _records

# A host refuses reads of others if its own last successful read is older than
# this.
_STALE_S = 3.5


@parts.register(
    parts.TRANSPORTS,
    "feed_peers",
    reads=("feed_reads", "feed_state"),
    peeks=("feed_entries",),
    writes=("peer_feed_results",),
)
class FeedPeers(parts.Part):
    """Reads the feed from another host and answers reads of other hosts."""

    __slots__ = (
        "_loop",
        "_server",
        "_link",
        "_link_address",
        "_accepted",
        "_asked",
        "_tasks",
        "_waiting",
        "_changes",
        "_encoder",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._link: _links.Link | None = None
        self._link_address: tuple[str, int] | None = None
        self._accepted: set[_links.Link] = set()
        self._asked: feeds.FeedRead | None = None
        self._tasks: set[asyncio.Task] = set()
        self._waiting: list[_Waiting] = []
        # Cache of the last list of changes, as its key and the list.
        self._changes: tuple[tuple, tuple[feeds.Change, ...]] = ((), ())
        self._encoder = _records.Encoder()

    async def open(self) -> None:
        """Listens for streams of other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._accept, *self.context.settings.peer_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        self._drop_link()
        for link in list(self._accepted):
            link.close()

    def _accept(self) -> _links.Link:
        link = _links.Link(
            take=self._take_read,
            closed=self._accepted.discard,
            encode=self._encoder.encode,
        )
        self._accepted.add(link)
        return link

    def step(self, now: float) -> float | None:
        """Sends new reads, and answers watches for which there is a change.

        A watch without a change is answered by a timer at the end of its wait.

        Args:
          now: Monotonic time in seconds.

        Returns:
          None: the transport is woken by changes only.
        """
        for read in self.take("feed_reads"):
            if read.source is not None:
                self._ask(read)
        still = []
        for waiting in self._waiting:
            result = self._find_result(waiting, now)
            if result is None:
                still.append(waiting)
            else:
                waiting.link.send(result)
        self._waiting = still
        return None

    # Reads from another host.

    def _ask(self, read: feeds.FeedRead) -> None:
        self._asked = read
        task = self._loop.create_task(self._send_read(read))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Has no effect if the result has arrived by then.
        self._loop.call_later(
            read.limit_s, self._report_lost, read, "no result in time"
        )

    async def _send_read(self, read: feeds.FeedRead) -> None:
        try:
            if self._link is None or self._link_address != read.source:
                self._drop_link()
                async with asyncio.timeout(read.limit_s):
                    _, self._link = await self._loop.create_connection(
                        lambda: _links.Link(
                            take=self._take_result, closed=self._note_closed
                        ),
                        *read.source,
                    )
                self._link_address = read.source
            self._link.send(read)
        except (OSError, TimeoutError) as error:
            self._report_lost(read, type(error).__name__)

    def _report_lost(self, read: feeds.FeedRead, detail: str) -> None:
        if read is not self._asked:
            return
        self._asked = None
        self._drop_link()
        self.writer("peer_feed_results").append(
            feeds.FeedResult(
                number=read.number, status=feeds.LOST, detail=detail
            )
        )

    def _take_result(self, link: _links.Link, result: feeds.FeedResult) -> None:
        if link is not self._link or not isinstance(result, feeds.FeedResult):
            link.refuse(
                "unexpected record; expected a FeedResult on the current stream"
            )
            return
        self._asked = None
        now = self._loop.time()
        changes = tuple(_shift_change(c, now) for c in result.changes)
        self.writer("peer_feed_results").append(result.replace(changes=changes))

    def _note_closed(self, link: _links.Link) -> None:
        if link is self._link and self._asked is not None:
            self._report_lost(self._asked, "connection lost")

    def _drop_link(self) -> None:
        if self._link is not None:
            self._link.close()
        self._link = None
        self._link_address = None

    # Reads by other hosts.

    def _take_read(self, link: _links.Link, read: feeds.FeedRead) -> None:
        if not isinstance(read, feeds.FeedRead):
            link.refuse("expected a FeedRead record")
            return
        now = self._loop.time()
        waiting = _Waiting(link=link, read=read, until=now + read.wait_s)
        result = self._find_result(waiting, now)
        if result is not None:
            link.send(result)
            return
        self._waiting.append(waiting)
        self._loop.call_later(read.wait_s, self._wake, waiting)

    def _wake(self, waiting: "_Waiting") -> None:
        if waiting not in self._waiting:
            return
        self._waiting.remove(waiting)
        result = self._find_result(waiting, waiting.until)
        if result is not None:
            waiting.link.send(result)

    def _find_result(
        self, waiting: "_Waiting", now: float
    ) -> feeds.FeedResult | None:
        """Returns the result of a read, or None while a watch has to wait."""
        read = waiting.read
        state = self.table("feed_state").get("current")
        if not _has_news(state, now):
            return feeds.FeedResult(
                number=read.number, status=feeds.REFUSED, detail="stale"
            )
        if read.kind == feeds.LIST:
            return self._build_result(read, state, now, after=None)
        if read.after_revision < state.kept_after:
            return feeds.FeedResult(number=read.number, status=feeds.GONE)
        if state.revision > read.after_revision or now >= waiting.until:
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
            lapse_s=max(0.0, state.lapse_until - now),
            age_s=now - state.heard_at,
            hops=state.hops,
        )

    def _list_changes(
        self, after: int | None, now: float
    ) -> tuple[feeds.Change, ...]:
        """Returns the changes after a revision.

        The last list is cached, so that hosts that wait for the same change
        share its records and their encoding.

        Args:
          after: The revision; None for all current entries, without removals.
          now: Monotonic time in seconds.
        """
        entries = self.table("feed_entries")
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


def _has_news(state: feeds.FeedState | None, now: float) -> bool:
    """Returns whether this host may answer reads of other hosts.

    It may while its copy of the feed is current: a source answers, the last
    successful read is recent, and the host is not too many hops from the store.
    """
    return (
        state is not None
        and not state.is_lost
        and not state.is_far
        and now - state.heard_at <= _STALE_S
    )


class _Waiting:
    """A read by another host that has not been answered.

    Attributes:
      link: The stream on which the result is sent.
      read: The read.
      until: Monotonic time at which the wait for a change ends.
    """

    __slots__ = ("link", "read", "until")

    def __init__(
        self, *, link: _links.Link, read: feeds.FeedRead, until: float
    ):
        self.link = link
        self.read = read
        self.until = until


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
