import contextlib
import socket
import threading
import time

import msgpack
import pytest

from bramleyfork.codecs import frames
from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import messages
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import sections
from bramleyfork.core import verdicts
from bramleyfork.transports import peers

_WAIT_TIMEOUT_S = 5.0  # For each expected event.

_READ_SECTIONS = ("peer_subrequests", "peer_subreplies", "peer_control")


class PeerHarness:
    """A peer transport with its own blackboard and writers to its sections."""

    def __init__(self, host, *, seeds=(), cut_file=None, deployment="d"):
        self.host = host
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.writers = {
            name: self.board.grant_writer(name, writer)
            for name, _, writer in sections.SECTIONS
            if writer != "peer_transport"
        }
        self.cursors = {
            name: self.board.find_log(name).open_cursor()
            for name in _READ_SECTIONS
        }
        self.changed = threading.Condition()
        self.board.find_table("peer_links").add_listener(self._notify)
        self.transport = peers.PeerTransport(
            board=self.board,
            settings=daemon_settings.Settings(
                deployment=deployment,
                host=host,
                data_centre="dc",
                incarnation=1,
                peer_address="127.0.0.1:0",
                caller_address="",
                administration_address="",
                platform_address="",
                seeds=seeds,
                cut_file=cut_file,
            ),
            clock=clocks.SystemClock(),
        )

    def _notify(self, _section):
        with self.changed:
            self.changed.notify_all()

    def next(self, section):
        found = self.cursors[section].wait_for_record(_WAIT_TIMEOUT_S)
        assert found is not None, f"nothing on {section}"
        return found

    def wait_for_link(self, host, *, connected):
        table = self.board.find_table("peer_links")
        with self.changed:
            assert self.changed.wait_for(
                lambda: (
                    table.get(host) is not None
                    and table.get(host).connected == connected
                ),
                _WAIT_TIMEOUT_S,
            )


@contextlib.contextmanager
def run_nodes(*nodes, declared=True, extra_addresses=()):
    for node in nodes:
        node.transport.start()
    addresses = {n.host: n.transport.address for n in nodes}
    addresses.update(extra_addresses)
    try:
        for node in nodes if declared else ():
            node.writers["declaration"].put(
                "in_force", create_active_declaration(addresses)
            )
        yield
    finally:
        for node in nodes:
            node.transport.stop()


def create_active_declaration(addresses):
    hosts = {
        name: declarations.Host(
            name=name,
            data_centre="dc",
            peer_address=address,
            caller_address="",
        )
        for name, address in addresses.items()
    }
    declaration = declarations.Declaration(
        deployment="d",
        revision=1,
        digest="x",
        placement_lifetime_s=5.0,
        longest_deadline_s=1.0,
        strategy="owner",
        replica_policy="",
        hedge_percentile=0.0,
        hedge_budget=0.0,
        retry_budget=0.0,
        data_centres={},
        hosts=hosts,
        services={},
        targets={},
        lookups={},
    )
    return declarations.ActiveDeclaration(
        declaration=declaration, bodies={}, in_force_at=0.0, source="platform"
    )


def create_request(attempt_id="a-1", *, owner="b", parameters="p"):
    return requests.SubRequest(
        attempt_id=attempt_id,
        query_id="q",
        router="a",
        owner=owner,
        target="t",
        service="s",
        lookup="l",
        key_range=ranges.FULL_RANGE,
        snapshot=requests.Snapshot(index_version=1, map_version=1),
        parameters=parameters,
        urgent=True,
        idempotent=True,
        deadline=clocks.SystemClock().read_monotonic() + 60.0,
        fingerprint="f",
        exclusive=False,
    )


def create_reply(attempt_id="a-1", *, records=()):
    return replies.SubReply(
        attempt_id=attempt_id,
        query_id="q",
        router="a",
        owner="b",
        target="t",
        verdict=verdicts.Verdict.RAN,
        code="ok",
        key_range=ranges.FULL_RANGE,
        snapshot=None,
        records=records,
    )


def create_ping(to, sequence=1):
    return messages.Ping(
        to=to, sequence=sequence, revision=0, digest="", updates=()
    )


def encode(*batch):
    encoder = frames.FrameEncoder()
    return b"".join(encoder.encode(message, 0.0) for message in batch)


def create_hello(host="x", deployment="d", protocol=frames.PROTOCOL_VERSION):
    return messages.Hello(
        protocol=protocol, deployment=deployment, host=host, incarnation=1
    )


def connect(node):
    ip, port = node.transport.address.split(":")
    return socket.create_connection((ip, int(port)), timeout=_WAIT_TIMEOUT_S)


def read_to_end(connection):
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while chunk := connection.recv(65536):
            data += chunk
    return data


def test_subrequest_and_reply_travel_between_hosts():
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        request = create_request()
        a.writers["subrequests"].append(request)
        received = b.next("peer_subrequests")
        assert received.replace(deadline=0) == request.replace(deadline=0)
        # The remaining time is rounded down to 1 ms, and the time of the
        # transmission is not subtracted.
        assert -0.001 <= received.deadline - request.deadline < _WAIT_TIMEOUT_S
        b.writers["subreplies"].append(create_reply())
        assert a.next("peer_subreplies") == create_reply()
        a.writers["subrequests"].append(
            requests.Cancel(attempt_id="a-1", owner="b")
        )
        assert b.next("peer_subrequests").attempt_id == "a-1"
        sums = a.transport.counters.sum_groups()
        assert sums["data"].messages_out == 2
        assert sums["data"].messages_in == 1


def test_records_for_this_host_are_not_sent():
    # Guards against a host that sends sub-requests to itself over the network.
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        a.writers["subrequests"].append(create_request(owner="a"))
        a.writers["subrequests"].append(create_request("a-2"))
        assert b.next("peer_subrequests").attempt_id == "a-2"
        assert b.cursors["peer_subrequests"].read_new_records() == []


def test_message_to_every_peer_reaches_connected_hosts():
    a, b, c = PeerHarness("a"), PeerHarness("b"), PeerHarness("c")
    with run_nodes(a, b, c):
        for name in ("b", "c"):
            a.writers["membership_out"].append(create_ping(name))
            a.wait_for_link(name, connected=True)
        notice = messages.QuarantineNotice(
            to=messages.ALL_PEERS,
            fingerprint="f",
            level="suspect",
            remaining_s=1.0,
            targets=("t",),
        )
        a.writers["quarantine_out"].append(notice)
        for node in (b, c):
            assert node.next("peer_control").message.sequence == 1
            received = node.next("peer_control")
            assert received.sender == "a"
            assert received.message == notice.replace(to=node.host)


def test_seed_is_reached_without_a_declaration_and_answers():
    b = PeerHarness("b")
    with run_nodes(b, declared=False):
        a = PeerHarness("a", seeds=(b.transport.address,))
        with run_nodes(a, declared=False):
            a.writers["configuration_out"].append(
                messages.ConfigurationFetch(
                    to=messages.ALL_PEERS, digest="", keys=("manifest",)
                )
            )
            assert b.next("peer_control").message.keys == ("manifest",)
            b.writers["configuration_out"].append(
                messages.ConfigurationOffer(to="a", revision=3, digest="x")
            )
            assert a.next("peer_control").message.revision == 3


def test_unreachable_owner_is_reported_not_run():
    # Guards against a wrong verdict (H6 in docs/design.md): nothing was sent,
    # so the reply must be NOT_RUN.
    a = PeerHarness("a")
    with socket.create_server(("127.0.0.1", 0)) as reserved:
        address = f"127.0.0.1:{reserved.getsockname()[1]}"
    with run_nodes(a, extra_addresses={"b": address}):
        a.writers["subrequests"].append(create_request())
        reply = a.next("peer_subreplies")
        assert (reply.code, reply.verdict) == (
            "owner_lost",
            verdicts.Verdict.NOT_RUN,
        )


def test_undeclared_owner_is_reported_not_run():
    a = PeerHarness("a")
    with run_nodes(a):
        a.writers["subrequests"].append(create_request(owner="nobody"))
        assert a.next("peer_subreplies").verdict is verdicts.Verdict.NOT_RUN


def test_broken_stream_reports_unanswered_as_may_have_run():
    # Guards against a second run (H7 in docs/design.md): a sub-request that
    # was sent may have run, so the reply must not be NOT_RUN.
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        a.writers["subrequests"].extend(
            [create_request(f"a-{n}") for n in range(4)]
        )
        for _ in range(4):
            b.next("peer_subrequests")
        b.writers["subreplies"].append(create_reply("a-0"))
        assert a.next("peer_subreplies").code == "ok"
        a.writers["subrequests"].append(
            requests.Cancel(attempt_id="a-1", owner="b")
        )
        b.next("peer_subrequests")
        b.transport.stop()
        lost = [a.next("peer_subreplies") for _ in range(2)]
        assert {r.attempt_id for r in lost} == {"a-2", "a-3"}
        assert {r.verdict for r in lost} == {verdicts.Verdict.MAY_HAVE_RUN}
        a.wait_for_link("b", connected=False)


def test_oversize_answer_becomes_a_bad_reply():
    # Guards against a router that waits until the deadline because the reply
    # could not be encoded and was dropped.
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        b.writers["subreplies"].append(
            create_reply(records=((1, "x" * frames.MAX_MESSAGE_BYTES),))
        )
        reply = a.next("peer_subreplies")
        assert reply.code == "bad_reply"
        assert reply.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_subrequests_beyond_the_bound_are_refused():
    # Guards against memory that grows without bound while a peer does not
    # read.
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        a.writers["membership_out"].append(create_ping("b"))
        a.wait_for_link("b", connected=True)
        a.writers["subrequests"].extend(
            [
                create_request(f"a-{n}", parameters="x" * 2**17)
                for n in range(40)
            ]
        )
        refused = [a.next("peer_subreplies") for _ in range(9)]
        assert {r.verdict for r in refused} == {verdicts.Verdict.NOT_RUN}
        taken = [b.next("peer_subrequests").attempt_id for _ in range(31)]
        assert taken == [f"a-{n}" for n in range(31)]


def test_another_host_at_the_address_gets_no_subrequest():
    # Guards against sub-requests being sent to another host that has taken
    # over the declared address.
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b, declared=False):
        addresses = {"a": a.transport.address, "c": b.transport.address}
        a.writers["declaration"].put(
            "in_force", create_active_declaration(addresses)
        )
        a.writers["subrequests"].append(create_request(owner="c"))
        assert a.next("peer_subreplies").verdict is verdicts.Verdict.NOT_RUN
        assert b.cursors["peer_subrequests"].read_new_records() == []


def test_new_process_of_a_host_ends_the_streams_of_the_old_one():
    # Guards against waiting for replies from a process that was replaced.
    a = PeerHarness("a")
    hello = create_hello("b")
    with run_nodes(a), connect(a) as old, connect(a) as new:
        old.sendall(encode(hello))
        a.wait_for_link("b", connected=True)
        a.writers["subrequests"].append(create_request())
        assert old.recv(1)
        new.sendall(encode(hello.replace(incarnation=2)))
        lost = a.next("peer_subreplies")
        assert lost.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert a.board.find_table("peer_links").get("b").connected


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\xc1\xc1", id="no msgpack"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="another protocol"),
        pytest.param(encode(create_ping("a")), id="no hello"),
        pytest.param(encode(create_hello(deployment="e")), id="deployment"),
        pytest.param(encode(create_hello(protocol=99)), id="protocol"),
        pytest.param(encode(create_hello(host="a")), id="own name"),
        pytest.param(encode(create_hello(), create_hello()), id="two hellos"),
        pytest.param(
            encode(create_hello()) + msgpack.packb(["ping", "x"]), id="type"
        ),
        pytest.param(
            encode(create_hello()) + msgpack.packb(["riddle"]), id="kind"
        ),
        pytest.param(
            encode(create_hello())
            + b"\xdd\x00\x00\xff\xff"
            + b"\x01" * (frames.MAX_MESSAGE_BYTES + 1),
            id="oversize",
        ),
    ],
)
def test_invalid_stream_is_closed_and_the_transport_continues(data, caplog):
    a, b = PeerHarness("a"), PeerHarness("b")
    with run_nodes(a, b):
        with connect(a) as connection:
            with contextlib.suppress(OSError):
                connection.sendall(data)
            read_to_end(connection)
        assert "stream closed" in caplog.text
        b.writers["membership_out"].append(create_ping("a"))
        assert a.next("peer_control").sender == "b"


def test_truncated_stream_is_logged(caplog):
    a = PeerHarness("a")
    with run_nodes(a, declared=False):
        with connect(a) as connection:
            connection.sendall(encode(create_hello()) + b"\x95\xa4pi")
            connection.shutdown(socket.SHUT_WR)
            read_to_end(connection)
        a.wait_for_link("x", connected=False)
    reasons = [getattr(record, "reason", "") for record in caplog.records]
    assert any("truncated" in reason for reason in reasons)


def test_outgoing_partition_drops_messages_and_keeps_the_stream(tmp_path):
    cut_file = tmp_path / "cut"
    a, b = PeerHarness("a", cut_file=str(cut_file)), PeerHarness("b")
    with run_nodes(a, b):
        a.writers["membership_out"].append(create_ping("b"))
        b.next("peer_control")
        cut_file.write_text("out b\n")
        wait_for_cut(a, b)
        a.writers["subrequests"].append(create_request())
        b.writers["membership_out"].append(create_ping("a", 7))
        assert a.next("peer_control").message.sequence == 7
        assert b.cursors["peer_subrequests"].read_new_records() == []
        assert b.board.find_table("peer_links").get("a").connected
        b.transport.stop()
        lost = a.next("peer_subreplies")
        assert lost.verdict is verdicts.Verdict.MAY_HAVE_RUN


def wait_for_cut(sender, receiver):
    """Sends pings until one does not arrive."""
    end = time.monotonic() + _WAIT_TIMEOUT_S
    while time.monotonic() < end:
        sender.writers["membership_out"].append(create_ping(receiver.host))
        if receiver.cursors["peer_control"].wait_for_record(0.2) is None:
            return
    raise AssertionError("the partition did not take effect in time")


def test_incoming_partition_ignores_received_messages(tmp_path):
    cut_file = tmp_path / "cut"
    a, b = PeerHarness("a", cut_file=str(cut_file)), PeerHarness("b")
    with run_nodes(a, b):
        b.writers["membership_out"].append(create_ping("a"))
        a.next("peer_control")
        cut_file.write_text("in b\n")
        wait_for_cut(b, a)
        a.writers["membership_out"].append(create_ping("b", 9))
        assert b.next("peer_control").message.sequence == 9


def test_no_stream_is_established_across_a_partition(tmp_path):
    cut_file = tmp_path / "cut"
    cut_file.write_text("both b\n")
    a, b = PeerHarness("a", cut_file=str(cut_file)), PeerHarness("b")
    with run_nodes(a, b):
        b.writers["subrequests"].append(
            create_request(owner="a").replace(router="b")
        )
        a.writers["subrequests"].append(create_request())
        for node in (a, b):
            reply = node.next("peer_subreplies")
            assert reply.verdict is verdicts.Verdict.NOT_RUN
