"""The feed's controller against a store that comes back from older copies."""

import hypothesis
from hypothesis import strategies

from bramleyfork.entry import feeds
from bramleyfork.entry.controllers import feed as controller
from tests.entry import boards
from tests.entry.controllers import test_entry_feed as feed_changes

ZONES = ("north", "south")
TARGETS = ("a", "b", "c")
STEADY_S = 80.0
STEP_S = 0.3


class Store:
    """A store, and what operators and targets want it to hold."""

    def __init__(self):
        self.era = 0
        self.revision = 1
        self.items = {}
        self.events = []
        self.compact = 1
        self.copied = (1, {})
        self.version = 0
        self.zones_out = set()
        self.targets = {}
        self.write_config()

    def write(self, change):
        self.revision += 1
        change = change.replace(revision=self.revision, era=self.era)
        self.events.append(change)
        if change.is_removed:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change

    def write_config(self):
        self.version += 1
        self.write(feed_changes.change_routes(self.version, 0))

    def toggle_zone(self, zone):
        self.zones_out ^= {zone}
        is_removed = zone not in self.zones_out
        self.write(
            feed_changes.change_evacuation(zone, 0, is_removed=is_removed)
        )

    def move_target(self, name):
        """A target starts, then drains, then leaves."""
        following = {None: False, False: True, True: None}
        state = following[self.targets.get(name)]
        self.targets[name] = state
        self.write_target(name)

    def write_target(self, name):
        state = self.targets.get(name)
        self.write(
            feed_changes.change_target(
                name, 0, is_removed=state is None, is_draining=bool(state)
            )
        )

    def copy(self):
        self.copied = self.revision, dict(self.items)

    def restore(self):
        """Comes back from the copy; what was written since is written again."""
        self.era += 1
        self.revision, items = self.copied
        self.items = {
            key: change.replace(era=self.era) for key, change in items.items()
        }
        self.events, self.compact = [], self.revision

    def write_again(self):
        routes = self.items.get("routes:")
        if routes is None or routes.content.version < self.version:
            self.write(feed_changes.change_routes(self.version, 0))
        for zone in ZONES:
            is_out = zone in self.zones_out
            if is_out != (f"evacuation:{zone}" in self.items):
                self.write(
                    feed_changes.change_evacuation(
                        zone, 0, is_removed=not is_out
                    )
                )
        for name in TARGETS:
            item = self.items.get(f"target:{name}")
            found = None if item is None else item.content.is_draining
            if found != self.targets.get(name):
                self.write_target(name)

    def answer(self, read):
        fields = {
            "number": read.number,
            "revision": self.revision,
            "era": self.era,
        }
        if read.kind == feeds.LIST:
            changes = tuple(self.items.values())
            return feeds.FeedResult(status=feeds.OK, changes=changes, **fields)
        after = read.after_revision
        if after < self.compact or after > self.revision:
            return feeds.FeedResult(status=feeds.GONE, **fields)
        changes = tuple(c for c in self.events if c.revision > after)
        return feeds.FeedResult(status=feeds.OK, changes=changes, **fields)


class Host:
    """A host's feed, whose reads the store answers."""

    def __init__(self, store):
        self.store = store
        self.harness = boards.ComponentHarness(controller.Feed)
        self.harness.step()
        self.faults = []
        self.older = None
        self.versions = []
        self.listings = []

    def step(self):
        self.harness.step(STEP_S)
        for _ in range(3):
            for read in self.harness.read_new_records("feed_reads"):
                self.note(read)
                self.harness.append("feed_results", self.answer(read))
            self.harness.step()
        table = self.harness.get("route_table")
        if table is not None:
            self.versions.append(table.version)

    def answer(self, read):
        fault = self.faults.pop() if self.faults else ""
        if fault == "lost":
            return feeds.FeedResult(number=read.number, status=feeds.LOST)
        if fault == "late" and self.older is not None:
            return self.older.replace(number=read.number)
        result = self.store.answer(read)
        if result.status == feeds.OK and read.kind == feeds.LIST:
            self.older = result
        return result

    def note(self, read):
        if read.kind == feeds.LIST:
            self.listings.append(self.harness.now)
        else:
            self.listings.append(None)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(
            ["config", "copy", "restore", "again", "lost", "late", "wait"]
        ).map(lambda step: (step, "")),
        strategies.tuples(
            strategies.just("zone"), strategies.sampled_from(ZONES)
        ),
        strategies.tuples(
            strategies.just("target"), strategies.sampled_from(TARGETS)
        ),
    ),
    max_size=25,
)


def play(store, host, step, name):
    if step == "config":
        store.write_config()
    elif step == "copy":
        store.copy()
    elif step == "restore":
        store.restore()
    elif step == "again":
        store.write_again()
    elif step == "zone":
        store.toggle_zone(name)
    elif step == "target":
        store.move_target(name)
    elif step in ("lost", "late"):
        host.faults.append(step)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(steps=STEPS)
def test_a_host_agrees_with_a_store_that_was_restored(steps):
    # Guards against a configuration that reverts, against writes that are
    # ignored in a new era, and against ghosts that stay.
    store = Store()
    store.copy()
    host = Host(store)
    for step, name in steps:
        play(store, host, step, name)
        host.step()
    store.write_again()
    host.faults.clear()
    for _ in range(int(STEADY_S / STEP_S)):
        host.step()
    assert host.versions == sorted(host.versions)
    assert host.harness.get("route_table").version == store.version
    board = host.harness.board
    assert set(board.find_table("evacuations").copy_records()) == (
        store.zones_out
    )
    listed = board.find_table("listed_targets").copy_records()
    assert {n: t.is_draining for n, t in listed.items()} == {
        n: state for n, state in store.targets.items() if state is not None
    }
    state = host.harness.get("feed_state")
    assert state.position == (store.era, store.revision)


@hypothesis.settings(max_examples=50, deadline=None)
@hypothesis.given(steps=STEPS)
def test_listings_in_a_row_are_apart(steps):
    # Guards against a herd of listings at the change of an era.
    store = Store()
    host = Host(store)
    for step, name in steps:
        play(store, host, step, name)
        host.step()
    in_row = 0
    for before, after in zip(host.listings, host.listings[1:], strict=False):
        in_row = in_row + 1 if before is not None and after is not None else 0
        assert in_row < 3 or after > before
