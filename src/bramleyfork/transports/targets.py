"""Sending of attempts and cancellations to targets over HTTP."""

import http.client
import logging
import threading

import urllib3.exceptions

from bramleyfork.codecs import target_messages
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import transports
from bramleyfork.core import verdicts
from bramleyfork.decisions import lease as lease_decisions
from bramleyfork.transports import target_connections

_LOG = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 0.5
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
        self._pools: dict[str, target_connections.TargetConnectionPool] = {}
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
            result, reusable = self._exchange(connection, attempt)
        finally:
            if reusable:
                pool.release_connection(connection)
            else:
                pool.discard(connection)
        if result.code == "bad_reply":
            # The target may have mixed up replies on its other connections
            # too, so none of them is used for another attempt.
            pool.close_all()
        return result

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
    ) -> tuple[replies.AttemptResult, bool]:
        """Sends an attempt on an open connection and reads the reply.

        Returns:
          The result, and whether the connection can be reused.
        """
        request = attempt.request
        sent_at = self.clock.read_monotonic()
        # The process may have been suspended since the decision to send, so
        # deadline and lease are checked immediately before the send.
        if request.deadline <= sent_at:
            return _build_failure(
                attempt, "expired", verdicts.Verdict.NOT_RUN, 0.0
            ), True
        if not lease_decisions.is_held(self._lease.get("current"), sent_at):
            return _build_failure(
                attempt, "no_lease", verdicts.Verdict.NOT_RUN, 0.0
            ), True
        try:
            reply = self._send_and_receive(connection, request, sent_at)
        except target_connections.InvalidRequestError as error:
            return _build_failure(
                attempt, "rejected", verdicts.Verdict.NOT_RUN, 0.0, str(error)
            ), False
        except target_connections.IncompleteReplyError as error:
            # The target had run the request when it began to reply, so this
            # does not indicate that the request crashes targets.
            code, detail = "bad_reply", str(error)
        except TimeoutError as error:
            code, detail = "timeout", str(error)
        except _NETWORK_ERRORS as error:
            code, detail = "died", str(error)
        else:
            result = self._decode(attempt, reply, sent_at)
            return result, reply.reusable and result.code != "bad_reply"
        elapsed_s = self.clock.read_monotonic() - sent_at
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        return _build_failure(attempt, code, verdict, elapsed_s, detail), False

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
            source_ip=self.settings.peer_address.rpartition(":")[0],
            limit=attempt.connection_limit,
        )


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
