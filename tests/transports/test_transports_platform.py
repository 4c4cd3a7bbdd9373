import contextlib
import socket
import threading

import pytest

from bramleyfork.configuration import settings
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import platform_calls
from bramleyfork.core import sections
from bramleyfork.transports import platform

WAIT_TIMEOUT_S = 10.0


class ScriptedPlatform:
    """A stand-in for the platform that sends prepared answers.

    It closes the connection after an answer without "Connection: keep-alive".

    Args:
      answers: Bytes of the answer by path; None for a request that is never
        answered.
    """

    def __init__(self, answers):
        self.answers = answers
        self.requests = []
        self.peers = []
        self.waiting = threading.Event()
        self._streams = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                stream, peer = self._listener.accept()
            except OSError:
                return
            self.peers.append(peer[0])
            self._streams.append(stream)
            threading.Thread(
                target=self._serve, args=(stream,), daemon=True
            ).start()

    def _serve(self, stream):
        with contextlib.suppress(OSError):  # The client closed the connection.
            self._answer_all(stream)

    def _answer_all(self, stream):
        reader = stream.makefile("rb")
        while line := reader.readline():
            path = line.split()[1].decode()
            while reader.readline().strip():
                pass
            self.requests.append(path)
            answer = self.answers[path]
            if answer is None:
                self.waiting.set()
                continue
            stream.sendall(answer)
            if b"Connection: keep-alive" not in answer:
                stream.shutdown(socket.SHUT_WR)

    def close(self):
        self._listener.close()
        for stream in self._streams:
            stream.close()


def create_answer(body, status="200 OK", headers=()):
    lines = [
        f"HTTP/1.1 {status}",
        f"Content-Length: {len(body)}",
        "Connection: keep-alive",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class TransportHarness:
    """A platform transport with writers and cursors of its sections."""

    def __init__(self, address):
        board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.reads = board.grant_writer("platform_reads", "configuration")
        self.listing = board.grant_writer("listing_reads", "listing")
        self.results = board.find_log("platform_results").open_cursor()
        self.transport = platform.PlatformTransport(
            board=board,
            settings=settings.Settings(
                deployment="test",
                host="h1",
                data_centre="north",
                incarnation=1,
                peer_address="127.0.1.7:7000",
                caller_address="127.0.1.7:8080",
                administration_address="127.0.1.7:8081",
                platform_address=address,
            ),
            clock=clocks.SystemClock(),
        )

    def order(self, path, *, purpose="configuration", timeout_s=5.0):
        log = self.listing if purpose == "listing" else self.reads
        log.append(
            platform_calls.PlatformRead(
                purpose=purpose, path=path, timeout_s=timeout_s
            )
        )

    def read(self, path, **details):
        self.order(path, **details)
        return self.results.wait_for_record(WAIT_TIMEOUT_S)


@pytest.fixture
def run():
    """Returns a function that starts a server and a transport."""
    ended = []

    def start(answers, address=None):
        server = ScriptedPlatform(answers)
        harness = TransportHarness(address or server.address)
        harness.transport.start()
        ended.extend([harness.transport.stop, server.close])
        return server, harness

    yield start
    for end in ended:
        end()


def test_values_are_read_over_one_connection_from_the_own_address(run):
    answer = create_answer(b"revision = 1", headers=['ETag: "7"'])
    server, harness = run({"/v1/values/manifest": answer})
    for _ in range(2):
        result = harness.read("/v1/values/manifest")
        assert (result.status, result.etag) == (200, '"7"')
        assert result.body == b"revision = 1"
        assert result.received_at >= result.sent_at > 0
    assert server.peers == ["127.0.1.7"]


def test_read_ordered_before_the_start_is_done():
    # Guards against losing a read that is requested before the start: the
    # controller would wait 5 s for its result.
    server = ScriptedPlatform({"/v1/values/a": create_answer(b"x")})
    harness = TransportHarness(server.address)
    harness.order("/v1/values/a")
    harness.transport.start()
    try:
        assert harness.results.wait_for_record(WAIT_TIMEOUT_S).body == b"x"
    finally:
        harness.transport.stop()
        server.close()


def test_connection_closed_between_reads_is_replaced(run):
    answer = create_answer(b"x")
    server, harness = run({"/v1/values/a": answer})
    assert harness.read("/v1/values/a").status == 200
    server._streams[0].shutdown(socket.SHUT_RDWR)
    assert harness.read("/v1/values/a").status == 200
    assert len(server.peers) == 2


def test_waiting_watch_does_not_delay_other_reads(run):
    listing = b'{"targets": [{"name": "a", "state": "live", "holdings": []}]}'
    server, harness = run(
        {
            "/v1/watch/manifest?after=": None,
            "/v1/values/a": create_answer(b"x"),
            "/v1/targets": create_answer(listing),
        }
    )
    harness.order("/v1/watch/manifest?after=", timeout_s=60.0)
    assert server.waiting.wait(WAIT_TIMEOUT_S)
    assert harness.read("/v1/values/a").body == b"x"
    rows = harness.read("/v1/targets", purpose="listing").rows
    assert [row.target for row in rows] == ["a"]
    # A stop must not wait for the watch either.
    harness.transport.stop()
    names = {thread.name for thread in threading.enumerate()}
    assert "platform-watch" not in names


def test_unchanged_list_is_decoded_once(run):
    # Guards against decoding a large list every second although it is
    # unchanged.
    lists = [
        b'{"targets": [{"name": "%s", "state": "live", "holdings": []}]}' % name
        for name in (b"a", b"a", b"b", b"a")
    ]
    server, harness = run({})
    found = []
    for body in lists:
        server.answers["/v1/targets"] = create_answer(body)
        found.append(harness.read("/v1/targets", purpose="listing").rows)
    assert found[0] is found[1]
    assert [rows[0].target for rows in found] == ["a", "a", "b", "a"]


def test_redirects_are_not_followed(run):
    answer = create_answer(b"", "302 Found", ["Location: /v1/values/b"])
    server, harness = run({"/v1/values/a": answer})
    assert harness.read("/v1/values/a").status == 302
    assert server.requests == ["/v1/values/a"]


@pytest.mark.parametrize(
    ("size", "status"), [(1_000_000, 200), (1_000_001, 0), (3_000_000, 0)]
)
@pytest.mark.parametrize("declared", [True, False])
def test_size_of_a_value_is_bounded(run, size, status, declared):
    body = b"x" * size
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + body
    if declared:
        answer = create_answer(body)
    _, harness = run({"/v1/values/a": answer})
    result = harness.read("/v1/values/a")
    assert (result.status, len(result.body)) == (status, size if status else 0)
    assert ("larger than 1000000" in result.error) == (status == 0)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\nx",
        None,
    ],
)
def test_broken_answers_are_reported_once_and_not_repeated(run, answer):
    server, harness = run(
        {"/v1/values/a": answer, "/v1/values/b": create_answer(b"x")}
    )
    result = harness.read("/v1/values/a", timeout_s=0.3)
    assert (result.status, result.body) == (0, b"")
    assert result.error
    assert harness.read("/v1/values/b").status == 200
    assert server.requests == ["/v1/values/a", "/v1/values/b"]


def test_absent_platform_is_reported(run):
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    _, harness = run({}, address)
    result = harness.read("/v1/values/a")
    assert result.status == 0
    assert "refused" in result.error


def test_malformed_listing_has_no_status(run):
    _, harness = run({"/v1/targets": create_answer(b'{"targets": 1}')})
    result = harness.read("/v1/targets", purpose="listing")
    assert (result.status, result.rows) == (0, ())
    assert "targets" in result.error
