import json
import math
import queue
import socket
import threading

import pytest
import urllib3

from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import verdicts
from bramleyfork.decisions import tickets
from bramleyfork.transports import callers
from tests import boards

VALID = {"lookup": "availability", "deadline_ms": 1500}


class Client:
    def __init__(self, harness, transport):
        self.harness = harness
        self.transport = transport
        self.queries = harness.board.find_log("queries").open_cursor()
        self.finished = queue.Queue()
        self._pool = urllib3.PoolManager(retries=False)

    def request(self, method, path, **options):
        reply = self._pool.request(
            method, f"http://{self.transport.address}{path}", **options
        )
        return reply.status, reply.json(), reply

    def ask(self, body=VALID, **options):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return self.request("POST", "/v1/query", body=body, **options)[:2]

    def ask_later(self, parameters, deadline_ms=1500):
        result = []
        body = VALID | {"parameters": parameters, "deadline_ms": deadline_ms}

        def ask():
            result.append(self.ask(body))
            self.finished.put(result[0])

        thread = threading.Thread(target=ask)
        thread.start()
        return thread, result

    def answer(self, query):
        self.harness.append("answers", create_answer(query))


def create_answer(query):
    return replies.Answer(
        query_id=query.query_id,
        verdict=verdicts.Verdict.RAN,
        code="ok",
        snapshot=None,
        coverage=1.0,
        missing=(),
        records=(("booking-01", 17, query.parameters),),
    )


def start_client():
    harness = boards.DaemonBoardHarness()
    harness.put("declaration", "in_force", boards.create_active_declaration())
    transport = callers.CallerTransport(
        board=harness.board,
        settings=boards.create_settings(),
        clock=clocks.SystemClock(),
    )
    transport.start()
    return Client(harness, transport)


@pytest.fixture
def client():
    started = start_client()
    yield started
    started.transport.stop()


@pytest.fixture(scope="module")
def shared_client():
    """A client for tests that change no state; starting one takes a second."""
    started = start_client()
    yield started
    started.transport.stop()


def test_answers_in_reverse_order_reach_their_own_callers(client):
    # Guards against a caller receiving the answer to another caller's query
    # (H5 in docs/design.md).
    asked = [client.ask_later(f"n={n}") for n in range(3)]
    taken = [client.queries.wait_for_record(5) for _ in asked]
    for query in reversed(taken):
        client.answer(query)
    for number, (thread, result) in enumerate(asked):
        thread.join(5)
        status, document = result[0]
        assert status == 200
        assert document["records"] == [["booking-01", 17, f"n={number}"]]


def test_late_answer_is_dropped(client):
    # Guards against an answer that arrives after its deadline being returned
    # for the next query.
    status, document = client.ask(VALID | {"deadline_ms": 60})
    assert (status, document["code"]) == (504, "no_answer")
    assert document["verdict"] == "MAY_HAVE_RUN"
    late = client.queries.wait_for_record(5)
    thread, result = client.ask_later("next")
    query = client.queries.wait_for_record(5)
    client.answer(late)
    client.answer(query)
    thread.join(5)
    assert result[0][1]["query_id"] == query.query_id
    assert not client.transport._pending_queries


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "malformed"),
        ({"lookup": "a", "deadline_ms": 9, "x": 1}, 400, "malformed"),
        (VALID | {"deadline_ms": 2001}, 400, "bad_deadline"),
        (b" " * 70_000, 413, "too_large"),
        (b" " * 900_000, 413, "too_large"),
    ],
)
def test_invalid_request_is_refused(shared_client, body, status, code):
    got, document = shared_client.ask(body)
    assert (got, document["code"]) == (status, code)
    assert document["verdict"] == "NOT_RUN"
    assert shared_client.queries.read_new_records() == []


def test_deadline_includes_the_wait_for_a_thread(client):
    # Guards against a deadline that starts when a thread becomes free: the
    # answer would then be sent after the caller's own timeout.
    blocked = [client.ask_later("blocked") for _ in range(4)]
    taken = [client.queries.wait_for_record(5) for _ in blocked]
    later = threading.Thread(
        target=lambda: refused.append(client.ask(VALID | {"deadline_ms": 50}))
    )
    refused = []
    later.start()
    later.join(0.3)
    for query in taken:
        client.answer(query)
    later.join(5)
    assert (refused[0][0], refused[0][1]["code"]) == (408, "deadline_past")
    for thread, _ in blocked:
        thread.join(5)


def test_requests_beyond_the_queue_limit_are_refused(client):
    # Guards against a refusal at overload that does not say that the query did
    # not run.
    active = boards.create_active_declaration(longest_deadline_s=30.0)
    client.harness.put("declaration", "in_force", active)
    asked = [client.ask_later("blocked", 30_000) for _ in range(4)]
    taken = [client.queries.wait_for_record(5) for _ in asked]
    asked += [client.ask_later("waiting", 30_000) for _ in range(20)]
    refused = [client.finished.get(timeout=5) for _ in range(12)]
    assert {status for status, _ in refused} == {503}
    for _, document in refused:
        assert document["code"] == "overloaded"
        assert document["verdict"] == "NOT_RUN"
    for query in taken:
        client.answer(query)
    for _ in range(8):  # Two queued requests for each of the four threads.
        client.answer(client.queries.wait_for_record(5))
    for thread, result in asked:
        thread.join(5)
        assert result


def test_host_without_configuration_refuses(client):
    client.harness.remove("declaration", "in_force")
    status, document = client.ask()
    assert (status, document["code"]) == (503, "starting")
    assert document["verdict"] == "NOT_RUN"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/query", 405),
        ("GET", "/v1/nothing", 404),
        ("POST", "/v1/placement", 405),
        ("GET", "/v1/placement?tickets=-1", 400),
        ("GET", "/v1/placement?tickets=33", 400),
        ("GET", "/v1/placement?colour=1", 400),
        ("GET", "/v1/placement", 503),
        ("GET", "/healthz", 200),
    ],
)
def test_other_requests_have_json_answers(shared_client, method, path, status):
    assert shared_client.request(method, path)[0] == status


def test_placement_issues_tickets_of_this_process(client):
    declaration = boards.create_four_centre_declaration()
    view = fleet.PlacementView(
        hosts=tuple(declaration.hosts.values()),
        loads={},
        regions={"bilbao": "north"},
        lifetime_s=5.0,
    )
    client.harness.put("placement", "current", view)
    _, document, _ = client.request("GET", "/v1/placement?tickets=2")
    assert document["hosts"][0]["host"] == "bilbao-1"
    assert len(set(document["tickets"])) == 2
    settings = client.transport.settings
    for text in document["tickets"]:
        result = tickets.check_ticket(
            settings.ticket_key, "bilbao-1", 7, text, 0
        )
        assert result.is_ok()
    _, document, _ = client.request(
        "GET", "/v1/placement?tickets=2&data_centre=lisboa"
    )
    assert document["tickets"] == []


def test_readiness_needs_phase_configuration_and_lease(client):
    harness = client.harness
    assert client.request("GET", "/readyz")[0] == 503
    serving = fleet.Lifecycle(phase="serving", since=0.0)
    harness.put("lifecycle", "current", serving)
    status, document, _ = client.request("GET", "/readyz")
    assert (status, "lease" in document["reason"]) == (503, True)
    lease = fleet.Lease(expires_at=math.inf, source="exempt")
    harness.put("lease", "current", lease)
    assert client.request("GET", "/readyz")[0] == 200
    harness.put("lifecycle", "current", serving.replace(phase="leaving"))
    assert client.request("GET", "/readyz")[0] == 503


def test_stop_lets_a_query_in_flight_end(client):
    # Guards against a shutdown that interrupts a query in flight (H9 in
    # docs/design.md).
    thread, result = client.ask_later("last")
    query = client.queries.wait_for_record(5)
    stopper = threading.Thread(target=client.transport.stop)
    stopper.start()
    client.answer(query)
    thread.join(5)
    stopper.join(10)
    assert result[0][0] == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        client.ask()


def test_silent_connections_hold_no_thread(client):
    # Guards against idle connections that occupy all threads.
    host, port = client.transport.address.rsplit(":", 1)
    silent = [socket.create_connection((host, int(port))) for _ in range(20)]
    assert client.request("GET", "/healthz", timeout=2.0)[0] == 200
    for connection in silent:
        connection.close()


def test_slow_body_is_refused(client, monkeypatch):
    # Guards against a body that arrives byte by byte and occupies a thread.
    monkeypatch.setattr(client.transport._server.time_limits, "body_s", 0.2)
    host, port = client.transport.address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(
            b"POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{"
        )
        reply = connection.makefile("rb").read()
    assert reply.startswith(b"HTTP/1.1 408")
    assert b'"verdict":"NOT_RUN"' in reply
