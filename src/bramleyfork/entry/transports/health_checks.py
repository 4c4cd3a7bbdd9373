"""Makes health checks of targets over HTTP/1.1, each on its own connection."""

import asyncio

from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import _statements
from bramleyfork.entry.transports import _target_replies
from bramleyfork.entry.transports import http_client
from bramleyfork.entry.transports import http_responses
from bramleyfork.entry.transports import receive_budgets

_TIMEOUT_S = 1.0
# Total size of the incomplete responses, as targets may send bytes without end.
_MAX_RECEIVING_BYTES = 1024 * 1024


@components.register(
    components.TRANSPORTS,
    "health_checks",
    reads=("probes",),
    passive_reads=("target_observations",),
    writes=("probe_results", "probe_findings"),
)
class HealthChecks(components.Component):
    """Makes health checks and writes their results."""

    __slots__ = ("_loop", "_tasks", "_budget", "_recorder")

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tasks: set[asyncio.Task] = set()
        self._budget = receive_budgets.ReceiveBudget(
            limit_bytes=_MAX_RECEIVING_BYTES,
            parent=self.context.connections.budget,
        )
        self._recorder = _statements.StatementRecorder(
            context=self.context,
            known=self.get_table("target_observations"),
            writer=self.get_writer("probe_findings"),
        )

    async def open(self) -> None:
        """Stores the running event loop."""
        self._loop = asyncio.get_running_loop()

    def step(self, now: float) -> float | None:
        """Starts the health checks in ``probes``."""
        del now
        for probe in self.read_new_records("probes"):
            task = self._loop.create_task(self._check(probe))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return None

    async def _check(self, probe: exchanges.Probe) -> None:
        response = await self._fetch(probe)
        result = _target_replies.build_probe_result(
            probe, response, self.context.header_names
        )
        if result.is_healthy:
            now = self._loop.time()
            self._recorder.record(
                probe.target,
                response,
                sent_at=now,
                now=now,
                is_health_check=True,
            )
        self.get_writer("probe_results").append(result)

    async def _fetch(
        self, probe: exchanges.Probe
    ) -> http_responses.HttpResponse | None:
        """Returns the whole response to a health check, or None."""
        done = self._loop.create_future()

        def handle_response(connection, response, fault):
            del connection, fault
            if not done.done():
                done.set_result(response)

        transport = None
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                transport, connection = await self._loop.create_connection(
                    lambda: http_client.ClientConnection(
                        loop=self._loop,
                        on_response=handle_response,
                        on_closed=lambda _: None,
                        budget=self._budget,
                    ),
                    *probe.target.address,
                )
                connection.send(_encode_check(probe))
                return await done
        except (OSError, TimeoutError):
            self.context.metrics.count("probes_failed")
            return None
        finally:
            if transport is not None:
                transport.abort()


def _encode_check(probe: exchanges.Probe) -> bytes:
    return b"GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % (
        probe.path.encode("latin-1"),
        "{}:{}".format(*probe.target.address).encode("ascii"),
    )
