"""Kept HTTP connections to targets, bounded per target."""

import collections.abc
import http.client
import select
import threading
import time

import urllib3.connection
import urllib3.exceptions
import urllib3.response


class PoolExhaustedError(Exception):
    """No connection became free in time."""


class InvalidRequestError(Exception):
    """A request cannot be written as HTTP; no byte of it was sent."""


class IncompleteReplyError(Exception):
    """A reply began, but is too large or not whole."""


class Connection(urllib3.connection.HTTPConnection):
    """A connection that writes each request with one call.

    Header and body in one segment cost the target and this host one wake-up
    less than urllib3's two writes.

    Attributes:
      generation: Generation of its target's connections that it belongs to.
    """

    def __init__(
        self, host: str, port: int, *, source_ip: str, generation: int
    ):
        super().__init__(host, port, source_address=(source_ip, 0))
        self.generation = generation
        self._request_parts: list[bytes] | None = None

    def open(self, timeout_s: float) -> None:
        """Connects.

        Raises:
          OSError: The target cannot be reached in time.
          urllib3.exceptions.HTTPError: Likewise.
        """
        self.timeout = timeout_s
        self.connect()

    def find_staleness(self) -> str:
        """Returns why the open connection cannot be used; "" if it can."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return "closed or out of step" if poll.poll(0) else ""

    def write_request(
        self,
        method: str,
        path: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> None:
        """Writes a request; ``timeout_s`` is also that of the reply's reads.

        Nothing is written when the request is invalid.

        Raises:
          InvalidRequestError: A header or the path is invalid.
          OSError: The connection broke or the time is over.
        """
        self._request_parts = []
        self.timeout = timeout_s
        try:
            self.request(
                method,
                path,
                body,
                headers,
                preload_content=False,
                decode_content=False,
            )
            data = b"".join(self._request_parts)
        except (ValueError, http.client.InvalidURL) as error:
            raise InvalidRequestError(str(error)) from error
        finally:
            self._request_parts = None
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)

    def send(self, data: bytes) -> None:
        """Collects a part of the request; called by urllib3."""
        self._request_parts.append(data)

    def read_reply(
        self, limit: int
    ) -> tuple[urllib3.response.HTTPResponse, bytes]:
        """Returns the reply with its whole body.

        Raises:
          IncompleteReplyError: The reply ends early or is longer than ``limit``
            bytes.
          TimeoutError: The time is over.
          http.client.HTTPException: The reply is not HTTP.
          OSError: The connection broke before the reply.
        """
        response = self.getresponse()
        try:
            body = response.read(limit + 1)
        except urllib3.exceptions.ReadTimeoutError as error:
            raise TimeoutError(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise IncompleteReplyError(str(error)) from error
        if len(body) > limit:
            raise IncompleteReplyError(f"reply is longer than {limit} bytes")
        return response, body


class TargetConnectionPool:
    """The connections to one target, most recently used first.

    Connections in use count towards the limit, so that a smaller share is
    never exceeded by new connections. The connection used last goes first, so
    that those beyond the current need become stale at the target and close.

    Args:
      address: address:port of the target.
      source_ip: IP address to connect from.
      limit: Connections that may be open at once.
    """

    __slots__ = (
        "_host",
        "_port",
        "_source_ip",
        "_limit",
        "_idle",
        "_open",
        "_generation",
        "_condition",
    )

    def __init__(self, *, address: str, source_ip: str, limit: int):
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._source_ip = source_ip
        self._limit = limit
        self._idle: list[Connection] = []
        self._open = 0
        self._generation = 0
        self._condition = threading.Condition()

    @property
    def num_open(self) -> int:
        """Number of connections in use or kept."""
        return self._open

    def set_limit(self, limit: int) -> None:
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

    def acquire_connection(self, timeout_s: float) -> Connection:
        """Returns a connection, which may still have to be connected.

        A kept connection that the target has closed, or on which it has sent
        something unasked, is not used again.

        Raises:
          PoolExhaustedError: All are in use for ``timeout_s`` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            connection = self._acquire_any(deadline)
            if connection.is_closed or not connection.find_staleness():
                return connection
            self.discard(connection)

    def release_connection(self, connection: Connection) -> None:
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

        Later calls of ``acquire_connection`` open new ones.
        """
        with self._condition:
            self._generation += 1
            closing, self._idle = self._idle, []
            self._open -= len(closing)
            self._condition.notify_all()
        _close_all(closing)

    def _acquire_any(self, deadline: float) -> Connection:
        with self._condition:
            while not self._idle and self._open >= self._limit:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0.0:
                    raise PoolExhaustedError(
                        f"all {self._limit} connections are in use"
                    )
                self._condition.wait(remaining_s)
            if self._idle:
                return self._idle.pop()
            self._open += 1
            return Connection(
                self._host,
                self._port,
                source_ip=self._source_ip,
                generation=self._generation,
            )


def _close_all(connections: collections.abc.Iterable[Connection]) -> None:
    for connection in connections:
        connection.close()
