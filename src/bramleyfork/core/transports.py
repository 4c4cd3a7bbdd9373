"""Base class and registry of transports.

A transport connects the blackboard to a network. Decorators register the
classes.
"""

import typing

from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import registries


class Transport:
    """Exchanges records between the blackboard and a network.

    A transport makes no decisions: it encodes records of the blackboard and
    sends them, and decodes received bytes to records. It runs its own threads
    between ``start`` and ``stop``.

    Args:
      board: The blackboard of the process.
      settings: Settings of the daemon (``configuration.settings.Settings``).
      clock: Source of monotonic time.
      budget: Budget of the process for the connections of clients
        (``listeners.budgets.ConnectionBudget``); None if it doesn't listen.

    Attributes:
      name: Registered name; also the writer name of the sections it owns.
    """

    name: typing.ClassVar[str] = ""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        settings: typing.Any,
        clock: clocks.Clock,
        budget: typing.Any = None,
    ):
        self.board = board
        self.settings = settings
        self.clock = clock
        self.budget = budget

    def start(self) -> None:
        """Starts the threads; returns once the listeners are open."""
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

    def decorate(transport_class: type[Transport]) -> type[Transport]:
        transport_class.name = name
        return TRANSPORTS.register(name)(transport_class)

    return decorate
