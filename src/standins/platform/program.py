"""The platform process."""

import asyncio
import typing

from standins import boards
from standins import controllers
from standins import listeners
from standins.platform import commands  # noqa: F401 (registers)
from standins.platform import kinds
from standins.platform import outages  # noqa: F401 (registers)
from standins.platform import publication  # noqa: F401 (registers)
from standins.platform import routes  # noqa: F401 (registers)
from standins.platform import server  # noqa: F401 (registers)
from standins.platform import values


class Program:
    """The platform process.

    Args:
      document: The settings document.
    """

    __slots__ = ("_http",)

    def __init__(self, *, document: dict[str, typing.Any]):
        try:
            settings = values.PlatformSettings(**document)
        except TypeError as error:
            raise ValueError(str(error)) from None
        board = boards.Board(sections=values.SECTIONS)
        members = [
            kinds.CONTROLLERS.find(name)(board=board, settings=settings)
            for name in kinds.STEP_ORDER
        ]
        self._http = members[-1]
        self._http.runner = controllers.Runner(members=members)

    async def start(self) -> dict[str, typing.Any]:
        """Listens."""
        self._http.listener = listeners.Listener(
            address=self._http.settings.address,
            owner=self._http,
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
        for connection in self._http.list_open():
            connection.cut_off()
        await asyncio.sleep(0)
