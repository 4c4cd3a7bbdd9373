import itertools

import pytest

from bramleyfork.configuration import manifests
from bramleyfork.core import fleet
from bramleyfork.core import messages
from tests.controllers import configuration_harness


def create_offer(bodies, to="h1"):
    revision, digest = configuration_harness.find_version(bodies)
    return messages.ConfigurationOffer(to=to, revision=revision, digest=digest)


def list_paths(harness):
    return [
        read.path.partition("?")[0] for read in harness.reads.read_new_records()
    ]


def test_host_without_peers_starts_from_the_platform():
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    assert harness.table.get("in_force").source == "platform"
    assert harness.table.get("platform").revision == 1


def test_starting_host_waits_for_peers_and_activates_the_highest_version():
    # Guards against a start with an old configuration when the platform serves
    # an older one than the peers have.
    old, new = (
        configuration_harness.create_bodies(revision=1),
        configuration_harness.create_bodies(revision=2),
    )
    harness = configuration_harness.ConfigurationHarness()
    harness.step(0.0)
    for _ in range(3):
        harness.serve(old, 0.1)
    assert harness.read_version() == (0, "")
    assert (
        harness.sent_messages.read_new_records()[0].revision == 0
    )  # Asks peers for their version.
    harness.receive("h2", create_offer(new), 0.2)
    harness.step(0.2)
    assert harness.sent_messages.read_new_records()[-1].keys == ("manifest",)
    digest = configuration_harness.find_version(new)[1]
    for key in ("manifest", "fleet", "hosts"):
        part = messages.ConfigurationPart(
            to="h1", digest=digest, key=key, body=new[key]
        )
        harness.receive("h2", part, 0.3)
        harness.step(0.3)
    assert harness.read_version() == configuration_harness.find_version(new)


def test_unresponsive_peers_delay_a_start_by_two_seconds():
    harness = configuration_harness.ConfigurationHarness()
    harness.step(0.0)
    for _ in range(2):
        harness.serve(configuration_harness.create_bodies(), 0.1)
    assert harness.serve(configuration_harness.create_bodies(), 0.1) <= 2.0
    harness.step(1.9)
    assert harness.read_version() == (0, "")
    harness.step(2.0)
    assert harness.read_version()[0] == 1


def test_only_changed_parts_are_fetched():
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    new = configuration_harness.create_bodies(revision=2, note=b"changed")
    harness.serve(new, 1.0)
    harness.serve(new, 1.3)
    reads = [read.path for read in harness.reads.read_new_records()]
    assert [p for p in reads if "values" in p] == ["/v1/values/fleet"]


def test_older_configuration_is_never_activated():
    # Guards against a platform that was reset to an older revision and rolls
    # back the hosts.
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies(revision=5)
    )
    for now in range(1, 8):
        harness.serve(
            configuration_harness.create_bodies(revision=4), float(now)
        )
    assert harness.read_version()[0] == 5


def test_part_that_does_not_match_is_fetched_again_later():
    # Guards against a mix of two configurations while the parts of the newer
    # one are being published.
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    new = configuration_harness.create_bodies(revision=2, note=b"changed")
    half = new | {"fleet": b"older content"}
    for now in (1.0, 1.3, 1.4):
        harness.serve(half, now)
    assert harness.read_version()[0] == 1
    assert "fleet.toml: content" in harness.table.get("refused").reason
    for now in (1.5, 2.5, 2.6, 2.7):
        harness.serve(new, now)
    assert harness.read_version() == configuration_harness.find_version(new)
    assert harness.table.get("refused") is None


def test_fetches_of_mismatching_parts_back_off():
    # Guards against fetches that use up the platform's rate limit.
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    half = configuration_harness.create_bodies(revision=2, note=b"changed") | {
        "fleet": b"older"
    }
    fetches = 0
    for tick in range(1200):  # 120 s
        now = 1.0 + tick / 10
        reads = harness.reads.read_new_records()
        fetches += sum(read.path == "/v1/values/fleet" for read in reads)
        for read in reads:
            key = read.path.partition("?")[0].rpartition("/")[2]
            harness.answer(read, now, body=half[key])
        harness.step(now)
    assert 4 <= fetches <= 14


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (
            lambda p: (
                p
                | {
                    "fleet": configuration_harness.FLEET.replace(
                        b"test", b"other"
                    )
                }
            ),
            "'test'",
        ),
        (lambda p: p | {"hosts": b"[[hosts]]\nport = 1"}, "hosts"),
    ],
)
def test_refused_configuration_leaves_the_old_one_active(change, reason):
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    parts = change(configuration_harness.create_bodies())
    del parts["manifest"]
    bad = parts | {"manifest": manifests.build_manifest(parts, revision=2)}
    for now in (1.0, 1.3, 1.6):
        harness.serve(bad, now)
    assert harness.read_version()[0] == 1
    assert reason in harness.table.get("refused").reason
    assert harness.table.get("refused").revision == 2


def test_unreadable_manifest_is_reported():
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    harness.serve({"manifest": b"revision = ["}, 1.0)
    harness.serve({"manifest": b"revision = ["}, 1.3)
    assert harness.read_version()[0] == 1
    assert "manifest.toml" in harness.table.get("refused").reason


def test_the_higher_digest_wins_between_two_contents_of_one_revision():
    bodies = [
        configuration_harness.create_bodies(note=note) for note in (b"x", b"y")
    ]
    low, high = sorted(bodies, key=configuration_harness.find_version)
    harness = configuration_harness.start_harness(low)
    harness.receive("h2", create_offer(high), 1.0)
    harness.step(1.0)
    digests = (
        configuration_harness.find_version(low)[1],
        configuration_harness.find_version(high)[1],
    )
    assert harness.table.get("conflict").digests == digests
    assert harness.sent_messages.read_new_records()[-1].digest == digests[1]
    winner = configuration_harness.start_harness(high)
    winner.receive("h2", create_offer(low), 1.0)
    winner.step(1.0)
    assert winner.table.get("conflict").digests == digests
    assert winner.read_version() == configuration_harness.find_version(high)


def test_fetches_of_peers_are_answered():
    bodies = configuration_harness.create_bodies()
    harness = configuration_harness.start_harness(bodies)
    digest = configuration_harness.find_version(bodies)[1]
    for wanted in (digest, "0" * 64):
        fetch = messages.ConfigurationFetch(
            to="h1", digest=wanted, keys=("manifest", "hosts", "absent")
        )
        harness.receive("h2", fetch, 1.0)
    harness.step(1.0)
    first, second, offer = harness.sent_messages.read_new_records()
    assert (first.key, second.key) == ("manifest", "hosts")
    assert second.body == bodies["hosts"]
    assert offer == create_offer(bodies, to="h2")


def test_next_holder_is_asked_when_a_peer_does_not_answer():
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    new = configuration_harness.create_bodies(revision=2)
    for sender in ("h2", "h3"):
        harness.receive(sender, create_offer(new), 1.0)
    harness.step(1.0)
    harness.step(2.1)
    requested_from = [
        message.to
        for message in harness.sent_messages.read_new_records()
        if isinstance(message, messages.ConfigurationFetch)
    ]
    assert requested_from == ["h2", "h3"]


def start_other(bodies):
    """Returns the harness of a non-watcher, and the names of the watchers."""
    watchers = configuration_harness.start_harness(bodies).controller._watchers
    other = next(n for n in ("h1", "h2", "h3") if n not in watchers)
    return configuration_harness.start_harness(bodies, name=other), watchers


def test_two_hosts_watch_and_the_next_replaces_dead_ones():
    bodies = configuration_harness.create_bodies(hosts=4)
    harness, watchers = start_other(bodies)
    assert len(watchers) == 2
    harness.serve(bodies, 1.0)
    assert list_paths(harness) == []
    for name in watchers:
        member = fleet.Member(
            host=name, incarnation=1, state="dead", changed_at=1.0
        )
        harness.members.put(name, member)
    harness.step(1.1)
    assert list_paths(harness) == ["/v1/watch/manifest"]


def test_host_without_messages_from_a_watcher_reads_the_platform():
    bodies = configuration_harness.create_bodies(hosts=4)
    harness, watchers = start_other(bodies)
    harness.serve(bodies, 0.5)
    harness.receive(min(watchers), create_offer(bodies), 10.0)
    harness.step(10.0)
    assert list_paths(harness) == []
    harness.step(39.9)
    assert list_paths(harness) == []
    harness.step(55.0)
    assert list_paths(harness) == ["/v1/values/manifest"]


def measure_gaps(harness):
    """Returns the intervals between reads when all reads fail, seconds."""
    calls, now = [], 1.0
    while now < 300:
        harness.step(now)
        for read in harness.reads.read_new_records():
            calls.append(now)
            harness.answer(read, now, status=0, error="refused")
        now += 0.05
    return [after - before for before, after in itertools.pairwise(calls)]


def test_failed_watches_of_a_starting_host_back_off_to_thirty_seconds():
    # Guards against a fleet that starts during an outage and uses up the
    # platform's rate limit, as every host without a declaration is a watcher.
    harness = configuration_harness.ConfigurationHarness()
    harness.step(0.0)
    gaps = measure_gaps(harness)
    assert max(gaps) <= 31.0
    assert min(gaps[-4:]) >= 14.0


def test_failed_watches_of_a_watcher_go_on_every_two_seconds():
    # Guards against a revision published after an outage that is read late,
    # because the watchers have backed off too far.
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    gaps = measure_gaps(harness)
    assert max(gaps) <= 2.1
    assert min(gaps[-4:]) >= 1.0


def test_late_answer_to_an_earlier_fetch_is_ignored():
    # Guards against a fetch that is given up because the answer to an earlier
    # one carries an older content of the part.
    harness = configuration_harness.start_harness(
        configuration_harness.create_bodies()
    )
    new = configuration_harness.create_bodies(revision=2, note=b"changed")
    harness.serve(new, 1.0)
    harness.serve(new, 1.3)
    read = next(
        r for r in harness.reads.read_new_records() if r.path.endswith("/fleet")
    )
    harness.answer(read, 1.2, body=b"older content")
    harness.step(1.4)
    harness.answer(read, 1.4, body=new["fleet"])
    harness.step(1.5)
    assert harness.read_version() == configuration_harness.find_version(new)


def test_running_check_delays_neither_the_step_nor_a_newer_revision():
    # Guards against heartbeats that wait for a check, a busy loop while a
    # check runs, and checks that restart with every revision and never finish.
    first, second, third = (
        configuration_harness.create_bodies(revision=n, note=b"%d" % n)
        for n in (1, 2, 3)
    )
    harness = configuration_harness.start_harness(first)
    harness.checks_at_once = False
    for bodies, now in ((second, 1.0), (third, 2.0)):
        harness.serve(bodies, now)
        for _ in range(3):
            due = harness.serve(bodies, now)
    assert due > 2.0
    assert harness.read_version() == configuration_harness.find_version(first)
    harness.check(2.1)
    assert harness.read_version() == configuration_harness.find_version(second)
    harness.check(2.2)
    assert harness.read_version() == configuration_harness.find_version(third)


def start_relay(bodies):
    """Returns an inner host of the tree and names of its parent and a child.

    With 30 hosts and a fanout of 8, the third host in rendezvous order is a
    child of the first and the parent of the 19th.
    """
    ranked = configuration_harness.start_harness(
        bodies
    ).controller._tree.ranked["north"]
    harness = configuration_harness.start_harness(bodies, name=ranked[2])
    return harness, ranked[0], ranked[18]


def test_inner_node_forwards_a_revision_once_it_is_active():
    # Guards against watchers that must send every revision to every host.
    old, new = (
        configuration_harness.create_bodies(revision=n, hosts=30)
        for n in (1, 2)
    )
    harness, parent, child = start_relay(old)
    harness.receive(parent, create_offer(new, harness.name), 1.0)
    harness.step(1.0)
    assert child not in {
        message.to for message in harness.sent_messages.read_new_records()
    }
    for key in ("manifest", *new):
        harness.receive(
            parent,
            messages.ConfigurationPart(
                to=harness.name,
                digest=configuration_harness.find_version(new)[1],
                key=key,
                body=new[key],
            ),
            1.1,
        )
        harness.step(1.1)
    assert harness.read_version() == configuration_harness.find_version(new)
    offers = {
        m.to: m.revision
        for m in harness.sent_messages.read_new_records()
        if hasattr(m, "revision")
    }
    assert offers[child] == 2
    assert len(offers) <= 8


def test_inner_node_forwards_repeated_offers_but_limits_their_rate():
    # Guards against hosts that read the platform because the periodic offers
    # of a watcher do not reach them, and against two hosts that each regard
    # the other as the parent and forward an offer to each other without end.
    bodies = configuration_harness.create_bodies(hosts=30)
    harness, parent, child = start_relay(bodies)
    forwarded = []
    for now in (20.0, 20.1, 30.0):
        harness.receive(parent, create_offer(bodies, harness.name), now)
        harness.step(now)
        forwarded.append(
            child
            in {
                message.to
                for message in harness.sent_messages.read_new_records()
            }
        )
    assert forwarded == [True, False, True]
    harness.receive("h31", create_offer(bodies, harness.name), 50.0)
    harness.step(50.0)
    assert harness.sent_messages.read_new_records() == []
