"""What the parts of a process offer for observation."""

import collections.abc
import typing

from bramleyfork.core import logs
from bramleyfork.core import records

# A number, or numbers by code.
Count = int | collections.abc.Mapping[str, int]


class Instruments(records.Record):
    """Everything that is observed but not on the blackboard.

    The daemon puts one record into the section ``instruments`` under the key
    "current" before it starts the transports.

    Attributes:
      decisions: The handler that keeps recent decisions.
      counters: Live counters by name of the controller or transport.
      registries: Registries of the metrics library, rendered as they are.
    """

    __slots__ = ("decisions", "counters", "registries")

    def __init__(
        self,
        *,
        decisions: logs.RecentDecisions,
        counters: dict[str, collections.abc.Mapping[str, Count]],
        registries: tuple[typing.Any, ...] = (),
    ):
        self.decisions = decisions
        self.counters = counters
        self.registries = registries


def collect_instruments(
    decisions: logs.RecentDecisions,
    parts: collections.abc.Iterable[typing.Any],
) -> Instruments:
    """Returns the instruments of controllers and transports.

    A part takes part by an attribute ``counters``, a mapping that it changes
    in place, or ``metrics`` with a ``registry``. Counting costs a part one
    addition; everything else happens when somebody asks.

    Args:
      decisions: The handler that keeps recent decisions.
      parts: Controllers and transports; each has a ``name``.
    """
    parts = list(parts)
    return Instruments(
        decisions=decisions,
        counters={
            part.name: part.counters
            for part in parts
            if isinstance(
                getattr(part, "counters", None), collections.abc.Mapping
            )
        },
        registries=tuple(
            part.metrics.registry for part in parts if hasattr(part, "metrics")
        ),
    )
