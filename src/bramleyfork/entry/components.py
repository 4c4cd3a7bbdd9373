"""Base class of an entry host's components, and their registries.

Components are controllers, transports and adapters. They communicate through
sections of the blackboard.
"""

import collections.abc
import typing

from bramleyfork.core import blackboard
from bramleyfork.core import controllers
from bramleyfork.core import registries
from bramleyfork.listeners import budgets
from bramleyfork.listeners import resources


class Component(controllers.Controller):
    """A controller, transport or adapter that is stepped on the event loop.

    Subclasses set up state in ``start`` and implement ``step``. ``name``,
    ``reads``, ``passive_reads`` and ``writes`` are set by ``register``.

    Args:
      board: The blackboard of the process.
      context: Settings and metrics that the components of the process share.
    """

    __slots__ = ("context",)

    def __init__(self, *, board: blackboard.Blackboard, context: "Context"):
        self.context = context
        super().__init__(board=board, settings=context.settings)

    async def open(self) -> None:
        """Opens listeners; called once on the running event loop."""

    def close(self) -> None:
        """Closes listeners and connections at the end of the process."""

    def step(self, now: float) -> float | None:
        """Processes changes of the sections it reads, and due timers.

        Args:
          now: Current monotonic time in seconds.

        Returns:
          The monotonic time in seconds of the next step, or None if it is
          stepped on changes only.
        """
        del now
        return None


class Context:
    """Settings and metrics of a process, shared by its components.

    Attributes:
      settings: Validated settings (``entry.settings.Settings``).
      header_names: Header names used with callers and targets.
      metrics: Counters and histograms of the process.
      incarnation: Milliseconds since 1970 at the start of this process.
      connections: What the connections of all listeners share.
    """

    __slots__ = (
        "settings",
        "header_names",
        "metrics",
        "incarnation",
        "connections",
    )

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
        self.connections = resources.LoopResources(
            budget=budgets.build_budget(
                memory_bytes=settings.memory_bytes,
                descriptors=settings.descriptors,
            )
        )


CONTROLLERS: registries.Registry[type[Component]] = registries.Registry(
    kind="entry controller"
)
TRANSPORTS: registries.Registry[type[Component]] = registries.Registry(
    kind="entry transport"
)
# Components that connect a host to its platform: the source of its feed, and
# the directory in which callers find hosts. The settings name those that run.
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
    """Returns a decorator that registers a component.

    Args:
      registry: CONTROLLERS, TRANSPORTS or ADAPTERS.
      name: Name by which the component is registered.
      writer_name: Name of the component as a writer in ``entry.sections``, if
        it differs from ``name``.
      reads: Sections whose changes trigger a step.
      writes: Sections that only this component writes.
      passive_reads: Tables that it reads, but whose changes trigger no step.
    """

    def store(component_class: type[Component]) -> type[Component]:
        component_class.name = writer_name or name
        component_class.reads = tuple(reads)
        component_class.passive_reads = tuple(passive_reads)
        component_class.writes = tuple(writes)
        return registry.register(name)(component_class)

    return store
