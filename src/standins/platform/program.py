"""Program of the platform stand-in."""

import asyncio
import typing

from standins import blackboard
from standins import controllers
from standins import listeners
from standins.platform import commands  # noqa: F401 (registers)
from standins.platform import extension_points
from standins.platform import outages  # noqa: F401 (registers)
from standins.platform import platform_records
from standins.platform import publication  # noqa: F401 (registers)
from standins.platform import routes  # noqa: F401 (registers)
from standins.platform import server  # noqa: F401 (registers)


class Program:
    """The platform's board, controllers and listener.

    Args:
      document: The settings document.
    """

    __slots__ = ("_http",)

    def __init__(self, *, document: dict[str, typing.Any]):
        try:
            settings = platform_records.PlatformSettings(**document)
        except TypeError as error:
            raise ValueError(str(error)) from None
        board = blackboard.Blackboard(sections=platform_records.SECTIONS)
        all_controllers = [
            extension_points.CONTROLLERS.find(name)(
                board=board, settings=settings
            )
            for name in extension_points.STEP_ORDER
        ]
        self._http = all_controllers[-1]
        self._http.runner = controllers.Runner(
            ordered_controllers=all_controllers
        )

    async def start(self) -> dict[str, typing.Any]:
        """Starts listening; returns the fields of the ready line."""
        self._http.listener = listeners.Listener(
            address=self._http.settings.address,
            tracker=self._http,
            handler=self._http.handle,
        )
        self._http.runner.run()
        await self._http.listener.listen()
        address = self._http.listener.address
        return {"address": address, "control": address}

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._http.runner.stop()
        self._http.listener.close()
        for connection in self._http.list_open_connections():
            connection.abort_connection()
        await asyncio.sleep(0)
