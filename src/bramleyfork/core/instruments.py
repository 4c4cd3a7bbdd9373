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
      counters: Counters by component name; updated in place while the process
        runs.
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
    components: collections.abc.Iterable[typing.Any],
) -> Instruments:
    """Returns the instruments of the components of a process.

    A component exposes counters by an attribute ``counters``, a mapping that
    it updates in place, and metrics by an attribute ``metrics`` with a
    ``registry``. Counting an event costs the component one addition; the
    values are collected only when they are read.

    Args:
      decisions: Log handler that holds the recent decisions.
      components: Controllers and transports; each has a ``name``.
    """
    components = list(components)
    return Instruments(
        decisions=decisions,
        counters={
            component.name: component.counters
            for component in components
            if isinstance(
                getattr(component, "counters", None), collections.abc.Mapping
            )
        },
        registries=tuple(
            component.metrics.registry
            for component in components
            if hasattr(component, "metrics")
        ),
    )
