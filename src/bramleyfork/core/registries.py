"""Registries of interchangeable functions and classes.

Decorators add the entries when their modules are imported.
"""

import collections.abc
import typing

Item = typing.TypeVar("Item")


class UnknownNameError(LookupError):
    """A name is not registered."""


class Registry(typing.Generic[Item]):
    """Maps names to functions or classes that decorators register.

    Args:
      kind: What the registry holds, for error messages.

    Example:
      >>> policies = Registry(kind="policy")
      >>> @policies.register("round_robin")
      ... def choose(candidates):
      ...   return candidates[0]
      >>> policies.find("round_robin") is choose
      True
    """

    __slots__ = ("_kind", "_items")

    def __init__(self, *, kind: str):
        self._kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> collections.abc.Callable[[Item], Item]:
        """Returns a decorator that registers its argument under ``name``.

        Raises:
          ValueError: The name is already registered; raised when the
            decorator is applied.
        """

        def decorate(item: Item) -> Item:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def find(self, name: str) -> Item:
        """Returns the item registered under ``name``.

        Raises:
          UnknownNameError: The name is not registered; the message lists the
            valid names.
        """
        try:
            return self._items[name]
        except KeyError:
            valid = ", ".join(sorted(self._items))
            raise UnknownNameError(
                f"unknown {self._kind} {name!r}; valid names: {valid}"
            ) from None

    def list_names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._items)

    def list_items(self) -> list[tuple[str, Item]]:
        """Returns (name, item) pairs sorted by name."""
        return sorted(self._items.items())
