"""HTTP to targets through urllib3."""

import collections.abc
import logging
import threading

import urllib3
import urllib3.connection
import urllib3.exceptions

from bramleyfork.codecs import headers
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import transports
from bramleyfork.core import verdicts
from bramleyfork.decisions import lease as lease_decisions

_LOG = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 0.5
_BODY_LIMIT = 4 * 1024 * 1024  # Bytes; larger replies count as unreadable.
_IDLE_WAIT_S = 5.0

_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
)


# What the current thread checks between connecting and sending.
_BEFORE_SEND = threading.local()


class _NotBegunError(Exception):
    """The send was not begun; the argument is the result's code."""


class _TruncatedError(Exception):
    """A reply began and its connection broke before its end."""


@transports.register("target_transport")
class TargetTransport(transports.Transport):
    """A fixed set of threads that each carry one attempt at a time."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        settings,
        clock: clocks.Clock,
    ):
        super().__init__(board=board, settings=settings, clock=clock)
        self._cursor = board.find_log("attempts").open_cursor()
        self._writer = board.grant_writer("attempt_results", self.name)
        self._lease = board.find_table("lease")
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._pools_lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, name=f"target-{number}", daemon=True
            )
            for number in range(settings.target_threads)
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the threads after their current attempt."""
        self._stopped.set()
        with self._pools_lock:
            for pool in self._pools.values():
                pool.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            attempt = self._cursor.wait_for_one(_IDLE_WAIT_S)
            if attempt is None:
                continue
            if attempt.cancel:
                self._cancel(attempt)
                continue
            self._writer.append(self._carry(attempt))

    def _carry(self, attempt: replies.Attempt) -> replies.AttemptResult:
        """Sends one attempt and returns what became of it."""
        sent_at = self.clock.read_monotonic()
        try:
            self._check_start(attempt.request)
            status, reply_headers, body = self._exchange(
                attempt, max(0.001, attempt.request.deadline - sent_at)
            )
        except _NotBegunError as error:
            return _fail(attempt, str(error), verdicts.Verdict.NOT_RUN, 0.0)
        except _NOT_SENT as error:
            code, verdict = "connect_failed", verdicts.Verdict.NOT_RUN
            detail = str(error)
        except urllib3.exceptions.TimeoutError as error:
            code, verdict = "timeout", verdicts.Verdict.MAY_HAVE_RUN
            detail = str(error)
        except _TruncatedError as error:
            # The target had run the request when it began to reply, so this
            # is no sign that the request crashes targets.
            code, verdict = "bad_reply", verdicts.Verdict.MAY_HAVE_RUN
            detail = str(error)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            code, verdict = "died", verdicts.Verdict.MAY_HAVE_RUN
            detail = str(error)
        else:
            return self._decode(attempt, status, reply_headers, body, sent_at)
        elapsed_s = self.clock.read_monotonic() - sent_at
        return _fail(attempt, code, verdict, elapsed_s, detail)

    def _check_start(self, request: requests.SubRequest) -> None:
        """Raises _NotBegunError if the request must not be sent any more."""
        now = self.clock.read_monotonic()
        if request.deadline <= now:
            raise _NotBegunError("expired")
        if not lease_decisions.is_held(self._lease.get("current"), now):
            raise _NotBegunError("no_lease")

    def _exchange(
        self, attempt: replies.Attempt, remaining_s: float
    ) -> tuple[int, headers.Headers, bytes]:
        # The process may be stopped while it waits for a connection, so
        # deadline and lease are checked again immediately before the send.
        _BEFORE_SEND.check = lambda: self._check_start(attempt.request)
        try:
            return self._send(attempt, remaining_s)
        finally:
            _BEFORE_SEND.check = None

    def _send(
        self, attempt: replies.Attempt, remaining_s: float
    ) -> tuple[int, headers.Headers, bytes]:
        pool = self._find_pool(attempt)
        path, request_headers, body = headers.encode_request(
            attempt.request, max(1, int(remaining_s * 1000))
        )
        response = pool.urlopen(
            "POST",
            path,
            body=body,
            headers=request_headers,
            retries=False,
            redirect=False,
            preload_content=False,
            pool_timeout=min(_CONNECT_TIMEOUT_S, remaining_s),
            timeout=urllib3.Timeout(
                connect=min(_CONNECT_TIMEOUT_S, remaining_s),
                read=remaining_s,
            ),
        )
        try:
            content = response.read(_BODY_LIMIT)
            too_large = bool(response.read(1))
        except urllib3.exceptions.ProtocolError as error:
            response.close()
            raise _TruncatedError(f"reply was cut short: {error}") from error
        if too_large:
            response.close()
            raise _TruncatedError("reply is too large")
        response.release_conn()
        return response.status, response.headers, content

    def _decode(
        self,
        attempt: replies.Attempt,
        status: int,
        reply_headers: headers.Headers,
        body: bytes,
        sent_at: float,
    ) -> replies.AttemptResult:
        elapsed_s = self.clock.read_monotonic() - sent_at
        try:
            return headers.decode_reply(
                attempt.request,
                status=status,
                headers=reply_headers,
                body=body,
                elapsed_s=elapsed_s,
            )
        except headers.ReplyError as error:
            # Later replies on the same connection may be shifted as well.
            self._drop_pool(attempt.address)
            return _fail(
                attempt,
                "bad_reply",
                verdicts.Verdict.MAY_HAVE_RUN,
                elapsed_s,
                str(error),
            )

    def _cancel(self, attempt: replies.Attempt) -> None:
        """Tells a target that an attempt is no longer wanted."""
        try:
            self._find_pool(attempt).request(
                "DELETE",
                f"/v1/attempts/{attempt.attempt_id}",
                retries=False,
                redirect=False,
                pool_timeout=_CANCEL_TIMEOUT_S,
                timeout=_CANCEL_TIMEOUT_S,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            _LOG.debug(
                "cancellation failed",
                extra={"attempt": attempt.attempt_id, "error": str(error)},
            )

    def _find_pool(
        self, attempt: replies.Attempt
    ) -> urllib3.HTTPConnectionPool:
        with self._pools_lock:
            pool = self._pools.get(attempt.address)
            if pool is not None and pool.num_allowed == attempt.connections:
                return pool
            if pool is not None:
                pool.close()
            pool = self._open_pool(attempt)
            self._pools[attempt.address] = pool
            return pool

    def _open_pool(self, attempt: replies.Attempt) -> "_BoundedPool":
        host, _, port = attempt.address.rpartition(":")
        own_ip = self.settings.peer_address.rpartition(":")[0]
        return _BoundedPool(
            host,
            int(port),
            maxsize=attempt.connections,
            block=True,
            source_address=(own_ip, 0),
        )

    def _drop_pool(self, address: str) -> None:
        with self._pools_lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()


class _CheckedConnection(urllib3.connection.HTTPConnection):
    """A connection that checks once more before it sends a request."""

    def request(self, *args, **options) -> None:
        """Connects, checks and sends."""
        if self.sock is None:
            self.connect()
        check: collections.abc.Callable[[], None] | None = getattr(
            _BEFORE_SEND, "check", None
        )
        if check is not None:
            check()
        super().request(*args, **options)


class _BoundedPool(urllib3.HTTPConnectionPool):
    """A pool that remembers how many connections it may open."""

    ConnectionCls = _CheckedConnection

    def __init__(self, *args, maxsize: int, **options):
        super().__init__(*args, maxsize=maxsize, **options)
        self.num_allowed = maxsize


def _fail(
    attempt: replies.Attempt,
    code: str,
    verdict: verdicts.Verdict,
    elapsed_s: float,
    detail: str = "",
) -> replies.AttemptResult:
    return replies.AttemptResult(
        attempt_id=attempt.attempt_id,
        target=attempt.request.target,
        verdict=verdict,
        code=code,
        elapsed_s=elapsed_s,
        detail=detail[:200],
    )
