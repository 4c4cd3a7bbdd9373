"""The controller base class and the runner that steps controllers."""

import asyncio
import collections.abc
import time
import typing

from standins import blackboard
from standins import registries


class Controller:
    """Reads sections of a blackboard and writes its own.

    Args:
      board: The blackboard.
      settings: Settings of the stand-in.
    """

    __slots__ = ("board", "settings", "_cursors", "_writers", "__dict__")

    name: typing.ClassVar[str] = ""
    reads: typing.ClassVar[tuple[str, ...]] = ()
    writes: typing.ClassVar[tuple[str, ...]] = ()

    def __init__(self, *, board: blackboard.Blackboard, settings: typing.Any):
        self.board = board
        self.settings = settings
        self._cursors = {}
        self._writers = {}
        for section in self.reads:
            found = board.find_section(section)
            if isinstance(found, blackboard.Log):
                self._cursors[section] = found.open_cursor()
        for section in self.writes:
            self._writers[section] = board.grant_writer(section, self.name)
        self.start()

    def start(self) -> None:
        """Sets up the sections before the first step."""

    def step(self, now: float) -> float | None:
        """Handles what has changed.

        Args:
          now: Monotonic time in seconds.

        Returns:
          The monotonic time in seconds of the next wanted step, or None.
        """
        raise NotImplementedError

    def read_new_records(self, section: str) -> list[typing.Any]:
        """Returns the new records of a log that this controller reads."""
        cursor = self._cursors[section]
        taken = cursor[:]
        cursor.clear()
        return taken

    def get_writer(self, section: str) -> typing.Any:
        """Returns the writer of a section that this controller owns."""
        return self._writers[section]


def register(
    registry: registries.Registry,
    name: str,
    *,
    reads: collections.abc.Sequence[str] = (),
    writes: collections.abc.Sequence[str] = (),
) -> collections.abc.Callable:
    """Returns a decorator that registers a controller class.

    Controllers are stepped in order of registration.
    """

    def store(controller_class: type[Controller]) -> type[Controller]:
        controller_class.name = name
        controller_class.reads = tuple(reads)
        controller_class.writes = tuple(writes)
        return registry.register(name)(controller_class)

    return store


class Runner:
    """Steps controllers on the asyncio loop when their sections change.

    Args:
      members: Controllers in order. After each step the first one that has
        something to do is next, so that the last ones (which send replies)
        see the settled state.
      read_clock: Source of monotonic seconds.
    """

    __slots__ = ("_members", "_read_clock", "_awake", "_due", "_timer", "_busy")

    def __init__(
        self,
        *,
        members: collections.abc.Sequence[Controller],
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self._members = tuple(members)
        self._read_clock = read_clock
        self._awake = {member.name for member in members}
        self._due: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._busy = False
        for member in members:
            for section in member.reads:
                member.board.find_section(section).listeners.append(
                    lambda name=member.name: self._awake.add(name)
                )

    def run_until_idle(self) -> float | None:
        """Steps controllers until none has anything to do.

        Returns:
          The monotonic time in seconds of the next wanted step, or None.
        """
        if self._busy:
            return None
        self._busy = True
        try:
            while (member := self._find_next()) is not None:
                self._awake.discard(member.name)
                due = member.step(self._read_clock())
                self._due.pop(member.name, None)
                if due is not None:
                    self._due[member.name] = due
        finally:
            self._busy = False
        return min(self._due.values(), default=None)

    def run(self) -> None:
        """Settles and sets a timer for the next wanted step."""
        due = self.run_until_idle()
        self.stop()
        if due is not None:
            self._timer = asyncio.get_running_loop().call_at(due, self.run)

    def stop(self) -> None:
        """Removes the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _find_next(self) -> Controller | None:
        now = self._read_clock()
        for member in self._members:
            if member.name in self._awake:
                return member
            if self._due.get(member.name, now + 1.0) <= now:
                return member
        return None
