"""An entry host's process: parts on one event loop."""

import asyncio
import logging
import signal
import time

from bramleyfork.core import blackboard
from bramleyfork.core import module_loading
from bramleyfork.entry import components
from bramleyfork.entry import controllers
from bramleyfork.entry import http_headers
from bramleyfork.entry import json_logs
from bramleyfork.entry import metrics
from bramleyfork.entry import runner
from bramleyfork.entry import sections
from bramleyfork.entry import settings as settings_module
from bramleyfork.entry import transports

_LOG = logging.getLogger(__name__)

# Order of the parts within a turn, along the way of a request; parts not named
# here come after them.
_ORDER = (
    "feed",
    "targets",
    "carriers",
    "exchanges",
    "carriers_transport",
    "target_connections",
    "callers",
)


class Process:
    """All parts of one host.

    Args:
      settings: Checked settings.
      header_names: Header names towards callers and targets.
      incarnation: Milliseconds since 1970 at the start.
    """

    __slots__ = ("board", "context", "_components", "_signals", "_stopped")

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        header_names: http_headers.HeaderNames,
        incarnation: int,
    ):
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self._signals = self.board.grant_writer("signals", "process")
        self.context = components.Context(
            settings=settings,
            header_names=header_names,
            metrics=metrics.Metrics(),
            incarnation=incarnation,
        )
        classes = dict(
            components.CONTROLLERS.list_items()
            + components.TRANSPORTS.list_items()
        )
        for name in settings.adapters:
            adapter = components.ADAPTERS.find(name)
            classes[adapter.name] = adapter
        names = [*_ORDER, *(n for n in sorted(classes) if n not in _ORDER)]
        self._components = [
            classes[name](board=self.board, context=self.context)
            for name in names
        ]
        self._stopped = asyncio.Event()

    def request_stop(self) -> None:
        """Begins a graceful end."""
        self._signals.append("terminate")

    def handle_reload(self) -> None:
        """Notes that the settings may have changed.

        Everything that may change while a process runs comes through the
        feed, so nothing is read anew.
        """
        _LOG.info("settings reload asked for; nothing to read anew")

    async def run(self) -> None:
        """Runs until the lifecycle has reached its end."""
        loop = asyncio.get_running_loop()
        self.board.find_table("lifecycle").add_listener(self._watch_lifecycle)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.handle_reload)
        for component in self._components:
            await component.open()
        runner.Runner(
            board=self.board, members=self._components, loop=loop
        ).start()
        _LOG.info(
            "host started", extra={"incarnation": self.context.incarnation}
        )
        await self._stopped.wait()
        for component in self._components:
            component.close()

    def _watch_lifecycle(self, section: str) -> None:
        phase = self.board.find_table(section).get("current")
        if phase is not None and phase.phase == "stopped":
            self._stopped.set()


def run(
    *,
    settings: settings_module.Settings,
    header_names: http_headers.HeaderNames,
) -> None:
    """Runs a host until it is told to end.

    The adapters that the settings name have to be registered before.
    """
    handler = json_logs.set_up_logging(
        level=settings.log_level, descriptor=1, host=settings.host
    )
    module_loading.import_modules(controllers)
    module_loading.import_modules(transports)
    asyncio.run(_run(settings, header_names, handler))
    handler.flush()


async def _run(settings, header_names, handler) -> None:
    handler.attach(asyncio.get_running_loop())
    process = Process(
        settings=settings,
        header_names=header_names,
        incarnation=time.time_ns() // 1_000_000,
    )
    await process.run()
