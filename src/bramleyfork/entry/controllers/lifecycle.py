"""The controller of the process's phases, from start to shutdown."""

import logging

from bramleyfork.core import records
from bramleyfork.entry import components

_LOG = logging.getLogger(__name__)

SERVING = "serving"
LEAVING = "leaving"  # Serves callers that have cached the address.
CLOSING = "closing"  # Accepts no connections; closes idle ones.
STOPPED = "stopped"

# Callers may cache a directory answer for this many times its lifetime.
_CACHE_LIFETIME_FACTOR = 3.0
# Time by which the process stops before the platform would kill it.
_STOP_MARGIN_S = 0.4
# Time for the last answers to reach their callers before the process stops.
_ANSWER_MARGIN_S = 0.2


class Phase(records.Record):
    """Phase of the process.

    Attributes:
      phase: SERVING, LEAVING, CLOSING or STOPPED.
      answer_by: Monotonic time in seconds by which all requests are answered;
        None while no end of the process is known.
    """

    __slots__ = ("phase", "answer_by")

    def __init__(self, *, phase: str, answer_by: float | None = None):
        self.phase = phase
        self.answer_by = answer_by


@components.register(
    components.CONTROLLERS,
    "lifecycle",
    reads=("signals", "open_work"),
    writes=("lifecycle",),
)
class Lifecycle(components.Component):
    """Shuts the process down without cutting off requests.

    A leaving host is in no new directory answer. It keeps serving until the
    earlier answers have expired, then closes its listener, and stops when no
    request is in flight or the platform is about to kill it. Requests that are
    in flight then have been answered before.
    """

    __slots__ = ("_phase", "_signalled_at", "_answer_by")

    def start(self) -> None:
        """Sets up state before the first step."""
        self._phase = ""
        self._signalled_at: float | None = None
        self._answer_by: float | None = None
        self._enter(SERVING)

    def step(self, now: float) -> float | None:
        """Starts the shutdown on a signal and enters phases that are due."""
        for signal in self.read_new_records("signals"):
            if signal == "terminate" and self._signalled_at is None:
                self._signalled_at = now
                self._answer_by = self._find_stop() - _ANSWER_MARGIN_S
                self._enter(LEAVING)
        if self._signalled_at is None or self._phase == STOPPED:
            return None
        settings = self.context.settings
        close_at = self._signalled_at + min(
            _CACHE_LIFETIME_FACTOR * settings.directory_lifetime_s,
            settings.grace_s - 2 * _STOP_MARGIN_S,
        )
        stop_at = self._find_stop()
        if self._phase == LEAVING and now >= close_at:
            self._enter(CLOSING)
        if self._phase == CLOSING:
            if now >= stop_at or self._is_idle():
                self._enter(STOPPED)
                return None
            return stop_at
        return close_at

    def _find_stop(self) -> float:
        return self._signalled_at + (
            self.context.settings.grace_s - _STOP_MARGIN_S
        )

    def _is_idle(self) -> bool:
        """Returns whether no work is left since the listener was closed.

        An earlier count may miss callers that connected after it.
        """
        work = self.get_table("open_work").get("current")
        return work is not None and work.phase == CLOSING and work.is_empty

    def _enter(self, phase: str) -> None:
        self._phase = phase
        self.get_writer("lifecycle").put(
            "current", Phase(phase=phase, answer_by=self._answer_by)
        )
        _LOG.info("process", extra={"phase": phase})
