import socket
import threading

import pytest
from tests import creators

from bramleyfork.core import fleet
from bramleyfork.core import replies
from bramleyfork.core import verdicts
from bramleyfork.transports import targets

NOW = 1000.0
CUT_REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 100\r\n\r\n{"
)


class StepClock:
    """A clock that tells the given times one after the other."""

    def __init__(self, *times):
        self._times = list(times)

    def read_monotonic(self):
        return self._times.pop(0) if len(self._times) > 1 else self._times[0]


class Peer:
    """A listener that reads one request and sends fixed bytes."""

    def __init__(self, reply):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.received = b""
        self._reply = reply
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        connection, _ = self._listener.accept()
        with connection, self._listener:
            connection.settimeout(5.0)
            self.received = connection.recv(65536)
            if self.received:
                connection.sendall(self._reply)

    def join(self):
        self._thread.join(5.0)


def carry(clock, reply=b""):
    """Returns result of one attempt and what reached the target."""
    peer = Peer(reply)
    board = creators.create_board()
    lease = board.grant_writer("lease", "membership")
    lease.put("current", fleet.Lease(expires_at=NOW + 2.5, source="peer"))
    results = board.find_log("attempt_results").open_cursor()
    attempts = board.grant_writer("attempts", "ownership")
    transport = targets.TargetTransport(
        board=board,
        settings=creators.create_settings(target_threads=1),
        clock=clock,
    )
    transport.start()
    request = creators.create_sub_request(deadline=NOW + 5.0)
    attempts.append(
        replies.Attempt(
            attempt_id="a1",
            address=peer.address,
            connections=1,
            request=request,
            cancel=False,
        )
    )
    result = results.wait_for_one(10.0)
    transport.stop()
    peer.join()
    return result, peer.received


@pytest.mark.parametrize(
    ("late", "code"), [(NOW + 3.0, "no_lease"), (NOW + 6.0, "expired")]
)
def test_process_stopped_while_it_connects_sends_nothing(late, code):
    # Guards against late work of a process that was frozen before the send.
    clock = StepClock(NOW, NOW, late)
    result, received = carry(clock)
    assert (result.code, result.verdict) == (code, verdicts.Verdict.NOT_RUN)
    assert received == b""


@pytest.mark.parametrize(
    ("reply", "code"), [(CUT_REPLY, "bad_reply"), (b"", "died")]
)
def test_only_a_connection_lost_before_the_reply_is_a_death(reply, code):
    # Guards against a quarantine of requests whose replies were cut.
    result, received = carry(StepClock(NOW), reply)
    assert (result.code, result.verdict) == (
        code,
        verdicts.Verdict.MAY_HAVE_RUN,
    )
    assert received.startswith(b"POST /v1/read")
