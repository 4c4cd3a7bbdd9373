import hashlib
import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings
from bramleyfork.controllers import configuration
from bramleyfork.core import blackboard
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import sections

FLEET = b"""
[deployment]
name = "test"
[[data_centres]]
name = "north"
region = "one"
"""
HOST = b"""
[[hosts]]
name = "h%d"
data_centre = "north"
peer_address = "127.0.1.%d:7000"
caller_address = "127.0.1.%d:8080"
"""


def create_bodies(*, revision=1, hosts=2, note=b""):
    parts = {
        "fleet": FLEET + b"# " + note,
        "hosts": b"".join(HOST % (n, n, n) for n in range(1, hosts + 1)),
    }
    body = manifests.build_manifest(parts, revision=revision)
    return parts | {"manifest": body}


def find_version(bodies):
    manifest = manifests.read_manifest(bodies["manifest"]).ok
    return manifest.revision, manifest.digest


class Node:
    """A controller on a board of its own, driven by hand."""

    def __init__(self, name="h1", seeds=("127.0.1.2:7000",)):
        self.name = name
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.reads = self.board.find_log("platform_reads").open_cursor()
        self.out = self.board.find_log("configuration_out").open_cursor()
        grant = self.board.grant_writer
        self.results = grant("platform_results", "platform_transport")
        self.control = grant("peer_control", "peer_transport")
        self.members = grant("members", "membership")
        ip = f"127.0.1.{name[1:]}"
        self.controller = configuration.ConfigurationController(
            board=self.board,
            settings=settings.Settings(
                deployment="test",
                host=name,
                data_centre="north",
                incarnation=1,
                peer_address=f"{ip}:7000",
                caller_address=f"{ip}:8080",
                administration_address=f"{ip}:8081",
                platform_address="127.0.0.1:9000",
                seeds=seeds,
            ),
        )
        self.table = self.board.find_table("declaration")

    def step(self, now):
        return self.controller.step(now)

    def answer(self, read, now, *, status=200, body=b"", error=""):
        etag = hashlib.sha256(body).hexdigest() if body else ""
        self.results.append(
            platform_calls.PlatformResult(
                purpose=read.purpose,
                path=read.path,
                sent_at=now,
                received_at=now,
                status=status,
                etag=etag,
                body=body,
                error=error,
            )
        )

    def serve(self, bodies, now):
        """Answers the reads under way from ``bodies`` and steps once."""
        for read in self.reads.take():
            key = read.path.partition("?")[0].rpartition("/")[2]
            body = bodies.get(key, b"")
            unchanged = f"after={hashlib.sha256(body).hexdigest()}" in read.path
            status = 304 if unchanged else 200 if body else 404
            self.answer(read, now, status=status, body=body)
        return self.step(now)

    def receive(self, sender, message, now):
        self.control.append(
            messages.Received(sender=sender, received_at=now, message=message)
        )

    def read_version(self):
        entry = self.table.get("in_force")
        if entry is None:
            return 0, ""
        return entry.declaration.revision, entry.declaration.digest


def start_node(bodies, name="h1"):
    """Returns a node that has ``bodies`` in force since time 0."""
    node = Node(name=name, seeds=())
    node.step(0.0)
    for _ in range(3):
        node.serve(bodies, 0.0)
    assert node.read_version() == find_version(bodies)
    node.out.take()
    return node


def create_offer(bodies, to="h1"):
    revision, digest = find_version(bodies)
    return messages.ConfigurationOffer(to=to, revision=revision, digest=digest)


def list_paths(node):
    return [read.path.partition("?")[0] for read in node.reads.take()]


def test_host_without_peers_starts_from_the_platform():
    node = start_node(create_bodies())
    assert node.table.get("in_force").source == "platform"
    assert node.table.get("platform").revision == 1


def test_starting_host_waits_for_peers_and_takes_the_highest():
    # Guards against a start with the older configuration of a stale platform.
    old, new = create_bodies(revision=1), create_bodies(revision=2)
    node = Node()
    node.step(0.0)
    for _ in range(3):
        node.serve(old, 0.1)
    assert node.read_version() == (0, "")
    assert node.out.take()[0].revision == 0  # Asks peers for theirs.
    node.receive("h2", create_offer(new), 0.2)
    node.step(0.2)
    assert node.out.take()[-1].keys == ("manifest",)
    digest = find_version(new)[1]
    for key in ("manifest", "fleet", "hosts"):
        part = messages.ConfigurationPart(
            to="h1", digest=digest, key=key, body=new[key]
        )
        node.receive("h2", part, 0.3)
        node.step(0.3)
    assert node.read_version() == find_version(new)


def test_silent_peers_delay_a_start_by_two_seconds():
    node = Node()
    node.step(0.0)
    for _ in range(2):
        node.serve(create_bodies(), 0.1)
    assert node.serve(create_bodies(), 0.1) <= 2.0
    node.step(1.9)
    assert node.read_version() == (0, "")
    node.step(2.0)
    assert node.read_version()[0] == 1


def test_only_changed_parts_are_fetched():
    node = start_node(create_bodies())
    new = create_bodies(revision=2, note=b"changed")
    node.serve(new, 1.0)
    node.serve(new, 1.3)
    reads = [read.path for read in node.reads.take()]
    assert [p for p in reads if "values" in p] == ["/v1/values/fleet"]


def test_older_configuration_is_never_taken():
    # H10: a platform that was reset must not undo what is in force.
    node = start_node(create_bodies(revision=5))
    for now in range(1, 8):
        node.serve(create_bodies(revision=4), float(now))
    assert node.read_version()[0] == 5


def test_part_that_does_not_match_is_fetched_again_later():
    # Guards against a mix of two configurations while one is published.
    node = start_node(create_bodies())
    new = create_bodies(revision=2, note=b"changed")
    half = new | {"fleet": b"older content"}
    for now in (1.0, 1.3, 1.4):
        node.serve(half, now)
    assert node.read_version()[0] == 1
    assert "'fleet'" in node.table.get("refused").reason
    for now in (1.5, 2.5, 2.6, 2.7):
        node.serve(new, now)
    assert node.read_version() == find_version(new)
    assert node.table.get("refused") is None


def test_parts_that_stay_wrong_are_read_ever_less_often():
    # Guards against using up the platform's read rate.
    node = start_node(create_bodies())
    half = create_bodies(revision=2, note=b"changed") | {"fleet": b"older"}
    fetches = 0
    for tick in range(1200):  # 120 s
        now = 1.0 + tick / 10
        reads = node.reads.take()
        fetches += sum(read.path == "/v1/values/fleet" for read in reads)
        for read in reads:
            key = read.path.partition("?")[0].rpartition("/")[2]
            node.answer(read, now, body=half[key])
        node.step(now)
    assert 4 <= fetches <= 14


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda p: p | {"fleet": FLEET.replace(b"test", b"other")}, "'test'"),
        (lambda p: p | {"hosts": b"[[hosts]]\nport = 1"}, "hosts"),
    ],
)
def test_refused_configuration_leaves_the_old_one_in_force(change, reason):
    node = start_node(create_bodies())
    parts = change(create_bodies())
    del parts["manifest"]
    bad = parts | {"manifest": manifests.build_manifest(parts, revision=2)}
    for now in (1.0, 1.3, 1.6):
        node.serve(bad, now)
    assert node.read_version()[0] == 1
    assert reason in node.table.get("refused").reason
    assert node.table.get("refused").revision == 2


def test_unreadable_manifest_is_reported():
    node = start_node(create_bodies())
    node.serve({"manifest": b"revision = ["}, 1.0)
    node.serve({"manifest": b"revision = ["}, 1.3)
    assert node.read_version()[0] == 1
    assert "manifest.toml" in node.table.get("refused").reason


def test_two_contents_at_one_revision_settle_on_the_higher_digest():
    bodies = [create_bodies(note=note) for note in (b"x", b"y")]
    low, high = sorted(bodies, key=find_version)
    node = start_node(low)
    node.receive("h2", create_offer(high), 1.0)
    node.step(1.0)
    digests = (find_version(low)[1], find_version(high)[1])
    assert node.table.get("conflict").digests == digests
    assert node.out.take()[-1].digest == digests[1]
    winner = start_node(high)
    winner.receive("h2", create_offer(low), 1.0)
    winner.step(1.0)
    assert winner.table.get("conflict").digests == digests
    assert winner.read_version() == find_version(high)


def test_fetches_of_peers_are_answered():
    bodies = create_bodies()
    node = start_node(bodies)
    digest = find_version(bodies)[1]
    for wanted in (digest, "0" * 64):
        fetch = messages.ConfigurationFetch(
            to="h1", digest=wanted, keys=("manifest", "hosts", "absent")
        )
        node.receive("h2", fetch, 1.0)
    node.step(1.0)
    first, second, offer = node.out.take()
    assert (first.key, second.key) == ("manifest", "hosts")
    assert second.body == bodies["hosts"]
    assert offer == create_offer(bodies, to="h2")


def test_next_holder_is_asked_when_a_peer_stays_silent():
    node = start_node(create_bodies())
    new = create_bodies(revision=2)
    for sender in ("h2", "h3"):
        node.receive(sender, create_offer(new), 1.0)
    node.step(1.0)
    node.step(2.1)
    asked = [
        message.to
        for message in node.out.take()
        if isinstance(message, messages.ConfigurationFetch)
    ]
    assert asked == ["h2", "h3"]


def start_other(bodies):
    """Returns a node that does not hold the watch, and the watchers."""
    watchers = start_node(bodies).controller._watchers
    other = next(n for n in ("h1", "h2", "h3") if n not in watchers)
    return start_node(bodies, name=other), watchers


def test_two_hosts_watch_and_the_next_takes_over():
    bodies = create_bodies(hosts=4)
    node, watchers = start_other(bodies)
    assert len(watchers) == 2
    node.serve(bodies, 1.0)
    assert list_paths(node) == []
    for name in watchers:
        member = fleet.Member(
            host=name, incarnation=1, state="dead", changed_at=1.0
        )
        node.members.put(name, member)
    node.step(1.1)
    assert list_paths(node) == ["/v1/watch/manifest"]


def test_host_without_word_from_a_watcher_reads_the_platform():
    bodies = create_bodies(hosts=4)
    node, watchers = start_other(bodies)
    node.serve(bodies, 0.5)
    node.receive(min(watchers), create_offer(bodies), 10.0)
    node.step(10.0)
    assert list_paths(node) == []
    node.step(39.9)
    assert list_paths(node) == []
    node.step(55.0)
    assert list_paths(node) == ["/v1/values/manifest"]


def test_failed_watches_back_off_to_thirty_seconds():
    node = start_node(create_bodies())
    calls, now = [], 1.0
    while now < 300:
        for read in node.reads.take():
            calls.append(now)
            node.answer(read, now, status=0, error="refused")
        now = max(now + 0.01, min(node.step(now), now + 1.0))
    gaps = [after - before for before, after in itertools.pairwise(calls)]
    assert max(gaps) <= 31.0
    assert min(gaps[-4:]) >= 14.0


class Network:
    """Nodes, a platform and a set order of events, without time-outs."""

    def __init__(self, count):
        seeds = ("127.0.1.9:7000",)
        self.nodes = {
            f"h{n}": Node(name=f"h{n}", seeds=seeds)
            for n in range(1, count + 1)
        }
        self.platform = {}
        self.now = 0.0

    def run_one(self, name, *, platform_up, deliver):
        node = self.nodes[name]
        self.now += 0.1
        if platform_up:
            wake = node.serve(self.platform, self.now)
        else:
            for read in node.reads.take():
                node.answer(read, self.now, status=0, error="down")
            wake = node.step(self.now)
        assert wake > self.now  # Guards against a loop that spins.
        for message in node.out.take():
            receivers = (
                [n for n in self.nodes if n != name]
                if message.to == messages.EVERY_PEER
                else [message.to]
            )
            for receiver in receivers if deliver else ():
                self.nodes[receiver].receive(name, message, self.now)

    def settle(self):
        for _ in range(1000):
            for name in self.nodes:
                self.run_one(name, platform_up=True, deliver=True)


EVENT = st.one_of(
    st.tuples(st.just("publish"), st.integers(1, 4), st.integers(0, 2)),
    st.tuples(
        st.just("run"),
        st.sampled_from(("h1", "h2", "h3")),
        st.booleans(),
        st.booleans(),
    ),
)


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(st.lists(EVENT, min_size=5, max_size=60))
def test_hosts_only_move_upward_and_agree_in_the_end(events):
    # H10 under lost messages, an absent platform and two operators.
    network = Network(3)
    seen = dict.fromkeys(network.nodes, (0, ""))
    for kind, *details in [("publish", 1, 0), *events]:
        if kind == "publish":
            note = b"%d" % details[1]
            network.platform = create_bodies(revision=details[0], note=note)
        else:
            name, platform_up, deliver = details
            network.run_one(name, platform_up=platform_up, deliver=deliver)
            version = network.nodes[name].read_version()
            assert version >= seen[name]
            seen[name] = version
    network.settle()
    final = {node.read_version() for node in network.nodes.values()}
    assert len(final) == 1
    assert final.pop() >= max([find_version(network.platform), *seen.values()])
