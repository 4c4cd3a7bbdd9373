"""Kept HTTP connections to targets, bounded per target."""

import collections.abc
import threading
import time

import urllib3.connection


class NoConnectionError(Exception):
    """No connection became free in time."""


class Connection(urllib3.connection.HTTPConnection):
    """A connection that knows which generation of its target it belongs to."""

    def __init__(self, *args, generation: int, **options):
        super().__init__(*args, **options)
        self.generation = generation


class TargetConnections:
    """The connections to one target, most recently used first.

    Connections in use count towards the limit, so that a smaller share is
    never exceeded by new connections. The connection used last goes first, so
    that those beyond the current need become stale at the target and close.

    Args:
      address: address:port of the target.
      source: IP address to connect from.
      limit: Connections that may be open at once.
    """

    __slots__ = (
        "_host",
        "_port",
        "_source",
        "_limit",
        "_idle",
        "_open",
        "_generation",
        "_condition",
    )

    def __init__(self, *, address: str, source: str, limit: int):
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._source = source
        self._limit = limit
        self._idle: list[Connection] = []
        self._open = 0
        self._generation = 0
        self._condition = threading.Condition()

    @property
    def num_open(self) -> int:
        """Number of connections in use or kept."""
        return self._open

    def change_limit(self, limit: int) -> None:
        """Bounds the connections anew; closes kept ones above the limit."""
        if limit == self._limit:
            return
        with self._condition:
            self._limit = limit
            excess = max(0, min(len(self._idle), self._open - limit))
            closing, self._idle = self._idle[:excess], self._idle[excess:]
            self._open -= excess
            self._condition.notify_all()
        _close_all(closing)

    def take(self, timeout_s: float) -> Connection:
        """Returns a connection, which may still have to be connected.

        A kept connection that the target has closed, or on which it has sent
        something unasked, is not used again.

        Raises:
          NoConnectionError: All are in use for ``timeout_s`` seconds.
        """
        until = time.monotonic() + timeout_s
        while True:
            connection = self._take_any(until)
            if connection.is_closed or connection.is_connected:
                return connection
            self.discard(connection)

    def keep(self, connection: Connection) -> None:
        """Takes back a connection whose last reply was read to its end."""
        with self._condition:
            if (
                connection.generation == self._generation
                and self._open <= self._limit
                and not connection.is_closed
            ):
                self._idle.append(connection)
                self._condition.notify()
                return
        self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection."""
        connection.close()
        with self._condition:
            self._open -= 1
            self._condition.notify()

    def close_all(self) -> None:
        """Closes the kept connections now and those in use after their reply.

        Later calls of ``take`` open new ones.
        """
        with self._condition:
            self._generation += 1
            closing, self._idle = self._idle, []
            self._open -= len(closing)
            self._condition.notify_all()
        _close_all(closing)

    def _take_any(self, until: float) -> Connection:
        with self._condition:
            while not self._idle and self._open >= self._limit:
                remaining_s = until - time.monotonic()
                if remaining_s <= 0.0:
                    raise NoConnectionError(
                        f"all {self._limit} connections are in use"
                    )
                self._condition.wait(remaining_s)
            if self._idle:
                return self._idle.pop()
            self._open += 1
            return Connection(
                self._host,
                self._port,
                source_address=(self._source, 0),
                generation=self._generation,
            )


def _close_all(connections: collections.abc.Iterable[Connection]) -> None:
    for connection in connections:
        connection.close()
