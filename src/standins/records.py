"""Base class of the slotted records on a stand-in's blackboard."""

import typing


class Record:
    """A data class with slots, equality, repr and modified copies.

    Subclasses list their fields in ``__slots__`` and take each as a keyword
    argument; fields with an entry in ``DEFAULTS`` are optional. Records are
    never modified after construction.
    """

    __slots__ = ()

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {}

    def __init__(self, **fields: typing.Any):
        for name in self.__slots__:
            if name in fields:
                setattr(self, name, fields.pop(name))
            elif name in self.DEFAULTS:
                setattr(self, name, self.DEFAULTS[name])
            else:
                raise TypeError(f"{type(self).__name__} lacks field {name!r}")
        if fields:
            raise TypeError(
                f"{type(self).__name__} has no field {sorted(fields)!r}"
            )

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.to_dict() == other.to_dict()

    __hash__ = None

    def __repr__(self) -> str:
        fields = ", ".join(f"{n}={v!r}" for n, v in self.to_dict().items())
        return f"{type(self).__name__}({fields})"

    def to_dict(self) -> dict[str, typing.Any]:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}

    def replace(self, **changes: typing.Any) -> typing.Self:
        """Returns a copy with some fields changed."""
        return type(self)(**{**self.to_dict(), **changes})
