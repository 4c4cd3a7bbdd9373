"""Base class of controllers and transports, and their registries."""

import collections.abc
import typing

from bramleyfork.core import blackboard
from bramleyfork.core import controllers
from bramleyfork.core import registries


class Component(controllers.Controller):
    """A controller or transport that is stepped on the event loop.

    Subclasses set up state in ``start`` and implement ``step``. ``name``,
    ``reads``, ``passive_reads`` and ``writes`` are set by ``register``.

    Args:
      board: The blackboard of the process.
      context: What the process knows of itself and offers to its parts.
    """

    __slots__ = ("context",)

    def __init__(self, *, board: blackboard.Blackboard, context: "Context"):
        self.context = context
        super().__init__(board=board, settings=context.settings)

    async def open(self) -> None:
        """Opens listeners; called once when the event loop runs."""

    def close(self) -> None:
        """Closes listeners and connections at the end of the process."""

    def step(self, now: float) -> float | None:
        """Handles what has changed.

        Args:
          now: Monotonic time in seconds.

        Returns:
          The monotonic time of the next wanted step, or None to be woken by
          changes only.
        """
        del now
        return None


class Context:
    """What a process knows of itself.

    Attributes:
      settings: Checked settings (``entry.settings.Settings``).
      header_names: Header names towards callers and targets.
      metrics: Counters and histograms of the process.
      incarnation: Milliseconds since 1970 at the start of this process.
    """

    __slots__ = ("settings", "header_names", "metrics", "incarnation")

    def __init__(
        self,
        *,
        settings: typing.Any,
        header_names: typing.Any,
        metrics: typing.Any,
        incarnation: int,
    ):
        self.settings = settings
        self.header_names = header_names
        self.metrics = metrics
        self.incarnation = incarnation


CONTROLLERS: registries.Registry[type[Component]] = registries.Registry(
    kind="entry controller"
)
TRANSPORTS: registries.Registry[type[Component]] = registries.Registry(
    kind="entry transport"
)
# Parts that join a host to the place where it runs: where its feed comes from,
# and the pages on which callers find it. The settings name those that run.
ADAPTERS: registries.Registry[type[Component]] = registries.Registry(
    kind="entry adapter"
)


def register(
    registry: registries.Registry[type[Component]],
    name: str,
    *,
    writer_name: str = "",
    reads: collections.abc.Sequence[str] = (),
    writes: collections.abc.Sequence[str] = (),
    passive_reads: collections.abc.Sequence[str] = (),
) -> collections.abc.Callable[[type[Component]], type[Component]]:
    """Returns a decorator that registers a controller or a transport.

    Args:
      registry: CONTROLLERS, TRANSPORTS or ADAPTERS.
      name: The name to register the part by.
      writer_name: The part's name in the writer column of the sections, if that
        is another one.
      reads: Sections whose changes wake the part.
      writes: Sections it owns.
      passive_reads: Tables it reads without being woken by their changes.
    """

    def store(component_class: type[Component]) -> type[Component]:
        component_class.name = writer_name or name
        component_class.reads = tuple(reads)
        component_class.passive_reads = tuple(passive_reads)
        component_class.writes = tuple(writes)
        return registry.register(name)(component_class)

    return store
