"""Feeds malformed messages to the decoders of the entry host.

`make test` checks a fixed set of examples, `make fuzz` many new ones.
"""

import contextlib
import json

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bramleyfork.entry import feeds
from bramleyfork.entry.controllers import observations
from bramleyfork.entry.transports import http_client
from bramleyfork.entry.transports import http_responses
from bramleyfork.entry.transports import peers
from bramleyfork.entry.transports import receive_budgets
from bramleyfork.listeners import budgets
from bramleyfork.listeners import limits
from bramleyfork.listeners import resources
from bramleyfork.listeners import server_connections
import platform_store
from tests.entry import boards

pytestmark = pytest.mark.fuzz


class Clock:
    def time(self):
        return 100.0

    def call_soon(self, call):
        call()


class Transport:
    """Keeps what a connection writes; ends it as a socket would."""

    def __init__(self):
        self.written = b""
        self.is_closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    abort = close

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        del name

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def can_write_eof(self):
        return False


class Handler:
    """Answers each request at once and keeps it."""

    def __init__(self):
        self.resources = resources.LoopResources(budget=budgets.build_budget())
        self.limits = limits.CallerLimits(header_bytes=256, body_bytes=64)
        self.is_closing = False
        self.linger_bytes = 100
        self.requests = []

    def handle_request(self, connection, http_request):
        self.requests.append(http_request)
        connection.respond(200, (), b"ok")

    def build_refusal(self, status):
        return (), b""

    def add_connection(self, connection):
        pass

    def remove_connection(self, connection):
        pass


def join_fragments(fragments):
    return strategies.lists(
        strategies.sampled_from(fragments) | strategies.binary(max_size=6),
        max_size=14,
    )


REQUEST_FRAGMENTS = [
    b"GET /x HTTP/1.1\r\n",
    b"POST /x HTTP/1.1\r\n",
    b"Host: a\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Upgrade: h2c\r\nConnection: upgrade\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nX: y\r\n\r\n",
    b"ffffffffffffffffff\r\n",
    b"X-Long: " + b"a" * 300,
]


@hypothesis.given(pieces=join_fragments(REQUEST_FRAGMENTS))
def test_any_bytes_of_a_caller_are_read_or_refused(pieces):
    # Guards against bytes that raise in the event loop or pass a limit.
    handler, transport = Handler(), Transport()
    connection = server_connections.ServerConnection(
        handler=handler, loop=Clock()
    )
    connection.connection_made(transport)
    for piece in pieces:
        if transport.is_closed:
            break
        connection.data_received(piece)
    for request in handler.requests:
        assert len(request.body) <= handler.limits.body_bytes
        assert request.method
    assert transport.written.count(b"HTTP/1.1 200") == len(handler.requests)
    connection.connection_lost(None)
    assert handler.resources.budget.held_bytes == 0


RESPONSE_FRAGMENTS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 000 \r\n",
    b"HTTP/1.1 600 x\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Request-Id: r1\r\n",
    b"Request-Id: r0\r\n",
    b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nX: y\r\n\r\n",
]


@hypothesis.given(
    pieces=join_fragments(RESPONSE_FRAGMENTS),
    is_reset=strategies.booleans(),
    is_head=strategies.booleans(),
    expects_id=strategies.booleans(),
)
def test_any_bytes_of_a_target_end_an_attempt_once(
    pieces, is_reset, is_head, expects_id
):
    # Guards against bytes that raise in the event loop, against an attempt
    # that gets two results or none, and against memory that stays reserved.
    results, transport = [], Transport()
    budget = receive_budgets.ReceiveBudget(limit_bytes=20_000)
    connection = http_client.ClientConnection(
        loop=Clock(),
        on_response=lambda _, response, fault: results.append(
            (response, fault)
        ),
        on_closed=lambda _: None,
        budget=budget,
    )
    connection.connection_made(transport)
    expected = (b"request-id", b"r1") if expects_id else None
    connection.send(b"GET", is_head=is_head, expected_header=expected)
    for piece in pieces:
        if transport.is_closed:
            break
        connection.data_received(piece)
    if not transport.is_closed and not is_reset:
        connection.eof_received()
    connection.connection_lost(None)
    assert len(results) == 1
    assert budget.reserved_bytes == 0
    response, fault = results[0]
    assert (response is None) == bool(fault)
    if response is not None:
        assert 200 <= response.status < 600


@hypothesis.given(data=strategies.binary(max_size=80))
def test_any_datagram_is_a_message_or_an_error(data):
    with contextlib.suppress(peers.DatagramError):
        peers.decode_message(data, ("127.0.0.1", 1))


MSGPACK_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.floats()
    | strategies.sampled_from(["ping", "serving", "host-1", b"x"]),
    lambda inner: strategies.lists(inner, max_size=10),
    max_leaves=24,
)


@hypothesis.given(
    kind=MSGPACK_VALUES, sequence=MSGPACK_VALUES, row=MSGPACK_VALUES
)
def test_any_message_of_a_host_is_valid_or_an_error(kind, sequence, row):
    for rows in ([row], row):
        for first in ("ping", kind):
            data = msgpack.packb([1, first, sequence, rows])
            with contextlib.suppress(peers.DatagramError):
                peers.decode_message(data, ("127.0.0.1", 1))


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=6),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["key", "revision", "value", "tombstone", "items", "events"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    items=JSON_VALUES,
    revision=JSON_VALUES,
    truncated=JSON_VALUES,
    kind=strategies.sampled_from([feeds.LIST, feeds.WATCH]),
)
def test_any_page_of_the_store_is_a_result(items, revision, truncated, kind):
    # Guards against a response of the store that ends the reading of the feed.
    body = {
        "items": items,
        "events": items,
        "current_rev": revision,
        "truncated": truncated,
    }
    response = http_responses.HttpResponse(
        status=200, headers=(), body=json.dumps(body).encode()
    )
    result = platform_store.decode_result(
        feeds.FeedRead(number=1, kind=kind, limit_s=1.0), response, 100.0
    )
    assert result.status in (feeds.OK, feeds.LOST)
    if result.status == feeds.OK:
        assert isinstance(result.revision, int)
        assert all(isinstance(c.revision, int) for c in result.changes)
        assert all(isinstance(c.key, str) for c in result.changes)


@hypothesis.given(
    row=strategies.lists(MSGPACK_VALUES, min_size=9, max_size=12),
    numbers=strategies.tuples(
        strategies.integers(), strategies.floats(), strategies.floats()
    ),
)
def test_any_observations_of_a_host_are_valid_or_an_error(row, numbers):
    # Guards against a datagram that is stored and fails in a later step.
    count, value, seconds = numbers
    plausible = ["crash", "f1", "host-2", 1, 1, "r1", 0, ["s1"], value]
    for fields in (row, [*plausible, seconds, 1.0], [*plausible, 1.0, count]):
        try:
            data = msgpack.packb([1, "observations", 0, [fields]])
        except OverflowError:
            continue
        try:
            received = peers.decode_observations(data)
        except peers.DatagramError:
            continue
        harness = boards.ComponentHarness(observations.Observations)
        harness.append("peer_observations", *received)
        harness.step()
        harness.step(2.0)
