"""The transport base class and the registry that decorators fill."""

import typing

from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import registries


class Transport:
    """Moves records between the blackboard and a network.

    A transport decides nothing: it turns records into bytes and bytes into
    records. It runs threads of its own between ``start`` and ``stop``.

    Args:
      board: The blackboard of the process.
      settings: Settings of the daemon (``configuration.settings.Settings``).
      clock: Source of monotonic time.
    """

    name: typing.ClassVar[str] = ""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        settings: typing.Any,
        clock: clocks.Clock,
    ):
        self.board = board
        self.settings = settings
        self.clock = clock

    def start(self) -> None:
        """Begins to move records; returns once listening."""
        raise NotImplementedError

    def stop(self) -> None:
        """Closes listeners and connections and ends the threads."""
        raise NotImplementedError


TRANSPORTS: registries.Registry[type[Transport]] = registries.Registry(
    kind="transport"
)


def register(name: str):
    """Returns a decorator that registers a transport class.

    Args:
      name: The transport's name, as in the writer column of the sections.
    """

    def store(transport_class: type[Transport]) -> type[Transport]:
        transport_class.name = name
        return TRANSPORTS.register(name)(transport_class)

    return store
