"""Base class of the records that the blackboard holds."""

import typing


class Record:
    """A data class with slots, equality, hash, repr and modified copies.

    Subclasses list their fields in ``__slots__`` and take each as a
    keyword-only constructor argument of the same name. Records are shared
    between threads and never modified after construction.
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        return hash((type(self), *(getattr(self, n) for n in self.__slots__)))

    def __repr__(self) -> str:
        fields = ", ".join(f"{n}={getattr(self, n)!r}" for n in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def replace(self, **changes: typing.Any) -> typing.Self:
        """Returns a copy with some fields changed.

        Args:
          **changes: New values by field name.

        Raises:
          TypeError: A name is not a field of this record.
        """
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields.update(changes)
        return type(self)(**fields)
