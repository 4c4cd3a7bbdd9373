"""The controller of the process's start and end."""

import logging

from bramleyfork.core import records
from bramleyfork.entry import components

_LOG = logging.getLogger(__name__)

SERVING = "serving"
LEAVING = "leaving"  # Takes requests of callers that still know the address.
CLOSING = "closing"  # Takes no new connection; ends idle ones.
STOPPED = "stopped"

# Callers may keep a directory answer for this many times its lifetime.
_KEPT_FACTOR = 3.0
# Before the platform kills the process.
_STOP_MARGIN_S = 0.4


class Phase(records.Record):
    """Where the process stands between its start and its end."""

    __slots__ = ("phase",)

    def __init__(self, *, phase: str):
        self.phase = phase


@components.register(
    components.CONTROLLERS,
    "lifecycle",
    reads=("signals", "open_work"),
    writes=("lifecycle",),
)
class Lifecycle(components.Component):
    """Ends the process without cutting a request.

    A leaving host is named by no directory answer. It serves on until the
    answers given before have lapsed, then closes its listener, and stops when
    no request is under way.
    """

    __slots__ = ("_phase", "_told_at")

    def start(self) -> None:
        """Sets up state before the first step."""
        self._phase = ""
        self._told_at: float | None = None
        self._enter(SERVING)

    def step(self, now: float) -> float | None:
        """Moves on when told to end or when time has come."""
        for signal in self.read_new_records("signals"):
            if signal == "terminate" and self._told_at is None:
                self._told_at = now
                self._enter(LEAVING)
        if self._told_at is None or self._phase == STOPPED:
            return None
        settings = self.context.settings
        close_at = self._told_at + min(
            _KEPT_FACTOR * settings.directory_lifetime_s,
            settings.grace_s - 2 * _STOP_MARGIN_S,
        )
        stop_at = self._told_at + settings.grace_s - _STOP_MARGIN_S
        if self._phase == LEAVING and now >= close_at:
            self._enter(CLOSING)
        if self._phase == CLOSING:
            if now >= stop_at or self._is_idle():
                self._enter(STOPPED)
                return None
            return stop_at
        return close_at

    def _is_idle(self) -> bool:
        """Returns whether nothing was left since the listener closed.

        A count made before says nothing of callers that came since.
        """
        work = self.get_table("open_work").get("current")
        return work is not None and work.phase == CLOSING and work.is_empty

    def _enter(self, phase: str) -> None:
        self._phase = phase
        self.get_writer("lifecycle").put("current", Phase(phase=phase))
        _LOG.info("process", extra={"phase": phase})
