"""HTTP server of the platform: reads, watches and control calls."""

import asyncio
import json
import time
import typing

from aiohttp import web

from standins import connections
from standins import controllers
from standins import listeners
from standins import records
from standins import registries
from standins.platform import extension_points
from standins.platform import platform_records
from standins.platform import publication

_MAX_WAIT_MS = 120_000
_DEFAULT_WAIT_MS = 30_000


class Reply(records.Record):
    """A reply before it is sent.

    Attributes:
      status: HTTP status.
      headers: Header values by name.
      body: Body of the reply.
      cut: Whether to send only half of the body and close the connection.
    """

    __slots__ = ("status", "headers", "body", "cut")

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {
        "headers": {},
        "body": b"",
        "cut": False,
    }


def encode_json(document: object, status: int = 200) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(
        status=status,
        headers={"Content-Type": "application/json"},
        body=json.dumps(document).encode(),
    )


def encode_value(value: platform_records.Value | None) -> Reply:
    """Returns the reply to a read; status 404 if there is no such value."""
    if value is None:
        return encode_json({"error": "absent"}, 404)
    headers = {
        "ETag": f'"{value.etag}"',
        "Content-Type": "application/octet-stream",
    }
    return Reply(status=200, headers=headers, body=value.body)


def find_kind(path: str) -> str:
    """Returns the kind: "values", "watch", "targets" or "other"."""
    for kind in ("values", "watch"):
        if path.startswith(f"/v1/{kind}/"):
            return kind
    return "targets" if path == "/v1/targets" else "other"


@controllers.register(
    extension_points.CONTROLLERS,
    "http",
    reads=["values", "outages"],
    writes=["commands", "requests"],
)
class HttpController(controllers.Controller):
    """Serves values, watches, listings and control calls over HTTP."""

    def start(self) -> None:
        """Initialises state; called once, before the first step."""
        self._open_connections: set[connections.Connection] = set()
        self._change_waiters: set[asyncio.Future] = set()
        self.listener: listeners.Listener | None = None
        self.runner: controllers.Runner | None = None

    def step(self, now: float) -> None:
        """Wakes all requests that wait for a change."""
        for future in self._change_waiters:
            if not future.done():
                future.set_result(None)

    async def wait_for_change(self, timeout_s: float | None) -> None:
        """Waits for a change of the values or outage modes.

        Args:
          timeout_s: Longest wait in seconds; None waits without limit.
        """
        future = asyncio.get_running_loop().create_future()
        self._change_waiters.add(future)
        try:
            await asyncio.wait([future], timeout=timeout_s)
        finally:
            self._change_waiters.discard(future)

    def find_outage_mode(self, source: str) -> str:
        """Returns the outage mode of a source address."""
        table = self.board.find_section("outages")
        return table.get(source, table.get(extension_points.EVERYONE, "none"))

    def accept(self, connection: connections.Connection) -> bool:
        """Accepts every connection; outages apply to requests."""
        self._open_connections.add(connection)
        return True

    def admit(self, connection: connections.Connection) -> bool:
        """Admits every connection; there is no limit."""
        return True

    def discard(self, connection: connections.Connection) -> None:
        """Removes a connection that has ended."""
        self._open_connections.discard(connection)

    def list_open_connections(self) -> list[connections.Connection]:
        """Returns the open connections."""
        return list(self._open_connections)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to one request."""
        connection = request.protocol
        try:
            reply = await self._answer(request, connection.source)
        except ConnectionError:
            connection.abort_connection()
            return web.Response()
        if reply.cut and reply.body:
            connection.send_and_close(
                connections.encode_truncated_reply(
                    reply.status, reply.headers, reply.body, 0.5
                )
            )
        elif reply.cut:
            connection.abort_connection()
        return web.Response(
            status=reply.status, headers=reply.headers, body=reply.body
        )

    async def _answer(self, request: web.BaseRequest, source: str) -> Reply:
        if request.path.startswith("/control/"):
            name = request.path.removeprefix("/control/")
            return self._apply_control(
                request.method, name, await request.read()
            )
        call = platform_records.Call(
            source=source,
            kind=find_kind(request.path),
            second=int(time.time()),
        )
        self.get_writer("requests").append(call)
        self.runner.run()
        return await self.serve(request, source)

    async def serve(self, request: web.BaseRequest, source: str) -> Reply:
        """Returns the reply to a request in the outage mode of its source."""
        answer = extension_points.OUTAGES.find(self.find_outage_mode(source))
        return await answer(self, request, source)

    async def read(self, request: web.BaseRequest, source: str) -> Reply:
        """Returns the regular reply to a request."""
        if self.settings.answer_ms:
            await asyncio.sleep(self.settings.answer_ms / 1000.0)
        if request.method != "GET":
            return encode_json({"error": "method_not_allowed"}, 405)
        route = extension_points.ROUTES.find(find_kind(request.path))
        return await route(self, request, source)

    async def watch(
        self, request: web.BaseRequest, source: str, key: str
    ) -> Reply:
        """Waits until the ETag of a value differs from the parameter ``after``.

        Returns:
          The value, or status 304 if it has not changed within the parameter
          ``wait_ms``.
        """
        after = request.query.get("after", "").removeprefix("W/").strip('"')
        try:
            wait_ms = int(request.query.get("wait_ms", _DEFAULT_WAIT_MS))
        except ValueError:
            return encode_json({"error": "wait_ms must be an integer"}, 400)
        wait_s = min(max(wait_ms, 0), _MAX_WAIT_MS) / 1000.0
        # Kept in the request, because a change of the outage mode calls this
        # method again.
        deadline = request.setdefault("until", time.monotonic() + wait_s)
        mode = self.find_outage_mode(source)
        while True:
            value = self.board.find_section("values").get(key)
            if value is not None and value.etag != after:
                return encode_value(value)
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                headers = {"ETag": f'"{value.etag}"'} if value else {}
                return Reply(status=304, headers=headers)
            await self.wait_for_change(remaining_s)
            if self.find_outage_mode(source) != mode:
                return await self.serve(request, source)

    def _apply_control(self, method: str, name: str, body: bytes) -> Reply:
        if method == "GET" and name == "calls":
            return encode_json(publication.describe_calls(self.board))
        if method != "POST":
            return encode_json({"error": f"{method} {name!r}"}, 405)
        try:
            check = extension_points.COMMANDS.find(name)
            document = json.loads(body or b"{}")
            if not isinstance(document, dict):
                raise ValueError(f"{document!r} must be an object")
            checked = check(document, self.board)
        except (registries.UnknownNameError, ValueError) as error:
            return encode_json({"error": str(error)}, 400)
        command = platform_records.Command(name=name, body=checked)
        self.get_writer("commands").append(command)
        self.runner.run()
        return encode_json({"sets": len(self.board.find_section("sets"))})
