"""Program of the target stand-in: many targets and one control address."""

import asyncio
import typing

from aiohttp import web

from standins import connections
from standins import listeners
from standins.target import commands  # noqa: F401 (registers)
from standins.target import journal  # noqa: F401 (registers)
from standins.target import lifecycle  # noqa: F401 (registers)
from standins.target import routes
from standins.target import server
from standins.target import settings
from standins.target import slots  # noqa: F401 (registers)


class Program:
    """All targets of the process and one control address for them.

    Args:
      document: The settings document.
    """

    __slots__ = ("_document", "_targets", "_control", "_open_connections")

    def __init__(self, *, document: dict[str, typing.Any]):
        self._document = document
        self._targets = {
            target_settings.name: server.build_target(target_settings)
            for target_settings in settings.read_targets(document)
        }
        self._control: listeners.Listener | None = None
        self._open_connections: set[connections.Connection] = set()

    async def start(self) -> dict[str, typing.Any]:
        """Listens on all addresses; returns the fields of the ready line."""
        addresses = {}
        for name, http in self._targets.items():
            addresses[name] = await http.open_listener()
            http.runner.run()
        self._control = listeners.Listener(
            address=self._document.get("control", "127.0.0.1:0"),
            tracker=self,
            handler=self._answer,
        )
        await self._control.listen()
        return {"targets": addresses, "control": self._control.address}

    async def stop(self) -> None:
        """Closes all listeners and connections."""
        self._control.close()
        for connection in list(self._open_connections):
            connection.abort_connection()
        for http in self._targets.values():
            http.runner.stop()
            http.close_listener()
        await asyncio.sleep(0)

    def accept(self, connection: connections.Connection) -> bool:
        """Accepts every connection to the control address."""
        self._open_connections.add(connection)
        return True

    def admit(self, connection: connections.Connection) -> bool:
        """Admits every connection to the control address."""
        return True

    def discard(self, connection: connections.Connection) -> None:
        """Removes a connection that has ended."""
        self._open_connections.discard(connection)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        target_names = request.query.getall("target", list(self._targets))
        unknown = [name for name in target_names if name not in self._targets]
        if unknown:
            return web.json_response(
                {"error": f"unknown target {unknown[0]!r}"}, status=400
            )
        reply = routes.apply_control(
            [self._targets[name] for name in target_names],
            request.method,
            request.path.removeprefix("/control/"),
            body,
        )
        return web.Response(
            status=reply.status,
            text=reply.body,
            content_type="application/json",
        )
