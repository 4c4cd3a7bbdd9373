"""Base class and registry of controllers.

A controller reads sections of the blackboard, makes decisions and writes the
sections that it owns. Decorators register the classes.
"""

import collections.abc
import typing

from bramleyfork.core import blackboard
from bramleyfork.core import registries

REQUEST_LOOP = "request"
CONTROL_LOOP = "control"


class Controller:
    """A unit of decision logic that a loop steps when its sections change.

    Subclasses set up their state in ``start``, implement ``step`` and access
    sections through ``get_table``, ``read_new_records`` and ``get_writer``.
    Access to a section that is not declared in ``register`` raises.

    Args:
      board: The blackboard of the process.
      settings: Settings of the daemon (``configuration.settings.Settings``).

    Attributes:
      name: Registered name; also the writer name of the sections it owns.
      reads: Sections whose changes trigger a step.
      passive_reads: Tables it reads without being triggered by their changes.
      writes: Sections it owns.
      loop: Thread that steps it, REQUEST_LOOP or CONTROL_LOOP.
    """

    __slots__ = ("board", "settings", "_cursors", "_writers")

    name: typing.ClassVar[str] = ""
    reads: typing.ClassVar[tuple[str, ...]] = ()
    passive_reads: typing.ClassVar[tuple[str, ...]] = ()
    writes: typing.ClassVar[tuple[str, ...]] = ()
    loop: typing.ClassVar[str] = CONTROL_LOOP

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
        """Initialises state; called once, before the first step."""

    def step(self, now: float) -> float | None:
        """Processes changes of the sections and expired timers.

        Args:
          now: Monotonic time in seconds.

        Returns:
          The monotonic time in seconds at which to step again even without
          changes, or None to step on changes only.
        """
        raise NotImplementedError

    def get_table(self, section: str) -> blackboard.Table:
        """Returns a table for reading.

        Raises:
          SectionError: The controller does not declare the section, or it is
            a log.
        """
        if section not in self.reads + self.writes + self.passive_reads:
            raise blackboard.SectionError(
                f"controller {self.name!r} does not read section {section!r}"
            )
        return self.board.find_table(section)

    def read_new_records(self, section: str) -> list[typing.Any]:
        """Returns the records appended to a log since the last call."""
        return self._cursors[section].read_new_records()

    def get_writer(self, section: str) -> typing.Any:
        """Returns the writer of a section that this controller owns."""
        return self._writers[section]


CONTROLLERS: registries.Registry[type[Controller]] = registries.Registry(
    kind="controller"
)


def register(
    name: str,
    *,
    reads: collections.abc.Sequence[str],
    writes: collections.abc.Sequence[str],
    passive_reads: collections.abc.Sequence[str] = (),
    loop: str = CONTROL_LOOP,
) -> collections.abc.Callable[[type[Controller]], type[Controller]]:
    """Returns a decorator that registers a controller class.

    Args:
      name: The controller's name, as in the writer column of the sections.
      reads: Sections whose changes trigger a step.
      writes: Sections it owns.
      passive_reads: Tables it reads without being triggered by their changes.
      loop: Thread that steps the controller, REQUEST_LOOP or CONTROL_LOOP.
    """

    def decorate(controller_class: type[Controller]) -> type[Controller]:
        controller_class.name = name
        controller_class.reads = tuple(reads)
        controller_class.passive_reads = tuple(passive_reads)
        controller_class.writes = tuple(writes)
        controller_class.loop = loop
        return CONTROLLERS.register(name)(controller_class)

    return decorate
