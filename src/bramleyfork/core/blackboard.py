"""The blackboard of a process: named sections with one writer each."""

import collections
import collections.abc
import threading
import typing

Listener = collections.abc.Callable[[str], None]

_CURSOR_LIMIT = 200_000  # Records; bounds memory when a reader stands still.


class SectionError(Exception):
    """A section is unknown, of the other kind, or has another writer."""


class Table:
    """A section that maps keys to current records.

    ``version`` grows with each change. Readers see each record whole, as
    records are replaced and never changed.
    """

    __slots__ = ("name", "writer", "version", "_records", "_listeners")

    def __init__(self, *, name: str, writer: str):
        self.name = name
        self.writer = writer
        self.version = 0
        self._records: dict[typing.Any, typing.Any] = {}
        self._listeners: list[Listener] = []

    def get(self, key: typing.Any) -> typing.Any | None:
        """Returns the record under ``key``, or None."""
        return self._records.get(key)

    def list_records(self) -> list[typing.Any]:
        """Returns the current records in insertion order."""
        return list(self._records.values())

    def copy_records(self) -> dict[typing.Any, typing.Any]:
        """Returns a copy of the mapping from keys to records."""
        return dict(self._records)

    def __len__(self) -> int:
        return len(self._records)

    def add_listener(self, listener: Listener) -> None:
        """Calls ``listener`` with the section's name after each change."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener(self.name)


class Cursor:
    """One reader's place in a log.

    Several threads of one transport may share a cursor; each record is then
    taken by one of them.
    """

    __slots__ = ("_condition", "_pending", "dropped")

    def __init__(self):
        self._condition = threading.Condition()
        self._pending: collections.deque[typing.Any] = collections.deque()
        self.dropped = 0

    def push(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        """Adds records; called by the log only."""
        with self._condition:
            self._pending.extend(batch)
            while len(self._pending) > _CURSOR_LIMIT:
                self._pending.popleft()
                self.dropped += 1
            if len(batch) == 1:
                self._condition.notify()
            else:
                self._condition.notify_all()

    def read_new_records(self) -> list[typing.Any]:
        """Returns all new records without waiting."""
        if not self._pending:
            return []
        with self._condition:
            taken = list(self._pending)
            self._pending.clear()
        return taken

    def wait_for_record(self, timeout_s: float) -> typing.Any | None:
        """Returns the next record, or None after ``timeout_s`` seconds."""
        with self._condition:
            if not self._pending:
                self._condition.wait(timeout_s)
            if not self._pending:
                return None
            return self._pending.popleft()


class Log:
    """An append-only section; each reader has a cursor of its own."""

    __slots__ = ("name", "writer", "_cursors", "_listeners")

    def __init__(self, *, name: str, writer: str):
        self.name = name
        self.writer = writer
        self._cursors: list[Cursor] = []
        self._listeners: list[Listener] = []

    def open_cursor(self) -> Cursor:
        """Returns a cursor that sees records appended from now on."""
        cursor = Cursor()
        self._cursors.append(cursor)
        return cursor

    def add_listener(self, listener: Listener) -> None:
        """Calls ``listener`` with the section's name after each append."""
        self._listeners.append(listener)

    def _append(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        for cursor in self._cursors:
            cursor.push(batch)
        for listener in self._listeners:
            listener(self.name)


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
        if self._table._records.pop(key, None) is not None:
            self._table._notify()


class LogWriter:
    """The right to append to one log."""

    __slots__ = ("_log",)

    def __init__(self, *, log: Log):
        self._log = log

    def append(self, record: typing.Any) -> None:
        """Appends one record and wakes the readers."""
        self._log._append((record,))

    def extend(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        """Appends several records and wakes the readers once."""
        if batch:
            self._log._append(batch)


class Blackboard:
    """All sections of a process.

    Args:
      sections: (name, kind, writer) per section; kind is "table" or "log".
    """

    __slots__ = ("_sections", "_granted")

    def __init__(
        self, *, sections: collections.abc.Iterable[tuple[str, str, str]]
    ):
        self._sections: dict[str, Table | Log] = {}
        self._granted: set[str] = set()
        for name, kind, writer in sections:
            section_class = Table if kind == "table" else Log
            self._sections[name] = section_class(name=name, writer=writer)

    def find_section(self, name: str) -> Table | Log:
        """Returns a section for reading.

        Raises:
          SectionError: There is no such section.
        """
        if name not in self._sections:
            valid = ", ".join(sorted(self._sections))
            raise SectionError(
                f"unknown section {name!r}; valid names: {valid}"
            )
        return self._sections[name]

    def find_table(self, name: str) -> Table:
        """Returns a table for reading; raises SectionError for a log."""
        section = self.find_section(name)
        if not isinstance(section, Table):
            raise SectionError(f"section {name!r} is a log, not a table")
        return section

    def find_log(self, name: str) -> Log:
        """Returns a log for reading; raises SectionError for a table."""
        section = self.find_section(name)
        if not isinstance(section, Log):
            raise SectionError(f"section {name!r} is a table, not a log")
        return section

    def grant_writer(self, name: str, writer: str) -> TableWriter | LogWriter:
        """Returns the right to write a section, once per section.

        Args:
          name: The section.
          writer: Who asks; must be the writer in the section's definition.

        Raises:
          SectionError: Another writer is defined or has been granted.
        """
        section = self.find_section(name)
        if section.writer != writer:
            raise SectionError(
                f"section {name!r} is written by {section.writer!r},"
                f" not {writer!r}"
            )
        if name in self._granted:
            raise SectionError(f"section {name!r} has its writer already")
        self._granted.add(name)
        if isinstance(section, Table):
            return TableWriter(table=section)
        return LogWriter(log=section)
