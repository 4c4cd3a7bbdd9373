"""Registries of interchangeable functions and classes.

Decorators add the entries when their modules are imported.
"""

import collections.abc
import typing


class UnknownNameError(LookupError):
    """A name is not registered."""


class Registry:
    """Maps names to functions or classes that decorators register."""

    __slots__ = ("_kind", "_items")

    def __init__(self, *, kind: str):
        self._kind = kind
        self._items: dict[str, typing.Any] = {}

    def register(self, name: str) -> collections.abc.Callable:
        """Returns a decorator that registers its argument under ``name``.

        Raises:
          ValueError: The name is already registered; raised when the
            decorator is applied.
        """

        def decorate(item: typing.Any) -> typing.Any:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def find(self, name: str) -> typing.Any:
        """Returns the item registered under ``name``.

        Raises:
          UnknownNameError: The name is not registered; the message lists the
            valid names.
        """
        if name not in self._items:
            valid = ", ".join(sorted(self._items))
            raise UnknownNameError(
                f"unknown {self._kind} {name!r}; valid names: {valid}"
            )
        return self._items[name]

    def list_items(self) -> list[tuple[str, typing.Any]]:
        """Returns (name, item) pairs in order of registration."""
        return list(self._items.items())
