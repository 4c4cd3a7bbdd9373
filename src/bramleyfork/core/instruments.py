"""Counters, metrics and recent decisions that a process exposes."""

import collections.abc
import typing

from bramleyfork.core import logs
from bramleyfork.core import records

# Value of a counter, or its values by code.
Count = int | collections.abc.Mapping[str, int]


class Instruments(records.Record):
    """Observable state that is not kept in records on the blackboard.

    The daemon puts one record into the section ``instruments`` under the key
    "current" before it starts the transports.

    Attributes:
      decisions: Log handler that holds the recent decisions.
      counters: Counters by name of the component; updated in place while the
        process runs.
      registries: Registries of the metrics library, exported unchanged.
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
    """Returns the instruments of the components of a process.

    A component exposes counters by an attribute ``counters``, a mapping that
    it updates in place, and metrics by an attribute ``metrics`` with a
    ``registry``. Counting an event costs the component one addition; the
    values are collected only when they are read.

    Args:
      decisions: Log handler that holds the recent decisions.
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
