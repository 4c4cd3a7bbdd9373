"""HTTP server of one target: connections, requests and replies."""

import asyncio
import collections.abc
import itertools
import json
import time

from aiohttp import web

from standins import blackboard
from standins import connections
from standins import controllers
from standins import listeners
from standins.target import attempts
from standins.target import extension_points
from standins.target import limits
from standins.target import messages
from standins.target import reply_faults
from standins.target import settings as target_settings

_ATTEMPT_SERIALS = itertools.count(1)


@controllers.register(
    extension_points.CONTROLLERS,
    "http",
    reads=["commands", "outcomes", "life", "setup"],
    writes=["arrivals", "cancels", "commands", "connections"],
)
class HttpController(controllers.Controller):
    """Records requests as arrivals and sends the replies to their outcomes.

    It is stepped last, so that a reply shows the state after all other steps.
    """

    def start(self) -> None:
        """Initialises state; called once, before the first step."""
        self._open_connections: set[connections.Connection] = set()
        self._pending_replies: dict[int, asyncio.Future] = {}
        self._fault_injector = reply_faults.ReplyFaultInjector()
        self._is_listening: bool | None = None
        self._tasks: set[asyncio.Task] = set()
        self.listener: listeners.Listener | None = None
        self.runner: controllers.Runner | None = None

    def step(self, now: float) -> None:
        """Sends replies, opens or closes the listener, aborts connections."""
        for command in self.read_new_records("commands"):
            if command.name == "reset":
                self._reset_counts()
        for outcome in self.read_new_records("outcomes"):
            self._send_reply(outcome, now)
        blocked = self.board.find_section("setup").get("blocked_sources")
        for connection in list(self._open_connections):
            if connection.source in blocked and not connection.control:
                connection.abort_connection()
        listening = self.board.find_section("life").get("now").listening
        if self.listener is not None and listening != self._is_listening:
            self._is_listening = listening
            self._apply_listening(listening)

    def submit_command(self, name: str, body: dict) -> None:
        """Applies a validated control call."""
        command = attempts.Command(name=name, body=body)
        self.get_writer("commands").append(command)
        self.runner.run()

    def accept(self, connection: connections.Connection) -> bool:
        """Accepts a new connection unless the target has crashed."""
        self._open_connections.add(connection)
        return self.board.find_section("life").get("now").listening

    def admit(self, connection: connections.Connection) -> bool:
        """Counts a connection; returns False if it exceeds the limit.

        Returns False as well if its source is blocked. The method is not called
        for control connections, so they are neither counted nor blocked.
        """
        setup = self.board.find_section("setup")
        if connection.source in setup.get("blocked_sources"):
            connection.abort_connection()
            return False
        table = self.board.find_section("connections")
        counted_connections = sum(
            1 for other in self._open_connections if other.is_counted
        )
        if counted_connections >= self.settings.connections:
            refused = table.get("refused", 0) + 1
            self.get_writer("connections").put("refused", refused)
            return False
        connection.is_counted = True
        self.get_writer("connections").put("open", counted_connections + 1)
        peak = max(table.get("peak", 0), counted_connections + 1)
        self.get_writer("connections").put("peak", peak)
        return True

    def discard(self, connection: connections.Connection) -> None:
        """Removes a connection that has ended."""
        self._open_connections.discard(connection)
        counted_connections = sum(
            1 for other in self._open_connections if other.is_counted
        )
        self.get_writer("connections").put("open", counted_connections)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to one request."""
        connection = request.protocol
        connection.request_count += 1
        try:
            reply = await self._answer(request, connection)
        except ConnectionError:
            connection.abort_connection()
            return web.Response()
        if reply.cut:
            body = reply.body.encode()
            connection.send_and_close(
                connections.encode_truncated_reply(
                    reply.status, reply.headers, body, 0.5
                )
            )
        return web.Response(
            status=reply.status,
            headers=reply.headers,
            text=reply.body or None,
            content_type="application/json",
        )

    async def _answer(
        self, request: web.BaseRequest, connection: connections.Connection
    ) -> messages.Reply:
        kind, argument = find_route(request.method, request.path)
        route = extension_points.ROUTES.find(kind)
        body = await request.read()
        if kind == "control":
            return await route(self, request, argument, body)
        one_way_s = limits.find_latency_s(
            self.settings.latency, connection.source
        )
        await self._delay(connection, one_way_s)
        reply = await route(self, request, argument, body)
        await self._delay(connection, one_way_s)
        return reply

    async def _delay(
        self, connection: connections.Connection, delay_s: float
    ) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
        if connection.cut:
            raise ConnectionResetError("the connection was aborted")

    async def attempt(
        self, request: web.BaseRequest, kind: str, body: bytes
    ) -> messages.Reply:
        """Runs a read or write and returns its reply."""
        connection = request.protocol
        received_at = time.monotonic()
        ready_at = connection.opened_at + self.settings.connect_ms / 1000.0
        if connection.request_count == 1 and ready_at > received_at:
            await self._delay(connection, ready_at - received_at)
        attempt = messages.parse_attempt(
            headers=request.headers,
            body=body,
            service=self.settings.service,
            received_at=received_at,
            serial=next(_ATTEMPT_SERIALS),
            kind=kind,
            source=connection.source,
            arrived_at=time.monotonic(),
            arrived_unix=time.time(),
        )
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[attempt.serial] = future
        self.get_writer("arrivals").append(attempt)
        self.runner.run()
        return await future

    def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt; returns False if there is no such attempt."""
        unfinished = self.board.find_section("waiting").list_records()
        unfinished += self.board.find_section("running").list_records()
        if all(attempt.attempt_id != attempt_id for attempt in unfinished):
            return False
        self.get_writer("cancels").append(attempt_id)
        self.runner.run()
        return True

    def build_state_headers(self, now: float) -> dict[str, str]:
        """Returns the headers with epoch, state and load of the target."""
        lifecycle = self.board.find_section("life").get("now")
        warmup = self.board.find_section("warmth").get("now")
        busy = len(self.board.find_section("waiting"))
        busy += len(self.board.find_section("running"))
        return {
            "Target-Epoch": lifecycle.epoch,
            "Target-State": limits.describe_state(warmup, lifecycle),
            "Target-Load": f"{busy / self.settings.slots:.3f}",
        }

    def _send_reply(self, outcome: attempts.Outcome, now: float) -> None:
        future = self._pending_replies.pop(outcome.attempt.serial, None)
        if future is None or future.done():
            return
        if outcome.status == 0:
            future.set_exception(ConnectionResetError("the target crashed"))
            return
        headers = {
            "Attempt-Id": outcome.attempt.attempt_id,
            **self.build_state_headers(now),
            "Run": outcome.verdict,
        }
        if outcome.error == "shed":
            headers["Retry-After-Ms"] = str(self.settings.retry_after_ms)
        setup = self.board.find_section("setup")
        reply = messages.Reply(
            status=outcome.status,
            headers=headers,
            body=messages.encode_body(
                outcome, setup.get("holdings"), self.settings.record_stride
            ),
        )
        future.set_result(
            self._fault_injector.apply_faults(reply, setup.get("faults"))
        )

    def _apply_listening(self, listening: bool) -> None:
        if not listening:
            self.listener.stop_listening()
            for connection in list(self._open_connections):
                if not connection.control:
                    connection.abort_connection()
            return
        task = asyncio.get_running_loop().create_task(self.listener.listen())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reset_counts(self) -> None:
        opened = self.board.find_section("connections").get("open", 0)
        self.get_writer("connections").put("peak", opened)
        self.get_writer("connections").put("refused", 0)

    async def open_listener(self) -> str:
        """Listens; returns address:port."""
        self.listener = listeners.Listener(
            address=self.settings.address, tracker=self, handler=self.handle
        )
        self._is_listening = True
        await self.listener.listen()
        return self.listener.address

    def close_listener(self) -> None:
        """Stops listening and aborts all connections."""
        self.listener.close()
        for connection in list(self._open_connections):
            connection.abort_connection()


def find_route(method: str, path: str) -> tuple[str, str]:
    """Returns the name of a request's route and the argument for it."""
    if path.startswith("/control/"):
        return "control", path.removeprefix("/control/")
    if path.startswith("/v1/attempts/") and method == "DELETE":
        return "cancel", path.removeprefix("/v1/attempts/")
    kinds_by_path = {
        ("POST", "/v1/read"): ("attempt", "read"),
        ("POST", "/v1/write"): ("attempt", "write"),
        ("GET", "/v1/health"): ("health", ""),
    }
    return kinds_by_path.get((method, path), ("unknown", path))


def build_target(
    settings: target_settings.TargetSettings,
    read_clock: collections.abc.Callable[[], float] = time.monotonic,
) -> HttpController:
    """Returns the HTTP controller of a new target with board and runner."""
    board = blackboard.Blackboard(sections=attempts.SECTIONS)
    all_controllers = [
        extension_points.CONTROLLERS.find(name)(board=board, settings=settings)
        for name in extension_points.STEP_ORDER
    ]
    http = all_controllers[-1]
    http.runner = controllers.Runner(
        ordered_controllers=all_controllers, read_clock=read_clock
    )
    return http


def encode_json(document: object, status: int = 200) -> messages.Reply:
    """Returns a reply with a JSON body."""
    return messages.Reply(status=status, headers={}, body=json.dumps(document))
