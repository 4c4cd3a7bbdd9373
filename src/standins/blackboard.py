"""The blackboard of a stand-in: named sections with one writer each.

Everything runs on one asyncio loop, so sections need no locks.
"""

import collections.abc
import typing


class SectionError(Exception):
    """A section is unknown or has another writer."""


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
    """An append-only section; each reader takes each record once."""

    __slots__ = ("_cursors", "listeners")

    def __init__(self):
        self._cursors: list[list[typing.Any]] = []
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def open_cursor(self) -> list[typing.Any]:
        """Returns a list that later records are added to."""
        cursor: list[typing.Any] = []
        self._cursors.append(cursor)
        return cursor


class TableWriter:
    """The right to change one table."""

    __slots__ = ("_table",)

    def __init__(self, *, table: Table):
        self._table = table

    def put(self, key: typing.Any, record: typing.Any) -> None:
        """Stores ``record`` under ``key`` and wakes the readers."""
        self._table._records[key] = record
        self._table._notify()

    def remove(self, key: typing.Any) -> None:
        """Removes the record under ``key`` if there is one."""
        if key in self._table._records:
            del self._table._records[key]
            self._table._notify()

    def clear(self) -> None:
        """Removes all records."""
        self._table._records.clear()
        self._table._notify()


class LogWriter:
    """The right to append to one log."""

    __slots__ = ("_log",)

    def __init__(self, *, log: Log):
        self._log = log

    def append(self, record: typing.Any) -> None:
        """Appends one record and wakes the readers."""
        for cursor in self._log._cursors:
            cursor.append(record)
        for listener in self._log.listeners:
            listener()


class Blackboard:
    """All sections of one stand-in.

    Args:
      sections: (name, kind, writer) per section; kind is "table" or "log".
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
        """Returns a section for reading."""
        if name not in self._sections:
            valid = ", ".join(sorted(self._sections))
            raise SectionError(
                f"unknown section {name!r}; valid names: {valid}"
            )
        return self._sections[name]

    def grant_writer(self, name: str, writer: str) -> typing.Any:
        """Returns the right to write a section, once per section."""
        section = self.find_section(name)
        if self._writers[name] != writer or name in self._granted_sections:
            raise SectionError(
                f"section {name!r} is written by {self._writers[name]!r}"
                f" and granted once; {writer!r} cannot write it"
            )
        self._granted_sections.add(name)
        if isinstance(section, Table):
            return TableWriter(table=section)
        return LogWriter(log=section)
