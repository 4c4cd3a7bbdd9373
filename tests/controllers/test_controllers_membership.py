import hashlib

import pytest

from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.controllers import membership as controller
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import sections

_LATENCY_S = 0.005
_MANIFESTS = {1: b"revision = 1", 2: b"revision = 2"}


class Node:
    """The membership controller of one host, with its own blackboard."""

    def __init__(self, host, *, incarnation=1_000_000):
        self.host = host
        board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.writers = {
            name: board.grant_writer(name, writer)
            for name, _, writer in sections.SECTIONS
            if writer != "membership"
        }
        self.out = board.find_log("membership_out").open_cursor()
        self.members = board.find_table("members")
        self.lease = board.find_table("lease")
        self.wanted_at = 0.0
        self.frozen = False
        self.controller = controller.MembershipController(
            board=board,
            settings=daemon_settings.Settings(
                deployment="d",
                host=host,
                data_centre="dc",
                incarnation=incarnation,
                peer_address="",
                caller_address="",
                administration_address="",
                platform_address="",
            ),
        )

    def put_in_force(self, hosts, revision=1):
        self.writers["declaration"].put(
            "in_force", create_active_declaration(hosts, revision)
        )
        self.wanted_at = 0.0

    def read_states(self):
        return {m.host: m.state for m in self.members.list_records()}


class Fleet:
    """Hosts connected by a simulated network that tests can partition."""

    def __init__(self, *hosts):
        self.clock = clocks.ManualClock()
        self.nodes = {host: Node(host) for host in hosts}
        self.cuts = set()
        self.sent = 0
        self._flying = []
        for node in self.nodes.values():
            node.put_in_force(hosts)

    def run(self, seconds):
        """Advances the clock in steps of the latency and runs due hosts."""
        end = self.clock.read_monotonic() + seconds
        while self.clock.read_monotonic() < end:
            now = self.clock.advance(_LATENCY_S)
            self._deliver(now)
            for node in self.nodes.values():
                if not node.frozen and node.wanted_at <= now:
                    node.wanted_at = node.controller.step(now)
                    self._flying += [
                        (node.host, m) for m in node.out.read_new_records()
                    ]

    def _deliver(self, now):
        flying, self._flying = self._flying, []
        for sender, message in flying:
            if (sender, message.to) in self.cuts or (
                message.to not in self.nodes
            ):
                continue
            self.sent += 1
            node = self.nodes[message.to]
            node.wanted_at = now
            node.writers["peer_control"].append(
                messages.Received(
                    sender=sender, received_at=now, message=message
                )
            )

    def cut(self, first, second):
        """Drops all messages between two groups, in both directions."""
        pairs = [(a, b) for a in first for b in second]
        self.cuts |= {*pairs, *((b, a) for a, b in pairs)}

    def has_lease(self, host):
        lease = self.nodes[host].lease.get("current")
        return lease is not None and (
            self.clock.read_monotonic() < lease.expires_at
        )

    def list_states(self, about, *, without=()):
        return {
            node.members.get(about).state
            for host, node in self.nodes.items()
            if host not in without
        }


def create_active_declaration(hosts, revision):
    declaration = declarations.Declaration(
        deployment="d",
        revision=revision,
        digest=hashlib.sha256(_MANIFESTS[revision]).hexdigest(),
        placement_lifetime_s=5.0,
        longest_deadline_s=1.0,
        strategy="owner",
        replica_policy="",
        hedge_percentile=0.0,
        hedge_budget=0.0,
        retry_budget=0.0,
        data_centres={},
        hosts=dict.fromkeys(hosts),
        services={},
        targets={},
        lookups={},
    )
    return declarations.ActiveDeclaration(
        declaration=declaration, bodies={}, in_force_at=0.0, source="platform"
    )


def test_hosts_find_each_other_and_hold_leases():
    hosts = [f"h{n}" for n in range(6)]
    system = Fleet(*hosts)
    system.run(5.0)
    for host, node in system.nodes.items():
        assert node.read_states() == dict.fromkeys(hosts, "alive")
        assert system.has_lease(host)
        assert all(m.leased for m in node.members.list_records())


def test_lost_host_is_suspect_then_dead_everywhere():
    system = Fleet("a", "b", "c", "d")
    system.run(3.0)
    system.nodes["d"].frozen = True
    system.run(2.0)
    assert "suspect" in system.list_states("d", without="d")
    system.run(5.0)
    assert system.list_states("d", without="d") == {"dead"}
    assert all(system.has_lease(host) for host in "abc")


def test_frozen_host_wakes_without_a_lease_and_suspects_no_one():
    # Guards against a host that, after a freeze, works under a configuration
    # that may be outdated, or declares other hosts dead because their acks
    # were not read during the freeze.
    system = Fleet("a", "b", "c")
    system.run(3.0)
    node = system.nodes["c"]
    node.frozen = True
    system.run(8.0)
    assert not system.has_lease("c")
    node.frozen = False
    node.wanted_at = 0.0
    system.run(_LATENCY_S)
    assert not system.has_lease("c")
    assert node.read_states() == dict.fromkeys("abc", "alive")
    system.run(4.0)
    assert system.has_lease("c")
    assert system.list_states("c") == {"alive"}


@pytest.mark.parametrize(
    ("pause_s", "state"), [(0.5, "suspect"), (8.0, "alive")]
)
def test_missing_ack_is_ignored_if_this_host_was_paused(pause_s, state):
    # Guards against a host that, after a pause, suspects another one whose ack
    # was received but not read yet.
    node = Node("a")
    node.put_in_force("ab")
    node.controller.step(1000.0)
    [ping] = node.out.read_new_records()
    ack = messages.Ack(
        to="a",
        sequence=ping.sequence,
        host="b",
        revision=1,
        digest="",
        updates=(
            messages.MemberUpdate(
                host="b", incarnation=1, state="alive", load=0.0, leased=True
            ),
        ),
    )
    node.writers["peer_control"].append(
        messages.Received(sender="b", received_at=1000.1, message=ack)
    )
    for now in (1000.1, 1000.5, 1000.7):
        node.controller.step(now)
    node.controller.step(1000.5 + pause_s)
    assert node.read_states()["b"] == state


def test_host_that_reaches_one_peer_keeps_its_lease():
    # Guards against a lease that expires between two pings of the only
    # reachable peer.
    hosts = [f"h{n}" for n in range(12)]
    system = Fleet(*hosts)
    system.run(3.0)
    system.cut(["h0"], hosts[2:])
    for _ in range(200):
        system.run(0.1)
        assert system.has_lease("h0")


def test_indirect_pings_keep_hosts_alive_that_cannot_reach_each_other():
    system = Fleet("a", "b", "c", "d")
    system.run(3.0)
    system.cut("a", "b")
    system.run(10.0)
    assert system.list_states("a") == {"alive"}
    assert system.list_states("b") == {"alive"}


def test_cut_off_host_loses_its_lease():
    system = Fleet("a", "b", "c")
    system.run(3.0)
    system.cut("c", "ab")
    system.run(2.6)
    assert not system.has_lease("c")
    assert system.has_lease("a")
    own = system.nodes["c"].members.get("c")
    assert not own.leased


def test_partition_heals():
    # Guards against two sides of a partition that keep each other marked as
    # dead after the network is restored.
    system = Fleet("a", "b", "c", "d", "e", "f")
    system.run(3.0)
    system.cut("abc", "def")
    system.run(15.0)
    assert system.nodes["a"].read_states() == (
        dict.fromkeys("abc", "alive") | dict.fromkeys("def", "dead")
    )
    assert all(system.has_lease(host) for host in "abcdef")
    system.cuts.clear()
    system.run(10.0)
    for node in system.nodes.values():
        assert node.read_states() == dict.fromkeys("abcdef", "alive")


def test_leaving_state_is_disseminated():
    system = Fleet("a", "b", "c", "d")
    system.run(3.0)
    system.nodes["a"].writers["lifecycle"].put(
        "current", fleet.Lifecycle(phase="leaving", since=0.0)
    )
    system.run(2.0)
    assert system.list_states("a") == {"leaving"}


def test_newer_configuration_at_the_peer_stops_renewal_until_in_force():
    # Guards against work under a configuration that is known to be outdated.
    system = Fleet("a", "b")
    system.run(2.0)
    system.nodes["a"].put_in_force("ab", revision=2)
    system.run(3.0)
    assert system.has_lease("a")
    assert not system.has_lease("b")
    system.nodes["b"].put_in_force("ab", revision=2)
    system.run(_LATENCY_S)
    assert system.has_lease("b")


def test_undeclared_host_is_removed():
    system = Fleet("a", "b", "c")
    system.run(3.0)
    for host in "abc":
        system.nodes[host].put_in_force("ab", revision=2)
    system.run(2.0)
    assert set(system.nodes["a"].read_states()) == {"a", "b"}
    assert not system.has_lease("c")


def test_single_declared_host_holds_the_lease_without_peers():
    system = Fleet("a")
    system.run(10.0)
    assert system.has_lease("a")
    assert system.nodes["a"].read_states() == {"a": "alive"}


@pytest.mark.parametrize("incarnation", [500_000, 2_000_000])
def test_restarted_host_is_alive_again_and_learns_all_members(incarnation):
    # Incarnations start from the clock. The clock of a replaced machine may be
    # behind that of its predecessor, so the new incarnation may be lower.
    hosts = [f"h{n}" for n in range(30)]
    system = Fleet(*hosts)
    system.run(20.0)
    node = system.nodes["h0"] = Node("h0", incarnation=incarnation)
    node.put_in_force(hosts)
    system.run(4.0)
    assert system.list_states("h0") == {"alive"}
    assert node.read_states() == dict.fromkeys(hosts, "alive")


@pytest.mark.parametrize(
    ("status", "path", "held"),
    [
        (200, "/v1/values/manifest", True),
        (304, "/v1/watch/manifest?after=e1&wait_ms=1000", True),
        (304, "/v1/watch/manifest?after=e0&wait_ms=1000", False),
        (0, "/v1/watch/manifest?after=e1&wait_ms=1000", False),
    ],
)
def test_platform_answers_renew_the_lease(status, path, held):
    system = Fleet("a", "b")
    system.cut("a", "b")
    node = system.nodes["a"]
    node.writers["platform_results"].append(
        create_result(200, "/v1/values/manifest", sent_at=990.0)
    )
    system.run(1.0)
    assert not system.has_lease("a")
    now = system.clock.read_monotonic()
    node.writers["platform_results"].append(
        create_result(status, path, sent_at=now)
    )
    system.run(1.0)
    assert system.has_lease("a") == held


def create_result(status, path, *, sent_at):
    return platform_calls.PlatformResult(
        purpose="configuration",
        path=path,
        sent_at=sent_at,
        received_at=sent_at,
        status=status,
        etag="e1",
        body=_MANIFESTS[1] if status == 200 else b"",
    )


def test_messages_per_host_do_not_grow_with_the_fleet():
    rates = []
    for count in (8, 32):
        system = Fleet(*[f"h{n}" for n in range(count)])
        system.run(10.0)
        system.sent = 0
        system.run(10.0)
        rates.append(system.sent / count / 10.0)
    # A ping and an ack per period of 0.5 s are 4 messages a second.
    assert max(rates) < 6.0
