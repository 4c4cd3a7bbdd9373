import contextlib
import json
import queue
import socket
import threading

import pytest

from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import targets
from tests import boards
from tests import creators

WAIT_TIMEOUT_S = 5.0
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class ScriptedTarget:
    """A stand-in for a target with a replaceable reply function.

    It serves each connection in a thread of its own.
    """

    def __init__(self):
        self.reply = build_reply
        self.closes_connections = False
        self.requests = queue.Queue()
        self.opened = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.stop_listening()
        self.close_connections()

    def stop_listening(self):
        # Closing the socket alone does not end a blocked call of accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def close_connections(self):
        for connection in self.opened:
            connection.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.opened.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            self._serve_stream(connection)

    def _serve_stream(self, connection):
        stream = connection.makefile("rwb")
        while (line := stream.readline()).strip():
            headers = {}
            while (row := stream.readline().strip()) != b"":
                name, _, value = row.decode().partition(": ")
                headers[name] = value
            stream.read(int(headers.get("Content-Length", 0)))
            self.requests.put((line.split()[0].decode(), headers))
            stream.write(self.reply(headers.get("Attempt-Id", "")))
            stream.flush()
            if self.closes_connections:
                break
        stream.close()
        connection.close()


def build_reply(attempt_id, body_id=None, extra=""):
    body = json.dumps(
        {
            "attempt_id": body_id or attempt_id,
            "index_version": 41,
            "map_version": 7,
            "low": 0,
            "high": 65536,
            "records": [[17, {"seats": 2}]],
            "holdings": [[41, 7, 0, 65536]],
        }
    )
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nTarget-Epoch: e1\r\n"
        "Target-State: warm\r\nTarget-Load: 0.5\r\nRun: ran\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def cut_reply(attempt_id):
    return build_reply(attempt_id)[:-20]


def half_head(attempt_id):
    return build_reply(attempt_id)[:30]


def no_reply(_attempt_id):
    return b""


def wrong_attempt_reply(_attempt_id):
    return build_reply("another")


def build_refusal(attempt_id, status):
    body = json.dumps({"error": "shed"})
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\nTarget-Epoch: e1\r\n"
        "Target-State: warm\r\nRun: not-run\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def close_reply(attempt_id):
    return build_reply(attempt_id, extra="Connection: close\r\n")


class TransportHarness:
    def __init__(self, address):
        self.board_harness = boards.DaemonBoardHarness()
        self.address = address
        self.clock = clocks.SystemClock()
        self.results = self.board_harness.board.find_log(
            "attempt_results"
        ).open_cursor()
        self.hold_lease(60.0)
        self.transport = targets.TargetTransport(
            board=self.board_harness.board,
            settings=boards.create_settings(target_threads=4),
            clock=self.clock,
        )
        self.transport.start()

    def hold_lease(self, seconds):
        now = self.clock.read_monotonic()
        self.board_harness.put(
            "lease",
            "current",
            fleet.Lease(expires_at=now + seconds, source="platform"),
        )

    def send(self, attempt_id, deadline_s=WAIT_TIMEOUT_S, **fields):
        request = requests.SubRequest(
            attempt_id=f"{attempt_id}",
            query_id="q",
            router="bilbao-1",
            owner="bilbao-1",
            target="booking-01-a",
            service="booking-01",
            lookup="availability",
            key_range=creators.create_range(0, 65536),
            snapshot=creators.SNAPSHOT,
            parameters="",
            urgent=True,
            idempotent=True,
            deadline=self.clock.read_monotonic() + deadline_s,
            fingerprint="f",
            exclusive=False,
        )
        fields = {"connection_limit": 4, "is_cancellation": False} | fields
        self.board_harness.append(
            "attempts",
            replies.Attempt(
                attempt_id=request.attempt_id,
                address=self.address,
                request=request,
                **fields,
            ),
        )

    def ask(self, attempt_id, **fields):
        self.send(attempt_id, **fields)
        return self.results.wait_for_record(WAIT_TIMEOUT_S)


@pytest.fixture
def server():
    created = ScriptedTarget()
    yield created
    created.close()


@pytest.fixture
def harness(server):
    created = TransportHarness(server.address)
    yield created
    created.transport.stop()


def test_connection_is_kept_after_a_whole_reply(server, harness):
    # Guards against a new connection for each attempt, which adds the time to
    # connect.
    results = [harness.ask(n) for n in range(3)]
    assert [r.code for r in results] == ["ok"] * 3
    assert results[0].records == ((17, {"seats": 2}),)
    assert len(server.opened) == 1


def test_closed_connection_is_noticed_before_the_request(server, harness):
    # Guards against an attempt that is lost because it was sent on a
    # connection that the target had closed.
    server.reply = close_reply
    harness.ask(1)
    server.reply = build_reply
    assert harness.ask(2).code == "ok"
    server.opened[-1].shutdown(socket.SHUT_RDWR)
    assert harness.ask(3).code == "ok"
    assert len(server.opened) == 3


@pytest.mark.parametrize(
    ("reply", "connections"),
    [
        (wrong_attempt_reply, 2),
        # One connection checks whether the target has ended.
        (cut_reply, 3),
        (half_head, 3),
        (no_reply, 3),
    ],
)
def test_connection_is_closed_after_a_faulty_reply(
    server, harness, reply, connections
):
    # Guards against replies of other attempts (H5 in docs/design.md): after a
    # faulty reply, later ones on the same connection may be shifted. Also
    # guards against blame for a request whose target has not ended.
    server.reply = reply
    server.closes_connections = reply is not wrong_attempt_reply
    result = harness.ask(1)
    assert (result.code, result.verdict) == ("bad_reply", MAY_HAVE_RUN)
    server.reply = build_reply
    server.closes_connections = False
    assert harness.ask(2).code == "ok"
    assert len(server.opened) == connections


@pytest.mark.parametrize("status", ["000 x", "099 x", "600 x", "999 x", "20"])
def test_a_reply_without_a_valid_status_proves_nothing(server, harness, status):
    # Guards against bytes that are no reply and pass for a promise.
    server.reply = lambda attempt_id: build_refusal(attempt_id, status)
    result = harness.ask(1)
    assert (result.code, result.verdict) == ("bad_reply", MAY_HAVE_RUN)
    server.reply = lambda attempt_id: build_refusal(attempt_id, "503 x")
    assert harness.ask(2).code == "shed"


@pytest.mark.parametrize("reply", [cut_reply, half_head, no_reply])
def test_the_end_of_a_target_is_told_from_a_lost_reply(server, harness, reply):
    # Guards against a request that crashes targets and is not blamed for it, as
    # a part of its reply had arrived.
    def end(attempt_id):
        server.stop_listening()
        return reply(attempt_id)

    server.reply = end
    server.closes_connections = True
    result = harness.ask(1)
    assert (result.code, result.verdict) == ("died", MAY_HAVE_RUN)


def test_attempt_is_not_sent_without_lease_or_time(server, harness):
    # Guards against a wrong verdict (H6 in docs/design.md): NOT_RUN must mean
    # that no byte was sent to the target.
    harness.hold_lease(-1.0)
    assert (harness.ask(1).code, harness.ask(2).verdict) == (
        "no_lease",
        NOT_RUN,
    )
    harness.hold_lease(60.0)
    result = harness.ask(3, deadline_s=-0.1)
    assert (result.code, result.verdict) == ("expired", NOT_RUN)
    assert server.requests.empty()


def test_invalid_request_is_not_run(server, harness):
    # Guards against an attempt id that is invalid in an HTTP header ending
    # the thread with an exception.
    results = [harness.ask("a\nb") for _ in range(5)]
    assert {(r.code, r.verdict) for r in results} == {("rejected", NOT_RUN)}
    assert harness.ask(1).code == "ok"


def test_refused_connection_is_not_run(server, harness):
    # Guards against a wrong verdict (H6 in docs/design.md): an attempt without
    # a connection has not run.
    server.close()
    result = harness.ask(1)
    assert (result.code, result.verdict) == ("connect_failed", NOT_RUN)


def test_lowered_limit_bounds_the_open_connections(server, harness):
    # Guards against exceeding a lowered connection limit because connections
    # in use are not counted.
    may_reply = threading.Event()

    def wait_reply(attempt_id):
        may_reply.wait(WAIT_TIMEOUT_S)
        return build_reply(attempt_id)

    server.reply = wait_reply
    for number in range(2):
        harness.send(number, connection_limit=2)
        server.requests.get(timeout=WAIT_TIMEOUT_S)
    late = harness.ask(3, connection_limit=1, deadline_s=0.1)
    assert (late.code, late.verdict) == ("connect_failed", NOT_RUN)
    may_reply.set()
    codes = [
        harness.results.wait_for_record(WAIT_TIMEOUT_S).code for _ in range(2)
    ]
    assert codes == ["ok", "ok"]
    assert harness.ask(4, connection_limit=1).code == "ok"
    assert harness.transport.count_connections(server.address) == 1


def test_cancellation_reaches_the_target(server, harness):
    # Guards against targets that continue to execute cancelled attempts.
    server.reply = lambda _: b"HTTP/1.1 204 No Content\r\n\r\n"
    for number in range(5):
        harness.send(number, is_cancellation=True)
        assert server.requests.get(timeout=WAIT_TIMEOUT_S)[0] == "DELETE"
    assert len(server.opened) < 5


class JumpingClock:
    """A clock that returns ``now`` once and then always ``late``."""

    def __init__(self, now, late):
        self._times = [now, late]

    def read_monotonic(self):
        return self._times.pop(0) if len(self._times) > 1 else self._times[0]


@pytest.mark.parametrize(
    ("late_s", "code"), [(3.0, "no_lease"), (6.0, "expired")]
)
def test_process_suspended_while_connecting_sends_nothing(
    server, harness, late_s, code
):
    # Guards against an attempt sent by a process that was suspended between
    # the decision and the send, after its deadline or lease had expired.
    now = harness.clock.read_monotonic()
    harness.hold_lease(2.5)
    harness.transport.clock = JumpingClock(now, now + late_s)
    result = harness.ask(1)
    assert (result.code, result.verdict) == (code, NOT_RUN)
    assert server.requests.empty()
