"""Threads that step controllers on changed sections and expired timers."""

import collections.abc
import logging
import threading

from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import controllers

_LOG = logging.getLogger(__name__)

# Seconds until a controller whose step raised is stepped again; an immediate
# retry would keep a core busy if the fault persists.
_STEP_RETRY_DELAY_S = 0.5


class ChangeNotifier:
    """Collects the names of changed sections and wakes the thread of a loop."""

    __slots__ = ("_condition", "_changed", "_stopped")

    def __init__(self):
        self._condition = threading.Condition()
        self._changed: set[str] = set()
        self._stopped = False

    def notify(self, section: str) -> None:
        """Records a change and wakes the waiting thread.

        May be called from any thread.
        """
        with self._condition:
            self._changed.add(section)
            self._condition.notify()

    def stop(self) -> None:
        """Makes the current and every later ``wait`` return None at once."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()

    def wait(self, timeout_s: float | None) -> set[str] | None:
        """Waits for changes.

        Args:
          timeout_s: Longest wait in seconds; None waits without limit.

        Returns:
          Names of the sections changed since the last call, empty after a
          timeout; None once stopped.
        """
        with self._condition:
            if not self._changed and not self._stopped:
                self._condition.wait(timeout_s)
            if self._stopped:
                return None
            changed, self._changed = self._changed, set()
            return changed


class ControllerLoop:
    """A thread that steps a group of controllers.

    A controller is stepped when one of the sections it reads has changed or
    when the time that its last step returned has come.

    Args:
      name: Name of the thread.
      board: The blackboard that the controllers use.
      ordered_controllers: The controllers, in the order of their steps.
      clock: Clock whose time is passed to each step.

    Attributes:
      last_pass_at: Monotonic time in seconds of the last pass over the
        controllers.
    """

    __slots__ = (
        "name",
        "last_pass_at",
        "_controllers",
        "_clock",
        "_notifier",
        "_next_step_at",
        "_thread",
    )

    def __init__(
        self,
        *,
        name: str,
        board: blackboard.Blackboard,
        ordered_controllers: collections.abc.Sequence[controllers.Controller],
        clock: clocks.Clock,
    ):
        self.name = name
        self.last_pass_at = clock.read_monotonic()
        self._controllers = tuple(ordered_controllers)
        self._clock = clock
        self._notifier = ChangeNotifier()
        self._next_step_at: dict[str, float | None] = {
            controller.name: 0.0 for controller in ordered_controllers
        }
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        for section in {
            section
            for controller in ordered_controllers
            for section in controller.reads
        }:
            board.find_section(section).add_listener(self._notifier.notify)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 2.0) -> None:
        """Ends the thread after the current pass over its controllers.

        Args:
          timeout_s: Longest time to wait for its end, in seconds.
        """
        self._notifier.stop()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            changed = self._notifier.wait(self._compute_timeout_s())
            if changed is None:
                return
            for controller in self._controllers:
                self._step_if_due(controller, changed)
            self.last_pass_at = self._clock.read_monotonic()

    def _compute_timeout_s(self) -> float | None:
        step_times = [
            step_at
            for step_at in self._next_step_at.values()
            if step_at is not None
        ]
        if not step_times:
            return None
        return max(0.0, min(step_times) - self._clock.read_monotonic())

    def _step_if_due(
        self, controller: controllers.Controller, changed: set[str]
    ) -> None:
        now = self._clock.read_monotonic()
        next_step_at = self._next_step_at[controller.name]
        if changed.isdisjoint(controller.reads) and (
            next_step_at is None or next_step_at > now
        ):
            return
        try:
            self._next_step_at[controller.name] = controller.step(now)
        except Exception:  # A fault in one controller must not stop the loop.
            _LOG.exception(
                "controller step failed", extra={"controller": controller.name}
            )
            self._next_step_at[controller.name] = now + _STEP_RETRY_DELAY_S
