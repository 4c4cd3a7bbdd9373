"""Sending of attempts and cancellations to targets over HTTP."""

import http.client
import logging
import threading
import typing

import urllib3.exceptions

from bramleyfork.codecs import target_messages
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import transports
from bramleyfork.core import verdicts
from bramleyfork.decisions import lease as lease_decisions
from bramleyfork.transports import target_connections

_LOG = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 0.5
# Timeout of the check of whether a target that lost a reply has ended.
_END_CHECK_TIMEOUT_S = 0.05
_MAX_BODY_BYTES = 4 * 1024 * 1024  # Larger replies become "bad_reply".
# Longest time until an idle thread notices a stop.
_STOP_CHECK_INTERVAL_S = 5.0

_NETWORK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


@transports.register("target_transport")
class TargetTransport(transports.Transport):
    """A fixed set of threads that each execute one attempt at a time.

    Attempts and cancellations are read from the section "attempts"; the result
    of each attempt is written to "attempt_results".
    """

    def __init__(self, **arguments: typing.Any):
        super().__init__(**arguments)
        self._cursor = self.board.find_log("attempts").open_cursor()
        self._writer = self.board.grant_writer("attempt_results", self.name)
        self._lease = self.board.find_table("lease")
        self._pools: dict[str, target_connections.TargetConnectionPool] = {}
        self._pools_lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, name=f"target-{number}", daemon=True
            )
            for number in range(self.settings.target_threads)
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Signals the threads to end after their current attempt.

        Closes the connections to targets, those in use on their release.
        """
        self._stopped.set()
        with self._pools_lock:
            for pool in self._pools.values():
                pool.close_all()

    def count_connections(self, address: str) -> int:
        """Returns the number of connections to a target, in use or idle."""
        pool = self._pools.get(address)
        return 0 if pool is None else pool.num_open

    def _run(self) -> None:
        while not self._stopped.is_set():
            attempt = self._cursor.wait_for_record(_STOP_CHECK_INTERVAL_S)
            if attempt is None:
                continue
            if attempt.is_cancellation:
                self._cancel(attempt)
                continue
            self._writer.append(self._execute_attempt(attempt))

    def _execute_attempt(
        self, attempt: replies.Attempt
    ) -> replies.AttemptResult:
        """Sends an attempt to its target and returns the result."""
        started_at = self.clock.read_monotonic()
        remaining_s = attempt.request.deadline - started_at
        if remaining_s <= 0.0:
            return _build_failure(
                attempt, "expired", verdicts.Verdict.NOT_RUN, 0.0
            )
        pool = self._find_pool(attempt)
        try:
            connection = pool.acquire_connection(
                min(_CONNECT_TIMEOUT_S, remaining_s)
            )
        except target_connections.PoolExhaustedError as error:
            return self._build_connect_failure(attempt, started_at, str(error))
        reusable = False
        try:
            if connection.is_closed:
                connection.open(min(_CONNECT_TIMEOUT_S, remaining_s))
        except _NETWORK_ERRORS as error:
            return self._build_connect_failure(attempt, started_at, str(error))
        else:
            outcome = self._exchange(connection, attempt)
            reusable = outcome.reusable
        finally:
            if reusable:
                pool.release_connection(connection)
            else:
                pool.discard(connection)
        if outcome.mixed_up:
            # The target may have mixed up replies on its other connections
            # too, so none of them is used for another attempt.
            pool.close_all()
        return outcome.result

    def _build_connect_failure(
        self, attempt: replies.Attempt, started_at: float, detail: str
    ) -> replies.AttemptResult:
        elapsed_s = self.clock.read_monotonic() - started_at
        return _build_failure(
            attempt,
            "connect_failed",
            verdicts.Verdict.NOT_RUN,
            elapsed_s,
            detail,
        )

    def _exchange(
        self,
        connection: target_connections.Connection,
        attempt: replies.Attempt,
    ) -> "_Outcome":
        """Sends an attempt on an open connection and reads the reply."""
        request = attempt.request
        sent_at = self.clock.read_monotonic()
        # The process may have been suspended since the decision to send, so
        # deadline and lease are checked immediately before the send.
        if request.deadline <= sent_at:
            return _refuse(attempt, "expired", reusable=True)
        if not lease_decisions.is_held(self._lease.get("current"), sent_at):
            return _refuse(attempt, "no_lease", reusable=True)
        try:
            reply = self._send_and_receive(connection, request, sent_at)
        except target_connections.InvalidRequestError as error:
            return _refuse(attempt, "rejected", str(error))
        except TimeoutError as error:
            return _Outcome(
                result=self._build_loss(attempt, "timeout", sent_at, error)
            )
        except target_connections.IncompleteReplyError as error:
            code = self._find_loss_code(attempt)
            return _Outcome(
                result=self._build_loss(attempt, code, sent_at, error),
                mixed_up=code == "bad_reply",
            )
        except _NETWORK_ERRORS as error:
            code = self._find_loss_code(attempt)
            return _Outcome(
                result=self._build_loss(attempt, code, sent_at, error)
            )
        result = self._decode(attempt, reply, sent_at)
        if result.code != "bad_reply":
            return _Outcome(result=result, reusable=reply.reusable)
        # A reply that ends in its head is decoded as one without a body.
        if not reply.reusable:
            result = result.replace(code=self._find_loss_code(attempt))
        return _Outcome(result=result, mixed_up=result.code == "bad_reply")

    def _find_loss_code(self, attempt: replies.Attempt) -> str:
        """Returns the code of an attempt whose connection was lost.

        Only the end of its target indicates that a request crashes targets,
        however far the reply got.
        """
        has_ended = target_connections.is_refused(
            attempt.address,
            source_ip=self._find_source_ip(),
            timeout_s=_END_CHECK_TIMEOUT_S,
        )
        return "died" if has_ended else "bad_reply"

    def _build_loss(
        self,
        attempt: replies.Attempt,
        code: str,
        sent_at: float,
        error: Exception,
    ) -> replies.AttemptResult:
        return _build_failure(
            attempt,
            code,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.clock.read_monotonic() - sent_at,
            str(error),
        )

    def _send_and_receive(
        self,
        connection: target_connections.Connection,
        request: requests.SubRequest,
        sent_at: float,
    ) -> "_Reply":
        """Writes a request and reads the reply.

        The time until the deadline, which also goes into the request, is the
        timeout of the write and of each read.
        """
        remaining_s = request.deadline - sent_at
        path, request_headers, body = target_messages.encode_request(
            request, max(1, int(remaining_s * 1000))
        )
        connection.write_request(
            "POST", path, request_headers, body, remaining_s
        )
        response, content = connection.read_reply(_MAX_BODY_BYTES)
        return _Reply(
            status=response.status,
            headers=target_messages.index_headers(response.headers.items()),
            body=content,
            reusable=not connection.is_closed,
        )

    def _decode(
        self, attempt: replies.Attempt, reply: "_Reply", sent_at: float
    ) -> replies.AttemptResult:
        elapsed_s = self.clock.read_monotonic() - sent_at
        try:
            return target_messages.decode_reply(
                attempt.request,
                status=reply.status,
                headers=reply.headers,
                body=reply.body,
                elapsed_s=elapsed_s,
            )
        except target_messages.ReplyError as error:
            return _build_failure(
                attempt,
                "bad_reply",
                verdicts.Verdict.MAY_HAVE_RUN,
                elapsed_s,
                str(error),
            )

    def _cancel(self, attempt: replies.Attempt) -> None:
        """Asks a target to cancel an attempt; errors are only logged."""
        pool = self._find_pool(attempt)
        try:
            connection = pool.acquire_connection(_CANCEL_TIMEOUT_S)
        except target_connections.PoolExhaustedError as error:
            _log_cancellation(attempt, error)
            return
        reusable = False
        try:
            if connection.is_closed:
                connection.open(_CANCEL_TIMEOUT_S)
            path = f"/v1/attempts/{attempt.attempt_id}"
            connection.write_request(
                "DELETE", path, {}, None, _CANCEL_TIMEOUT_S
            )
            connection.read_reply(_MAX_BODY_BYTES)
            reusable = not connection.is_closed
        except (
            *_NETWORK_ERRORS,
            target_connections.IncompleteReplyError,
        ) as error:
            _log_cancellation(attempt, error)
        finally:
            if reusable:
                pool.release_connection(connection)
            else:
                pool.discard(connection)

    def _find_pool(
        self, attempt: replies.Attempt
    ) -> target_connections.TargetConnectionPool:
        pool = self._pools.get(attempt.address)
        if pool is None:
            with self._pools_lock:
                pool = self._pools.setdefault(
                    attempt.address, self._build_pool(attempt)
                )
        pool.set_limit(attempt.connection_limit)
        return pool

    def _build_pool(
        self, attempt: replies.Attempt
    ) -> target_connections.TargetConnectionPool:
        return target_connections.TargetConnectionPool(
            address=attempt.address,
            source_ip=self._find_source_ip(),
            limit=attempt.connection_limit,
        )

    def _find_source_ip(self) -> str:
        return self.settings.peer_address.rpartition(":")[0]


class _Outcome:
    """What became of an attempt and of its connection.

    Attributes:
      result: The result of the attempt.
      reusable: Whether the connection can be used for another attempt.
      mixed_up: Whether other connections to the target may return replies that
        belong to other attempts.
    """

    __slots__ = ("result", "reusable", "mixed_up")

    def __init__(
        self,
        *,
        result: replies.AttemptResult,
        reusable: bool = False,
        mixed_up: bool = False,
    ):
        self.result = result
        self.reusable = reusable
        self.mixed_up = mixed_up


class _Reply:
    """A complete reply of a target.

    Attributes:
      status: HTTP status.
      headers: HTTP headers by lower-case name.
      body: The whole body.
      reusable: Whether the connection stays open after the reply.
    """

    __slots__ = ("status", "headers", "body", "reusable")

    def __init__(
        self,
        *,
        status: int,
        headers: target_messages.Headers,
        body: bytes,
        reusable: bool,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.reusable = reusable


def _log_cancellation(attempt: replies.Attempt, error: Exception) -> None:
    _LOG.debug(
        "cancellation of attempt failed",
        extra={"attempt": attempt.attempt_id, "error": str(error)},
    )


def _refuse(
    attempt: replies.Attempt,
    code: str,
    detail: str = "",
    *,
    reusable: bool = False,
) -> _Outcome:
    """Returns the outcome of an attempt of which no byte was sent."""
    result = _build_failure(
        attempt, code, verdicts.Verdict.NOT_RUN, 0.0, detail
    )
    return _Outcome(result=result, reusable=reusable)


def _build_failure(
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
