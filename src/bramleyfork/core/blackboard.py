"""The blackboard: shared sections through which components exchange records.

A section is a table of current records or an append-only log. Each section has
exactly one writer and any number of readers, which may run on other threads.
"""

import collections
import collections.abc
import threading
import typing

Listener = collections.abc.Callable[[str], None]

_CURSOR_LIMIT = 200_000  # Records; bounds memory when a reader is blocked.


class SectionError(Exception):
    """Access to a section that does not exist or is not permitted."""


class Table:
    """A section that maps keys to current records.

    Records are replaced and never modified in place, so a reader on another
    thread never sees a partly written record.

    Attributes:
      name: Name of the section.
      writer: Name of the component that may write it.
      version: Number of changes so far.
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
        """Returns a shallow copy of the mapping from keys to records."""
        return dict(self._records)

    def __len__(self) -> int:
        return len(self._records)

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback for changes.

        It is called with the section's name after each change, on the
        writer's thread.
        """
        self._listeners.append(listener)

    def _notify(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener(self.name)


class Cursor:
    """Queue of the records of a log that one reader has not read yet.

    Several threads of one transport may share a cursor; each record is then
    returned to exactly one of them.

    Attributes:
      dropped: Number of records discarded because the reader fell behind by
        more than ``_CURSOR_LIMIT``.
    """

    __slots__ = ("_condition", "_pending", "dropped")

    def __init__(self):
        self._condition = threading.Condition()
        self._pending: collections.deque[typing.Any] = collections.deque()
        self.dropped = 0

    def push(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        """Appends records and discards the oldest ones above the limit.

        Only the log calls this.
        """
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
        """Removes and returns all unread records, without blocking."""
        if not self._pending:
            return []
        with self._condition:
            unread = list(self._pending)
            self._pending.clear()
        return unread

    def wait_for_record(self, timeout_s: float) -> typing.Any | None:
        """Removes and returns the next record.

        Blocks for at most ``timeout_s`` seconds. Returns None if there is no
        record then; this can happen earlier if another thread that shares the
        cursor reads the record first.
        """
        with self._condition:
            if not self._pending:
                self._condition.wait(timeout_s)
            if not self._pending:
                return None
            return self._pending.popleft()


class Log:
    """An append-only section that each reader follows with its own cursor."""

    __slots__ = ("name", "writer", "_cursors", "_listeners")

    def __init__(self, *, name: str, writer: str):
        self.name = name
        self.writer = writer
        self._cursors: list[Cursor] = []
        self._listeners: list[Listener] = []

    def open_cursor(self) -> Cursor:
        """Returns a new cursor; it receives only records appended later."""
        cursor = Cursor()
        self._cursors.append(cursor)
        return cursor

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback for appends.

        It is called with the section's name after each append, on the
        writer's thread.
        """
        self._listeners.append(listener)

    def _append(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        for cursor in self._cursors:
            cursor.push(batch)
        for listener in self._listeners:
            listener(self.name)


class TableWriter:
    """Write access to one table; granted once by ``Blackboard``."""

    __slots__ = ("_table",)

    def __init__(self, *, table: Table):
        self._table = table

    def put(self, key: typing.Any, record: typing.Any) -> None:
        """Stores ``record`` under ``key`` and notifies the listeners."""
        self._table._records[key] = record
        self._table._notify()

    def remove(self, key: typing.Any) -> None:
        """Removes the record under ``key``; does nothing if there is none."""
        if self._table._records.pop(key, None) is not None:
            self._table._notify()


class LogWriter:
    """Write access to one log; granted once by ``Blackboard``."""

    __slots__ = ("_log",)

    def __init__(self, *, log: Log):
        self._log = log

    def append(self, record: typing.Any) -> None:
        """Appends one record and notifies the readers."""
        self._log._append((record,))

    def extend(self, batch: collections.abc.Sequence[typing.Any]) -> None:
        """Appends several records and notifies the readers once."""
        if batch:
            self._log._append(batch)


class Blackboard:
    """All sections of a process, and the grants of write access to them.

    Args:
      sections: (name, kind, writer) per section; kind is "table" or "log",
        writer is the name of the only component that may write it.
    """

    __slots__ = ("_sections", "_granted_sections")

    def __init__(
        self, *, sections: collections.abc.Iterable[tuple[str, str, str]]
    ):
        self._sections: dict[str, Table | Log] = {}
        self._granted_sections: set[str] = set()
        for name, kind, writer in sections:
            section_class = Table if kind == "table" else Log
            self._sections[name] = section_class(name=name, writer=writer)

    def find_section(self, name: str) -> Table | Log:
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
        """Returns write access to a section; succeeds once per section.

        Args:
          name: Name of the section.
          writer: Name of the requesting component; must equal the writer in
            the section's definition.

        Raises:
          SectionError: The section is unknown, is defined with another
            writer, or its write access has already been granted.
        """
        section = self.find_section(name)
        if section.writer != writer:
            raise SectionError(
                f"section {name!r} is written by {section.writer!r},"
                f" not {writer!r}"
            )
        if name in self._granted_sections:
            raise SectionError(f"section {name!r} already has a writer")
        self._granted_sections.add(name)
        if isinstance(section, Table):
            return TableWriter(table=section)
        return LogWriter(log=section)
