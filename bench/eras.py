"""Store calls and time until all hosts agree after a restore of the store.

Run with ``python -m bench.eras``. Each host's feed controller runs in this
process on a manual clock; reads take a fixed time and hosts answer each other
from their own copy of the feed, as ``entry.transports.feed_peers`` does.
"""

import heapq
import itertools
import logging
import random
import typing

from bramleyfork.core import blackboard
from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry import feeds
from bramleyfork.entry import fleet
from bramleyfork.entry import http_headers
from bramleyfork.entry import metrics
from bramleyfork.entry import sections
from bramleyfork.entry import settings
from bramleyfork.entry.controllers import feed
from bramleyfork.listeners import limits

_SIZES = (6, 60, 195)  # Hosts.
_REGIONS = 3
_CENTRES = 6
_STORE_READ_S = 0.01
_PEER_READ_S = 0.02
_STEP_S = 0.01
_STEADY_S = 12.0  # Before the restore.
_OBSERVED_S = 20.0  # After it.
_LOST_S = 4.0  # Age of the copy.
_WRITTEN_AGAIN_S = 1.0  # After the restore.
_WRITES_PER_S = 2.0
_MAX_FEED_AGE_S = 3.5


class Store:
    """A store with one route table and a log of changes.

    Attributes:
      era: Number of restores.
      revision: Revision of the last change.
      version: Version of the route table.
      calls: Number of calls.
    """

    def __init__(self):
        self.era = 0
        self.revision = 1
        self.version = 1
        self.calls = 0
        self._compact_revision = 1

    def write(self) -> None:
        """Writes the next version of the route table."""
        self.revision += 1
        self.version += 1

    def restore(self, copy: tuple[int, int]) -> None:
        """Comes back from a copy, a revision and a version."""
        self.era += 1
        self.revision, self.version = copy
        self._compact_revision = self.revision

    def answer(self, read: feeds.FeedRead) -> feeds.FeedResult | None:
        """Returns the result of a read; None while a watch has to wait."""
        state = {"revision": self.revision, "era": self.era}
        change = feeds.Change(
            key="routes:",
            subject="routes",
            content=declarations.RouteTable(
                version=self.version,
                revision=self.revision,
                routes={},
                services={},
                limits=limits.CallerLimits(),
            ),
            **state,
        )
        status, changes = feeds.OK, (change,)
        if read.kind == feeds.WATCH:
            after = read.after_revision
            if not self._compact_revision <= after <= self.revision:
                status, changes = feeds.GONE, ()
            elif after == self.revision:
                return None
        return feeds.FeedResult(
            number=read.number, status=status, changes=changes, **state
        )


class Host:
    """The feed of one host.

    Attributes:
      name: Name of the host.
      address: Its peer address.
    """

    def __init__(self, *, number: int):
        self.name = f"host-{number}"
        self.address = ("10.0.0.1", number)
        own = settings.Settings(
            host=self.name,
            data_centre=f"centre-{number % _CENTRES}",
            regions={
                f"centre-{n}": f"region-{n % _REGIONS}" for n in range(_CENTRES)
            },
            caller_address=self.address,
            peer_address=self.address,
            carrier_address=self.address,
            retry_limits=settings.RetryBudgetLimits(),
        )
        board = blackboard.Blackboard(sections=sections.SECTIONS)
        self._board = board
        self._results = board.grant_writer("feed_results", "feed_source")
        self._peer_results = board.grant_writer(
            "peer_feed_results", "feed_peers"
        )
        self._members = board.grant_writer("members", "membership")
        self._reads = board.find_log("feed_reads").open_cursor()
        self._feed = feed.Feed(
            board=board,
            context=components.Context(
                settings=own,
                header_names=http_headers.HeaderNames(),
                metrics=metrics.Metrics(),
                incarnation=number,
            ),
        )
        self._due = 0.0

    def add_member(self, host: "Host", number: int) -> None:
        """Adds another host, or this one, to the members."""
        update = fleet.MemberUpdate(
            host=host.name,
            incarnation=1,
            count=1,
            state=fleet.SERVING,
            data_centre=f"centre-{number % _CENTRES}",
            caller_address=host.address,
            peer_address=host.address,
            carrier_address=host.address,
            capacity=1.0,
        )
        self._members.put(
            host.name, fleet.Member(update=update, changed_at=0.0)
        )

    def step(self, now: float, *, is_forced: bool) -> list[feeds.FeedRead]:
        """Steps the controller if it is due; returns its new reads."""
        if is_forced or (self._due is not None and self._due <= now):
            self._due = self._feed.step(now)
        return self._reads.read_new_records()

    def receive(self, read: feeds.FeedRead, result: feeds.FeedResult) -> None:
        """Hands a result to the controller."""
        writer = self._results if read.source is None else self._peer_results
        writer.append(result)

    def answer(
        self, read: feeds.FeedRead, now: float
    ) -> feeds.FeedResult | None:
        """Answers the read of another host; None while a watch waits."""
        state = self.get_state()
        is_stale = state is None or state.is_lost or state.exceeds_hop_limit
        if is_stale or now - state.synced_at > _MAX_FEED_AGE_S:
            return feeds.FeedResult(number=read.number, status=feeds.REFUSED)
        after: feeds.Position = (-1, 0)
        if read.kind == feeds.WATCH:
            after = read.after
            if read.after_era > state.era:
                return feeds.FeedResult(
                    number=read.number, status=feeds.REFUSED
                )
            if after < state.compact_position:
                return feeds.FeedResult(number=read.number, status=feeds.GONE)
            if state.position <= after:
                return None
        entries = self._board.find_table("feed_entries").list_records()
        return feeds.FeedResult(
            number=read.number,
            status=feeds.OK,
            revision=state.revision,
            era=state.era,
            changes=tuple(e for e in entries if e.position > after),
            age_s=now - state.synced_at,
            hops=state.hops,
        )

    def get_state(self) -> feeds.FeedState | None:
        """Returns the state of the feed; None before the first listing."""
        return self._board.find_table("feed_state").get("current")

    def get_version(self) -> int:
        """Returns the version of the route table in force; 0 for none."""
        table = self._board.find_table("route_table").get("current")
        return table.version if table else 0


class Fleet:
    """Hosts, the store, and the reads between them.

    Attributes:
      now: Current time in seconds.
      hosts: The hosts.
      store: The store.
    """

    def __init__(self, *, size: int):
        self.now = 0.0
        self.store = Store()
        self.hosts = [Host(number=number) for number in range(size)]
        self._by_address = {host.address: host for host in self.hosts}
        self._numbers = itertools.count()
        self._pending: list[tuple[float, int, typing.Any]] = []
        for host in self.hosts:
            for number, other in enumerate(self.hosts):
                host.add_member(other, number)

    def play(self, seconds: float, writes: list[float]) -> None:
        """Runs the fleet.

        Args:
          seconds: Duration.
          writes: Times of writes to the store, in order.
        """
        end = self.now + seconds
        while self.now < end:
            while writes and writes[0] <= self.now:
                writes.pop(0)
                self.store.write()
            woken = self._deliver()
            for host in self.hosts:
                for read in host.step(self.now, is_forced=host in woken):
                    self._start(host, read)
            self.now += _STEP_S

    def _start(self, host: Host, read: feeds.FeedRead) -> None:
        if read.source is None:
            self.store.calls += 1
        delay_s = _STORE_READ_S if read.source is None else _PEER_READ_S
        self._push(delay_s, (host, read, self.now + read.wait_s))

    def _push(self, delay_s: float, item: typing.Any) -> None:
        heapq.heappush(
            self._pending, (self.now + delay_s, next(self._numbers), item)
        )

    def _deliver(self) -> set[Host]:
        woken = set()
        due = []
        while self._pending and self._pending[0][0] <= self.now:
            due.append(heapq.heappop(self._pending)[2])
        for host, read, wait_until in due:
            result = self._answer(read)
            if result is None and self.now < wait_until:
                self._push(_STEP_S, (host, read, wait_until))
                continue
            host.receive(read, result or self._answer_unchanged(read))
            woken.add(host)
        return woken

    def _answer(self, read: feeds.FeedRead) -> feeds.FeedResult | None:
        if read.source is None:
            return self.store.answer(read)
        return self._by_address[read.source].answer(read, self.now)

    def _answer_unchanged(self, read: feeds.FeedRead) -> feeds.FeedResult:
        age_s, hops = 0.0, 0
        if read.source is not None:
            state = self._by_address[read.source].get_state()
            age_s, hops = self.now - state.synced_at, state.hops
        return feeds.FeedResult(
            number=read.number,
            status=feeds.OK,
            revision=read.after_revision,
            era=read.after_era,
            age_s=age_s,
            hops=hops,
        )

    def count_in_era(self) -> int:
        """Returns the number of hosts that know the store's era."""
        states = (host.get_state() for host in self.hosts)
        return sum(s is not None and s.era == self.store.era for s in states)

    def count_agreeing(self) -> int:
        """Returns the number of hosts that know the store's last write."""
        position = self.store.era, self.store.revision
        states = (host.get_state() for host in self.hosts)
        return sum(s is not None and s.position == position for s in states)


def measure(size: int) -> None:
    """Prints a row for a fleet of one size."""
    rng = random.Random(size)
    fleet_ = Fleet(size=size)
    interval_s = 1 / _WRITES_PER_S
    times = [
        number * interval_s + rng.uniform(0.0, 0.1)
        for number in range(int(_STEADY_S * _WRITES_PER_S))
    ]
    fleet_.play(_STEADY_S - _LOST_S, [t for t in times if t < _STEADY_S - 4])
    copy = fleet_.store.revision, fleet_.store.version
    fleet_.play(_LOST_S, [t for t in times if t >= _STEADY_S - _LOST_S])
    lost = fleet_.store.revision - copy[0]
    calls_before = fleet_.store.calls
    highest = [host.get_version() for host in fleet_.hosts]
    fleet_.store.restore(copy)
    restored_at = fleet_.now
    in_era_s = agreed_s = None
    calls_of_second = []
    while fleet_.now < restored_at + _OBSERVED_S:
        calls = fleet_.store.calls
        elapsed_s = fleet_.now - restored_at
        writes = []
        if elapsed_s <= _WRITTEN_AGAIN_S < elapsed_s + 0.1:
            writes = [fleet_.now] * lost
        fleet_.play(0.1, writes)
        calls_of_second.append(fleet_.store.calls - calls)
        if in_era_s is None and fleet_.count_in_era() == size:
            in_era_s = fleet_.now - restored_at
        is_written = fleet_.now > restored_at + _WRITTEN_AGAIN_S
        if agreed_s is None and is_written and fleet_.count_agreeing() == size:
            agreed_s = fleet_.now - restored_at - _WRITTEN_AGAIN_S
        found = [host.get_version() for host in fleet_.hosts]
        assert all(b >= a for a, b in zip(highest, found, strict=True))
        highest = found
    calls = fleet_.store.calls - calls_before
    peak = max(
        sum(calls_of_second[i : i + 10]) for i in range(len(calls_of_second))
    )
    print(  # noqa: T201
        f"| {size} | {in_era_s or -1:.1f} | {agreed_s or -1:.1f} |"
        f" {calls} | {peak} |"
    )


def main() -> None:
    """Prints a table with a row for each size."""
    logging.disable()
    print("| hosts | all in the era, s | agree after the writes, s |"  # noqa: T201
          " calls in 20 s | most in 1 s |")  # fmt: skip
    print("| --- | --- | --- | --- | --- |")  # noqa: T201
    for size in _SIZES:
        measure(size)


if __name__ == "__main__":
    main()
