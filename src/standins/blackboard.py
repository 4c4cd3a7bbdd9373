"""The blackboard of a stand-in: named sections with one writer each.

A stand-in runs on one thread, its asyncio loop, so sections need no locks.
"""

import collections.abc
import typing


class SectionError(Exception):
    """A section does not exist, or its writer may not be granted."""


class Table:
    """A section that maps keys to current records."""

    __slots__ = ("_records", "listeners")

    def __init__(self):
        self._records: dict[typing.Any, typing.Any] = {}
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def get(self, key: typing.Any, default: typing.Any = None) -> typing.Any:
        """Returns the record under ``key``, or ``default``."""
        return self._records.get(key, default)

    def list_records(self) -> list[typing.Any]:
        """Returns the current records in insertion order."""
        return list(self._records.values())

    def copy_records(self) -> dict[typing.Any, typing.Any]:
        """Returns a copy of the mapping from keys to records."""
        return dict(self._records)

    def __contains__(self, key: typing.Any) -> bool:
        return key in self._records

    def __len__(self) -> int:
        return len(self._records)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()


class Log:
    """An append-only section that each reader follows with its own cursor."""

    __slots__ = ("_cursors", "listeners")

    def __init__(self):
        self._cursors: list[list[typing.Any]] = []
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def open_cursor(self) -> list[typing.Any]:
        """Returns a new list, to which records appended later are added.

        The reader removes the records that it has read.
        """
        cursor: list[typing.Any] = []
        self._cursors.append(cursor)
        return cursor


class TableWriter:
    """Write access to one table; granted once by ``Blackboard``."""

    __slots__ = ("_table",)

    def __init__(self, *, table: Table):
        self._table = table

    def put(self, key: typing.Any, record: typing.Any) -> None:
        """Stores ``record`` under ``key`` and calls the listeners."""
        self._table._records[key] = record
        self._table._notify()

    def remove(self, key: typing.Any) -> None:
        """Removes the record under ``key``; does nothing if there is none."""
        if key in self._table._records:
            del self._table._records[key]
            self._table._notify()

    def clear(self) -> None:
        """Removes all records."""
        self._table._records.clear()
        self._table._notify()


class LogWriter:
    """Write access to one log; granted once by ``Blackboard``."""

    __slots__ = ("_log",)

    def __init__(self, *, log: Log):
        self._log = log

    def append(self, record: typing.Any) -> None:
        """Appends one record and calls the listeners."""
        for cursor in self._log._cursors:
            cursor.append(record)
        for listener in self._log.listeners:
            listener()


class Blackboard:
    """All sections of one stand-in.

    Args:
      sections: (name, kind, writer) per section; kind is "table" or "log",
        writer is the name of the only controller that may write it.
    """

    __slots__ = ("_sections", "_writers", "_granted_sections")

    def __init__(
        self, *, sections: collections.abc.Iterable[tuple[str, str, str]]
    ):
        self._sections: dict[str, Table | Log] = {}
        self._writers: dict[str, str] = {}
        self._granted_sections: set[str] = set()
        for name, kind, writer in sections:
            self._sections[name] = Table() if kind == "table" else Log()
            self._writers[name] = writer

    def find_section(self, name: str) -> typing.Any:
        """Returns a section for reading.

        Raises:
          SectionError: There is no section of that name; the message lists
            the valid names.
        """
        if name not in self._sections:
            valid = ", ".join(sorted(self._sections))
            raise SectionError(
                f"unknown section {name!r}; valid names: {valid}"
            )
        return self._sections[name]

    def grant_writer(self, name: str, writer: str) -> typing.Any:
        """Returns write access to a section; succeeds once per section.

        Raises:
          SectionError: The section is unknown, is defined with another
            writer, or its write access has already been granted.
        """
        section = self.find_section(name)
        if self._writers[name] != writer or name in self._granted_sections:
            raise SectionError(
                f"section {name!r} is written by {self._writers[name]!r}"
                f" and granted once; {writer!r} can't write it"
            )
        self._granted_sections.add(name)
        if isinstance(section, Table):
            return TableWriter(table=section)
        return LogWriter(log=section)
