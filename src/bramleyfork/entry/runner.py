"""Steps the components of a process on one event loop."""

import asyncio
import collections.abc
import logging

from bramleyfork.core import blackboard
from bramleyfork.entry import components

_LOG = logging.getLogger(__name__)

# Delay after which a component whose step raised is stepped again, so that a
# persistent fault does not keep the core busy.
_FAULT_PAUSE_S = 0.5


class Runner:
    """Steps each component whose sections have changed or whose timer is due.

    A change schedules one turn of the event loop. Within a turn the components
    are stepped in their given order, so a request passes from the caller's
    socket to the sockets of its targets without another wait. If components
    are left whose sections have changed, another turn follows.

    Args:
      board: The blackboard that the components use.
      members: The components, in order.
      loop: The event loop; its time is the ``now`` of each step.
    """

    __slots__ = ("_members", "_loop", "_readers", "_dirty", "_timers", "_armed")

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        members: collections.abc.Sequence[components.Component],
        loop: asyncio.AbstractEventLoop,
    ):
        self._members = tuple(members)
        self._loop = loop
        self._dirty = [False] * len(self._members)
        self._timers: list[asyncio.TimerHandle | None] = [None] * len(
            self._members
        )
        self._armed = False
        self._readers: dict[str, tuple[int, ...]] = {}
        for index, member in enumerate(self._members):
            for section in member.reads:
                self._readers[section] = (
                    *self._readers.get(section, ()),
                    index,
                )
        for section in self._readers:
            board.find_section(section).add_listener(self._notify)

    def start(self) -> None:
        """Steps every component once, then on changes and timers."""
        self._dirty = [True] * len(self._members)
        self._arm()

    def _notify(self, section: str) -> None:
        for index in self._readers[section]:
            self._dirty[index] = True
        self._arm()

    def _arm(self) -> None:
        if not self._armed:
            self._armed = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        dirty = self._dirty
        for index in range(len(self._members)):
            if dirty[index]:
                dirty[index] = False
                self._step(index)
        self._armed = False
        if True in dirty:
            self._arm()

    def _step(self, index: int) -> None:
        member = self._members[index]
        now = self._loop.time()
        try:
            due = member.step(now)
        except Exception:  # A fault in one component must not stop the others.
            _LOG.exception("step failed", extra={"part": member.name})
            due = now + _FAULT_PAUSE_S
        self._plan(index, due)

    def _plan(self, index: int, due: float | None) -> None:
        timer = self._timers[index]
        if timer is not None:
            if due is not None and timer.when() == due:
                return
            timer.cancel()
        self._timers[index] = (
            None if due is None else self._loop.call_at(due, self._wake, index)
        )

    def _wake(self, index: int) -> None:
        self._timers[index] = None
        self._dirty[index] = True
        self._arm()
