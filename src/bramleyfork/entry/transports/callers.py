"""Accepts connections of callers, reads requests and writes responses."""

import asyncio
import logging

from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry import http_headers
from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import limits
from bramleyfork.listeners import resources as resources_module
from bramleyfork.listeners import server_connections
from bramleyfork.listeners import sockets
from bramleyfork.listeners import timeouts

_LOG = logging.getLogger(__name__)

_LINGER_BYTES = 512 * 1024  # Dropped after a refusal.
# States in which a connection has no request to answer.
_RESTING_STATES = (server_connections.IDLE, server_connections.LINGERING)


@components.register(
    components.TRANSPORTS,
    "callers",
    reads=("responses", "lifecycle", "route_table"),
    writes=("requests", "departures", "open_work"),
)
class CallerTransport(components.Component):
    """Reads requests of callers over HTTP/1.1 and writes their responses."""

    __slots__ = (
        "limits",
        "is_closing",
        "linger_bytes",
        "_server",
        "_connections",
        "_connection_by_key",
        "_key_by_connection",
        "_next_key",
        "_timeouts_checked_at",
        "_last_open_work",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self.limits = limits.CallerLimits()
        self.is_closing = False
        self.linger_bytes = _LINGER_BYTES
        self._server: asyncio.Server | None = None
        self._connections: set[server_connections.ServerConnection] = set()
        self._connection_by_key: dict[
            int, server_connections.ServerConnection
        ] = {}
        self._key_by_connection: dict[
            server_connections.ServerConnection, int
        ] = {}
        self._next_key = 1
        self._timeouts_checked_at = 0.0
        self._last_open_work: exchanges.OpenWork | None = None

    async def open(self) -> None:
        """Listens for callers."""
        loop = asyncio.get_running_loop()
        self._server = await sockets.open_server(
            lambda: server_connections.ServerConnection(
                handler=self, loop=loop
            ),
            self.context.settings.caller_address,
        )

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def step(self, now: float) -> float | None:
        """Writes responses and closes connections that exceed a time limit.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Monotonic time of the next check of time limits.
        """
        for response in self.read_new_records("responses"):
            connection = self._connection_by_key.pop(response.key, None)
            if connection is not None:
                self._key_by_connection.pop(connection, None)
                connection.respond(
                    response.status, response.headers, response.body
                )
        self._apply_limits_and_phase()
        if now >= self._timeouts_checked_at + timeouts.CHECK_INTERVAL_S:
            self._timeouts_checked_at = now
            timeouts.check_connections(
                self._connections,
                timeouts.build_time_limits(self.limits),
                now,
            )
        self._report_work()
        return self._timeouts_checked_at + timeouts.CHECK_INTERVAL_S

    def _report_work(self) -> None:
        """Writes the count of open requests and connections if it has changed.

        The lifecycle waits for both to end; they are only counted once the host
        has left the phase "serving".
        """
        if not self.is_closing:
            return
        work = exchanges.OpenWork(
            phase=self.get_table("lifecycle").get("current").phase,
            requests=len(self._connection_by_key),
            connections=len(self._connections),
        )
        if work != self._last_open_work:
            self._last_open_work = work
            self.get_writer("open_work").put("current", work)

    def _apply_limits_and_phase(self) -> None:
        table = self.get_table("route_table").get("current")
        if table is not None:
            self.limits = table.limits
        phase = self.get_table("lifecycle").get("current")
        if phase is None:
            return
        self.is_closing = phase.phase != "serving"
        if phase.phase == "closing" and self._server is not None:
            self._server.close()
            self._server = None
        if phase.phase == "closing":
            for connection in list(self._connections):
                if connection.state in _RESTING_STATES:
                    connection.close()

    # Called by connections.

    @property
    def resources(self) -> resources_module.LoopResources:
        """What the connections of all listeners share."""
        return self.context.connections

    def build_refusal(self, status: int) -> tuple[http_heads.Headers, bytes]:
        """Returns headers and body of the refusal of an incomplete request."""
        self.context.metrics.count("connections_refused", str(status))
        return http_heads.build_refusal_headers(status), b""

    def add_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Adds a new connection."""
        self._connections.add(connection)
        self._report_work()

    def remove_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Removes a connection and reports the request that waited on it."""
        self._connections.discard(connection)
        key = self._key_by_connection.pop(connection, None)
        if (
            key is not None
            and self._connection_by_key.pop(key, None) is not None
        ):
            self.get_writer("departures").append(key)
        self._report_work()

    def handle_request(
        self,
        connection: server_connections.ServerConnection,
        http_request: http_requests.HttpRequest,
    ) -> None:
        """Passes on a request; answers an invalid one with status 400."""
        request = self._read_request(connection, http_request)
        if request is None:
            self.context.metrics.count("requests_malformed")
            connection.respond(400, (), b"")
            return
        self._connection_by_key[request.key] = connection
        self._key_by_connection[connection] = request.key
        self.get_writer("requests").append(request)
        self._report_work()

    def _read_request(
        self,
        connection: server_connections.ServerConnection,
        http_request: http_requests.HttpRequest,
    ) -> exchanges.CallerRequest | None:
        header_names = self.context.header_names
        values_by_name: dict[bytes, list[bytes]] = {
            b"host": [],
            header_names.request_id: [],
            header_names.deadline_ms: [],
        }
        for name, value in http_request.headers:
            values = values_by_name.get(name.lower())
            if values is not None:
                values.append(value)
        hosts, ids = (
            values_by_name[b"host"],
            values_by_name[header_names.request_id],
        )
        deadlines = values_by_name[header_names.deadline_ms]
        if len(hosts) != 1 or len(ids) != 1 or not ids[0] or len(deadlines) > 1:
            return None
        if not http_request.url.startswith(b"/"):
            return None
        wait_s = None
        if deadlines:
            if not deadlines[0].isdigit():
                return None
            wait_s = http_headers.parse_count(deadlines[0]) / 1000
        key = self._next_key
        self._next_key += 1
        return exchanges.CallerRequest(
            key=key,
            request_id=ids[0],
            method=http_request.method,
            url=http_request.url,
            path=http_request.url.partition(b"?")[0].decode("latin-1"),
            host=hosts[0].decode("latin-1").lower().partition(":")[0],
            headers=http_request.headers,
            body=http_request.body,
            received_at=http_request.received_at,
            wait_s=wait_s,
            caller=connection.caller,
            rtt_s=connection.rtt_s,
        )
