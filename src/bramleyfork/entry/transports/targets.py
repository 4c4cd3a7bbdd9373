"""Sends attempts to targets over HTTP/1.1.

Connections to each target are pooled and reused.
"""

import asyncio
import socket

from bramleyfork.core import verdicts
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.decisions import answers
from bramleyfork.entry.transports import _end_checks
from bramleyfork.entry.transports import _request_encoder
from bramleyfork.entry.transports import _statements
from bramleyfork.entry.transports import _target_pools
from bramleyfork.entry.transports import _target_replies
from bramleyfork.entry.transports import http_client
from bramleyfork.entry.transports import http_responses
from bramleyfork.entry.transports import receive_budgets

_CONNECT_TIMEOUT_S = 1.0
_MAX_QUEUED_PER_TARGET = 16  # Attempts that are queued for one target.
# Maximum idle time of a connection that is reused for a request that may run
# only once. If the target closes the connection when the request is sent, it is
# unknown whether the request ran.
_MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# Interval at which expired idle connections are closed.
_EXPIRY_CHECK_INTERVAL_S = 1.0
# Total size of the incomplete responses to attempts. A host has 200 MB, and any
# number of targets may send bytes without end.
_MAX_RECEIVING_BYTES = 16 * 1024 * 1024


@components.register(
    components.TRANSPORTS,
    "target_connections",
    reads=("sends", "carried_sends", "aborts", "carried_aborts"),
    passive_reads=("target_observations",),
    writes=("replies", "target_findings"),
)
class TargetTransport(components.Component):
    """Sends attempts over pooled connections and reads their replies."""

    __slots__ = (
        "_loop",
        "_pools",
        "_attempts",
        "_by_connection",
        "_tasks",
        "_budget",
        "_end_checks",
        "_expiry_checked_at",
        "_encoder",
        "_recorder",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._pools: dict[tuple[str, int], _target_pools.Pool] = {}
        self._attempts: dict[int, _target_pools.Attempt] = {}
        self._by_connection: dict[
            http_client.ClientConnection, _target_pools.Attempt
        ] = {}
        self._tasks: set[asyncio.Task] = set()
        self._budget = receive_budgets.ReceiveBudget(
            limit_bytes=_MAX_RECEIVING_BYTES,
            parent=self.context.connections.budget,
        )
        self._end_checks = _end_checks.EndChecks(
            pools=self._pools,
            open_connection=self._open,
            report=self._report_check,
        )
        self._expiry_checked_at = 0.0
        self._encoder = _request_encoder.RequestEncoder(
            header_names=self.context.header_names
        )
        self._recorder = _statements.StatementRecorder(
            context=self.context,
            known=self.get_table("target_observations"),
            writer=self.get_writer("target_findings"),
        )

    async def open(self) -> None:
        """Stores the running event loop."""
        self._loop = asyncio.get_running_loop()

    def step(self, now: float) -> float | None:
        """Cancels and sends attempts.

        Also closes idle connections that have expired.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Monotonic time at which idle connections are next checked; None if
          there are no connections.
        """
        aborted = set(
            self.read_new_records("aborts")
            + self.read_new_records("carried_aborts")
        )
        for attempt in aborted:
            self._abort(attempt)
        for send in self.read_new_records("sends") + self.read_new_records(
            "carried_sends"
        ):
            if send.attempt not in aborted:
                self._start_attempt(send, now)
        if now >= self._expiry_checked_at + _EXPIRY_CHECK_INTERVAL_S:
            self._expiry_checked_at = now
            self._close_expired(now)
        return (
            self._expiry_checked_at + _EXPIRY_CHECK_INTERVAL_S
            if self._pools
            else None
        )

    def _start_task(self, work) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Attempts.

    def _start_attempt(self, send: exchanges.TargetRequest, now: float) -> None:
        address = send.target.address
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _target_pools.Pool()
        attempt = _target_pools.Attempt(send=send, pool=pool)
        self._attempts[send.attempt] = attempt
        connection = self._take_idle(pool, send, now)
        if connection is not None:
            self._write(attempt, connection, now)
            return
        if len(pool.waiting) >= _MAX_QUEUED_PER_TARGET:
            self._report_fault(attempt, "no_room", verdicts.Verdict.NOT_RUN)
            return
        pool.waiting.append(attempt)
        if pool.idle and pool.needs_replacement(attempt):
            pool.idle.pop(0).abort()
            return
        self._open_if_needed(address, pool, send.connection_limit)

    def _take_idle(
        self,
        pool: _target_pools.Pool,
        send: exchanges.TargetRequest,
        now: float,
    ) -> http_client.ClientConnection | None:
        request_id = send.request.request_id
        while (connection := pool.take_idle(request_id)) is not None:
            if not connection.is_open:
                continue
            may_reuse = (
                send.may_reuse_connection
                or now - connection.last_used_at < _MAX_IDLE_NON_IDEMPOTENT_S
            )
            if connection.reusable_until > now and may_reuse:
                return connection
            connection.abort()
        return None

    def _open_if_needed(
        self, address: tuple[str, int], pool: _target_pools.Pool, limit: int
    ) -> None:
        if pool.count >= limit or pool.opening >= len(pool.waiting):
            return
        self._open(address, pool)

    def _open(self, address: tuple[str, int], pool: _target_pools.Pool) -> None:
        pool.count += 1
        pool.opening += 1
        self._start_task(self._connect(address, pool))

    async def _connect(
        self, address: tuple[str, int], pool: _target_pools.Pool
    ) -> None:
        loop = self._loop
        closed = False

        def handle_closed(connection: http_client.ClientConnection):
            nonlocal closed
            if not closed:
                closed = True
                pool.count -= 1
                pool.remove(connection, loop.time())
                self._end_checks.record_closed(pool)
                if pool.waiting:
                    limit = pool.waiting[0].send.connection_limit
                    self._open_if_needed(address, pool, limit)

        self.context.metrics.count("target_connections_opened")
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                transport, connection = await loop.create_connection(
                    lambda: http_client.ClientConnection(
                        loop=loop,
                        on_response=self._handle_reply,
                        on_closed=handle_closed,
                        budget=self._budget,
                    ),
                    *address,
                )
        except (OSError, TimeoutError) as error:
            pool.opening -= 1
            pool.count -= 1
            self._end_checks.record_failure(pool, error)
            self._fail_waiting(pool, "connect")
            return
        pool.opening -= 1
        self._end_checks.record_connected(pool, loop.time())
        pool.add(connection)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        now = loop.time()
        connection.reusable_until = now + _CONNECT_TIMEOUT_S
        self._assign_or_release(pool, connection, now)

    def _fail_waiting(self, pool: _target_pools.Pool, fault: str) -> None:
        while pool.waiting:
            attempt = pool.waiting.popleft()
            self._report_fault(attempt, fault, verdicts.Verdict.NOT_RUN)

    def _assign_or_release(
        self,
        pool: _target_pools.Pool,
        connection: http_client.ClientConnection,
        now: float,
    ) -> None:
        while (attempt := pool.take_waiting(connection)) is not None:
            if attempt.send.deadline_at <= now:
                self._report_fault(attempt, "expired", verdicts.Verdict.NOT_RUN)
                continue
            self._write(attempt, connection, now)
            return
        if any(pool.needs_replacement(attempt) for attempt in pool.waiting):
            connection.abort()
            return
        pool.idle.append(connection)

    def _write(
        self,
        attempt: _target_pools.Attempt,
        connection: http_client.ClientConnection,
        now: float,
    ) -> None:
        send = attempt.send
        wait_ms = int((send.deadline_at - now) * 1000)
        if wait_ms <= 0:
            pool = attempt.pool
            self._report_fault(attempt, "expired", verdicts.Verdict.NOT_RUN)
            self._assign_or_release(pool, connection, now)
            return
        attempt.connection = connection
        attempt.sent_at = now
        self._by_connection[connection] = attempt
        header_names = self.context.header_names
        head, large_body = self._encoder.encode(send, wait_ms)
        connection.send(
            head,
            body=large_body,
            is_head=send.request.method == b"HEAD",
            # An idempotent request is repeated at once instead of waiting for
            # its response behind one to an earlier request.
            expected_header=(
                None
                if send.may_reuse_connection
                else (header_names.request_id, send.request.request_id)
            ),
        )

    def _abort(self, number: int) -> None:
        attempt = self._attempts.get(number)
        # Whether its target ended is reported even if nobody waits for it.
        if attempt is None or attempt in attempt.pool.lost:
            return
        del self._attempts[number]
        connection = attempt.connection
        if connection is not None:
            self._by_connection.pop(connection, None)
            connection.abort()
            return
        if attempt in attempt.pool.waiting:
            attempt.pool.waiting.remove(attempt)

    # Replies.

    def _handle_reply(
        self,
        connection: http_client.ClientConnection,
        response: http_responses.HttpResponse | None,
        fault: str,
    ) -> None:
        attempt = self._by_connection.pop(connection, None)
        if attempt is None:
            return
        if response is None and fault == "lost":
            attempt.pool.remove(connection, self._loop.time())
            self._end_checks.start(attempt)
            return
        if response is None:
            self._report_fault(attempt, fault, verdicts.Verdict.MAY_HAVE_RUN)
            return
        if response.ends_with_connection:
            # A target that ends closes its connections in the same way.
            attempt.response = response
            self._end_checks.start(attempt)
            return
        self._handle_response(attempt, response)

    def _handle_response(
        self,
        attempt: _target_pools.Attempt,
        response: http_responses.HttpResponse,
    ) -> None:
        """Reports a complete response and releases its connection."""
        connection = attempt.connection
        self._attempts.pop(attempt.send.attempt, None)
        reply = _target_replies.build_reply(
            attempt.send,
            response,
            self.context.header_names,
            is_first=connection.request_count == 1,
        )
        self.get_writer("replies").append(reply)
        now = self._loop.time()
        # Status 421 is an answer of another target.
        if not reply.fault and reply.status != 421:
            statements = self._recorder.record(
                attempt.send.target,
                response,
                sent_at=attempt.sent_at,
                now=now,
            )
            if answers.is_stopping(statements):
                self._fail_waiting(attempt.pool, "not_usable")
        if reply.fault:
            connection.abort()
            return
        if connection.reusable_until <= now:
            return
        if reply.status >= 300 and not attempt.pool.record_failed(attempt):
            connection.abort()
            return
        self._assign_or_release(attempt.pool, connection, now)

    def _report_check(
        self, attempt: _target_pools.Attempt, has_ended: bool
    ) -> None:
        """Reports an attempt whose connection closed after its check."""
        if attempt.response is not None and not has_ended:
            self._handle_response(attempt, attempt.response)
            return
        self._report_fault(
            attempt,
            "ended" if has_ended else "lost",
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _report_fault(
        self,
        attempt: _target_pools.Attempt,
        fault: str,
        verdict: verdicts.Verdict,
    ) -> None:
        self._attempts.pop(attempt.send.attempt, None)
        self.get_writer("replies").append(
            exchanges.Reply(
                attempt=attempt.send.attempt, verdict=verdict, fault=fault
            )
        )

    # Maintenance of connections.

    def _close_expired(self, now: float) -> None:
        for address, pool in list(self._pools.items()):
            kept = []
            for connection in pool.idle:
                if connection.is_open and connection.reusable_until > now:
                    kept.append(connection)
                else:
                    connection.abort()
            pool.idle = kept
            if not pool.count and not pool.waiting:
                del self._pools[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            for connection in pool.idle:
                connection.abort()
