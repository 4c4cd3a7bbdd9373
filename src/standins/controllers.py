"""Base class of a stand-in's controllers, and the runner that steps them."""

import asyncio
import collections.abc
import time
import typing

from standins import blackboard
from standins import registries


class Controller:
    """A unit of logic that is stepped when the sections it reads change.

    Args:
      board: The blackboard.
      settings: Settings of the stand-in.

    Attributes:
      name: Registered name; also the writer name of the sections it owns.
      reads: Sections whose changes trigger a step.
      writes: Sections it owns.
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
        """Initialises state and sections; called before the first step."""

    def step(self, now: float) -> float | None:
        """Processes changes of the sections and expired timers.

        Args:
          now: Monotonic time in seconds.

        Returns:
          The monotonic time in seconds at which to step again even without
          changes, or None to step on changes only.
        """
        raise NotImplementedError

    def read_new_records(self, section: str) -> list[typing.Any]:
        """Returns the records appended to a log since the last call."""
        cursor = self._cursors[section]
        new_records = cursor[:]
        cursor.clear()
        return new_records

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

    Args:
      registry: Registry that the class is added to.
      name: The controller's name, as in the writer column of the sections.
      reads: Sections whose changes trigger a step.
      writes: Sections it owns.
    """

    def decorate(controller_class: type[Controller]) -> type[Controller]:
        controller_class.name = name
        controller_class.reads = tuple(reads)
        controller_class.writes = tuple(writes)
        return registry.register(name)(controller_class)

    return decorate


class Runner:
    """Steps controllers on the asyncio loop when their sections change.

    Args:
      ordered_controllers: Controllers by decreasing priority. After each step
        the first one with changes or an expired timer is stepped next, so the
        last one, which sends the replies, is stepped only when no other has
        anything to do.
      read_clock: Source of monotonic seconds.
    """

    __slots__ = (
        "_controllers",
        "_read_clock",
        "_names_to_step",
        "_next_step_at",
        "_timer",
        "_is_running",
    )

    def __init__(
        self,
        *,
        ordered_controllers: collections.abc.Sequence[Controller],
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self._controllers = tuple(ordered_controllers)
        self._read_clock = read_clock
        self._names_to_step = {
            controller.name for controller in ordered_controllers
        }
        self._next_step_at: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_running = False
        for controller in ordered_controllers:
            for section in controller.reads:
                controller.board.find_section(section).listeners.append(
                    lambda name=controller.name: self._names_to_step.add(name)
                )

    def run_until_idle(self) -> float | None:
        """Steps controllers until none has changes or an expired timer.

        A call from within a step does nothing and returns None.

        Returns:
          The monotonic time in seconds at which the next timer expires, or
          None.
        """
        if self._is_running:
            return None
        self._is_running = True
        try:
            while (controller := self._find_next()) is not None:
                self._names_to_step.discard(controller.name)
                next_step_at = controller.step(self._read_clock())
                self._next_step_at.pop(controller.name, None)
                if next_step_at is not None:
                    self._next_step_at[controller.name] = next_step_at
        finally:
            self._is_running = False
        return min(self._next_step_at.values(), default=None)

    def run(self) -> None:
        """Runs until idle and schedules a run for the next timer."""
        next_step_at = self.run_until_idle()
        self.stop()
        if next_step_at is not None:
            self._timer = asyncio.get_running_loop().call_at(
                next_step_at, self.run
            )

    def stop(self) -> None:
        """Cancels the scheduled run."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _find_next(self) -> Controller | None:
        now = self._read_clock()
        for controller in self._controllers:
            if controller.name in self._names_to_step:
                return controller
            if self._next_step_at.get(controller.name, now + 1.0) <= now:
                return controller
        return None
