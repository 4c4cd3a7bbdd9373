"""Threads that run controllers when their sections change."""

import collections.abc
import logging
import threading

from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import controllers

_LOG = logging.getLogger(__name__)

# A step that raised is tried again after this time instead of at once, so
# that a persistent fault does not keep a core busy.
_FAULT_PAUSE_S = 0.5


class ChangeNotifier:
    """Collects the names of changed sections and wakes one waiting thread."""

    __slots__ = ("_condition", "_changed", "_stopped")

    def __init__(self):
        self._condition = threading.Condition()
        self._changed: set[str] = set()
        self._stopped = False

    def notify(self, section: str) -> None:
        """Notes a change; callable from any thread."""
        with self._condition:
            self._changed.add(section)
            self._condition.notify()

    def stop(self) -> None:
        """Makes the current and every later wait return at once."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()

    def wait(self, timeout_s: float | None) -> set[str] | None:
        """Returns the changed sections, or None once stopped."""
        with self._condition:
            if not self._changed and not self._stopped:
                self._condition.wait(timeout_s)
            if self._stopped:
                return None
            changed, self._changed = self._changed, set()
            return changed


class ControllerLoop:
    """One thread that steps controllers.

    Args:
      name: Name of the thread.
      board: The blackboard that the controllers use.
      members: The controllers to run, in order.
      clock: Source of the time passed to each step.
    """

    __slots__ = (
        "name",
        "last_pass_at",
        "_members",
        "_clock",
        "_notifier",
        "_due",
        "_thread",
    )

    def __init__(
        self,
        *,
        name: str,
        board: blackboard.Blackboard,
        members: collections.abc.Sequence[controllers.Controller],
        clock: clocks.Clock,
    ):
        self.name = name
        self.last_pass_at = clock.read_monotonic()
        self._members = tuple(members)
        self._clock = clock
        self._notifier = ChangeNotifier()
        self._due: dict[str, float | None] = {m.name: 0.0 for m in members}
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        for section in {s for member in members for s in member.reads}:
            board.find_section(section).add_listener(self._notifier.notify)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 2.0) -> None:
        """Ends the thread after its current step."""
        self._notifier.stop()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            changed = self._notifier.wait(self._find_timeout())
            if changed is None:
                return
            for member in self._members:
                self._step_if_due(member, changed)
            self.last_pass_at = self._clock.read_monotonic()

    def _find_timeout(self) -> float | None:
        wanted = [due for due in self._due.values() if due is not None]
        if not wanted:
            return None
        return max(0.0, min(wanted) - self._clock.read_monotonic())

    def _step_if_due(
        self, member: controllers.Controller, changed: set[str]
    ) -> None:
        now = self._clock.read_monotonic()
        due = self._due[member.name]
        if changed.isdisjoint(member.reads) and (due is None or due > now):
            return
        try:
            self._due[member.name] = member.step(now)
        except Exception:  # A fault in one controller must not stop the others.
            _LOG.exception(
                "controller step failed", extra={"controller": member.name}
            )
            self._due[member.name] = now + _FAULT_PAUSE_S
