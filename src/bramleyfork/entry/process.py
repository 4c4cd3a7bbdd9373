"""The process of an entry host: runs its components on one event loop."""

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

# Order in which components are stepped within a turn of the event loop: the
# order in which a request passes through them. Others come last.
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
    """All components of one host.

    Args:
      settings: Validated settings.
      header_names: Header names used with callers and targets.
      incarnation: Milliseconds since 1970 at the start of the process.
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
        """Begins a graceful shutdown."""
        self._signals.append("terminate")

    def handle_reload(self) -> None:
        """Logs a request to reload the settings, which has no effect.

        Everything that may change while a process runs comes through the
        feed.
        """
        _LOG.info("settings reload ignored; settings are read only at startup")

    async def run(self) -> None:
        """Runs until the phase of the lifecycle is "stopped"."""
        loop = asyncio.get_running_loop()
        self.board.find_table("lifecycle").add_listener(self._watch_lifecycle)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.handle_reload)
        for component in self._components:
            await component.open()
        runner.Runner(
            board=self.board, ordered_components=self._components, loop=loop
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
    """Runs a host until it has shut down after SIGTERM or SIGINT.

    The adapters that the settings name must be registered before the call.

    Args:
      settings: Validated settings.
      header_names: Header names used with callers and targets.
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
