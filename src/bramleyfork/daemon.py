"""The daemon ``bramleyforkd``: runs a host's controllers and transports."""

import logging
import signal
import sys
import threading

from bramleyfork.core import reload_signals

reload_signals.ignore_reload()

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from bramleyfork import controllers as controller_package  # noqa: E402
from bramleyfork import transports as transport_package  # noqa: E402
from bramleyfork.configuration import settings as settings_module  # noqa: E402
from bramleyfork.core import blackboard  # noqa: E402
from bramleyfork.core import clocks  # noqa: E402
from bramleyfork.core import controllers  # noqa: E402
from bramleyfork.core import fleet  # noqa: E402
from bramleyfork.core import instruments  # noqa: E402
from bramleyfork.core import logs  # noqa: E402
from bramleyfork.core import loops  # noqa: E402
from bramleyfork.core import module_loading  # noqa: E402
from bramleyfork.core import sections  # noqa: E402
from bramleyfork.core import transports  # noqa: E402
from bramleyfork.listeners import budgets  # noqa: E402

_LOG = logging.getLogger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", None, "TOML file with the settings of this host."
)

# A running thread releases the interpreter lock after this time if another
# thread waits for it. With the default of 5 ms, a sub-request waited that long
# at each thread switch.
_SWITCH_INTERVAL_S = 0.002

_EXIT_OK = 0
_EXIT_SETTINGS = 2


class Daemon:
    """The blackboard, controllers and transports of one host.

    Args:
      settings: Checked settings.
      handlers: Log handlers, to be observed through the instruments.
      clock: Source of monotonic time.
    """

    __slots__ = (
        "board",
        "_signals",
        "_loops",
        "_transports",
        "_clock",
        "_stopped",
        "_lifecycle",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        handlers: logs.LogHandlers,
        clock: clocks.Clock,
    ):
        self._clock = clock
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self._signals = self.board.grant_writer("signals", "process")
        self._lifecycle = self.board.find_table("lifecycle")
        self._stopped = threading.Event()
        self._lifecycle.add_listener(self._watch_lifecycle)
        controller_instances = [
            controller_class(board=self.board, settings=settings)
            for _, controller_class in controllers.CONTROLLERS.list_items()
        ]
        budget = budgets.build_budget(memory_bytes=settings.memory_bytes)
        self._transports = [
            transport_class(
                board=self.board, settings=settings, clock=clock, budget=budget
            )
            for _, transport_class in transports.TRANSPORTS.list_items()
        ]
        self._loops = [
            loops.ControllerLoop(
                name=name,
                board=self.board,
                ordered_controllers=[
                    c for c in controller_instances if c.loop == name
                ],
                clock=clock,
            )
            for name in (controllers.REQUEST_LOOP, controllers.CONTROL_LOOP)
        ]
        self.board.grant_writer("instruments", "process").put(
            "current",
            instruments.collect_instruments(
                handlers.recent,
                [*controller_instances, *self._transports, handlers.queue],
            ),
        )

    def start(self) -> None:
        """Starts the controller loops, then the transports."""
        for loop in self._loops:
            loop.start()
        for transport in self._transports:
            transport.start()

    def request_stop(self) -> None:
        """Requests a graceful shutdown."""
        self._signals.append(
            fleet.ProcessSignal(
                kind="terminate", at=self._clock.read_monotonic()
            )
        )

    def handle_reload(self) -> None:
        """Logs a request to reload the settings, which has no effect."""
        _LOG.info("settings reload ignored; settings are read only at startup")

    def wait_until_stopped(self) -> None:
        """Blocks until the lifecycle has reached the phase "stopped"."""
        self._stopped.wait()

    def stop(self) -> None:
        """Closes listeners and connections, then stops the loop threads."""
        for transport in self._transports:
            transport.stop()
        for loop in self._loops:
            loop.stop()

    def _watch_lifecycle(self, section: str) -> None:
        del section
        current = self._lifecycle.get("current")
        if current is not None and current.phase == "stopped":
            self._stopped.set()


def main(argv: list[str]) -> int:
    """Runs a host until SIGTERM or SIGINT; returns the exit code."""
    del argv
    if _SETTINGS.value is None:
        print("bramleyforkd: --settings FILE is required", file=sys.stderr)  # noqa: T201
        return _EXIT_SETTINGS
    loaded = settings_module.load_settings(_SETTINGS.value)
    if loaded.is_error():
        for problem in loaded.error:
            print(f"bramleyforkd: {problem.describe()}", file=sys.stderr)  # noqa: T201
        return _EXIT_SETTINGS
    settings = loaded.ok
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    handlers = logs.set_up_logging(
        level=settings.log_level, stream=sys.stderr, host=settings.host
    )
    module_loading.import_modules(controller_package)
    module_loading.import_modules(transport_package)
    daemon = Daemon(
        settings=settings, handlers=handlers, clock=clocks.SystemClock()
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: daemon.handle_reload())
    daemon.start()
    daemon.wait_until_stopped()
    daemon.stop()
    return _EXIT_OK


def run() -> None:
    """Entry point of the installed program."""
    app.run(main)


if __name__ == "__main__":
    run()
