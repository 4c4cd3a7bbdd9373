"""Steps the components of a process on one event loop."""

import asyncio
import collections.abc
import logging

from bramleyfork.core import blackboard
from bramleyfork.entry import components

_LOG = logging.getLogger(__name__)

# Delay after which a component whose step raised is stepped again, so that a
# persistent fault does not keep the core busy.
_FAULT_RETRY_DELAY_S = 0.5


class Runner:
    """Steps each component whose sections have changed or whose timer is due.

    A change schedules one turn of the event loop. Within a turn the components
    are stepped in their given order, so a request passes from the caller's
    socket to the sockets of its targets without another wait. If components
    are left whose sections have changed, another turn follows.

    Args:
      board: The blackboard that the components use.
      ordered_components: The components, in the order of their steps.
      loop: The event loop; its time is the ``now`` of each step.
    """

    __slots__ = (
        "_components",
        "_loop",
        "_readers",
        "_dirty",
        "_timers",
        "_is_turn_scheduled",
    )

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        ordered_components: collections.abc.Sequence[components.Component],
        loop: asyncio.AbstractEventLoop,
    ):
        self._components = tuple(ordered_components)
        self._loop = loop
        self._dirty = [False] * len(self._components)
        self._timers: list[asyncio.TimerHandle | None] = [None] * len(
            self._components
        )
        self._is_turn_scheduled = False
        self._readers: dict[str, tuple[int, ...]] = {}
        for index, component in enumerate(self._components):
            for section in component.reads:
                self._readers[section] = (
                    *self._readers.get(section, ()),
                    index,
                )
        for section in self._readers:
            board.find_section(section).add_listener(self._notify)

    def start(self) -> None:
        """Steps every component once, then on changes and timers."""
        self._dirty = [True] * len(self._components)
        self._schedule_turn()

    def _notify(self, section: str) -> None:
        for index in self._readers[section]:
            self._dirty[index] = True
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        dirty = self._dirty
        for index in range(len(self._components)):
            if dirty[index]:
                dirty[index] = False
                self._step(index)
        self._is_turn_scheduled = False
        if True in dirty:
            self._schedule_turn()

    def _step(self, index: int) -> None:
        component = self._components[index]
        now = self._loop.time()
        try:
            due = component.step(now)
        except Exception:  # A fault in one component must not stop the others.
            _LOG.exception("step failed", extra={"part": component.name})
            due = now + _FAULT_RETRY_DELAY_S
        self._schedule_step(index, due)

    def _schedule_step(self, index: int, due: float | None) -> None:
        timer = self._timers[index]
        if timer is not None:
            if due is not None and timer.when() == due:
                return
            timer.cancel()
        self._timers[index] = (
            None
            if due is None
            else self._loop.call_at(due, self._handle_timer, index)
        )

    def _handle_timer(self, index: int) -> None:
        self._timers[index] = None
        self._dirty[index] = True
        self._schedule_turn()
