"""Pools of persistent HTTP connections to targets, bounded per target."""

import collections.abc
import http.client
import select
import socket
import threading
import time

import urllib3.connection
import urllib3.exceptions
import urllib3.response


def is_refused(address: str, *, source_ip: str, timeout_s: float) -> bool:
    """Returns whether a target refuses connections, as its process has ended.

    Args:
      address: address:port of the target.
      source_ip: IP address to connect from.
      timeout_s: Time in seconds after which it counts as not refused.
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection(
            (host, int(port)), timeout_s, source_address=(source_ip, 0)
        ):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        return False


class PoolExhaustedError(Exception):
    """No connection of a pool became free before the timeout."""


class InvalidRequestError(Exception):
    """A request cannot be written as HTTP; no byte of it was sent."""


class IncompleteReplyError(Exception):
    """A reply has begun, but is truncated or too large."""


class Connection(urllib3.connection.HTTPConnection):
    """An HTTP connection that writes each request with one system call.

    Compared with urllib3's separate writes of header and body, this saves one
    wake-up at the target and one at this host.

    Attributes:
      generation: Generation of the pool in which it was created; a connection
        of an older generation is not used again.
    """

    def __init__(
        self, host: str, port: int, *, source_ip: str, generation: int
    ):
        super().__init__(host, port, source_address=(source_ip, 0))
        self.generation = generation
        self._request_parts: list[bytes] | None = None

    def open(self, timeout_s: float) -> None:
        """Connects to the target.

        Raises:
          OSError: The target cannot be reached within ``timeout_s`` seconds.
          urllib3.exceptions.HTTPError: As for OSError.
        """
        self.timeout = timeout_s
        self.connect()

    def find_staleness(self) -> str:
        """Returns why an idle connection cannot be used; "" if it can.

        An idle connection must have nothing to read. Readable data is either
        the end of the stream or a reply without a request.
        """
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return "closed or sent unexpected data" if poll.poll(0) else ""

    def write_request(
        self,
        method: str,
        path: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> None:
        """Writes a request.

        Nothing is written if the request is invalid.

        Args:
          method: HTTP method.
          path: Path on the target.
          headers: HTTP headers.
          body: Body, or None for a request without one.
          timeout_s: Timeout of the write and of each read of the reply.

        Raises:
          InvalidRequestError: A header or the path is invalid.
          OSError: The connection failed or the write timed out.
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
        """Buffers a part of the request; called by urllib3."""
        self._request_parts.append(data)

    def read_reply(
        self, limit: int
    ) -> tuple[urllib3.response.HTTPResponse, bytes]:
        """Reads the reply and its whole body.

        Args:
          limit: Longest body allowed, bytes.

        Raises:
          IncompleteReplyError: The body is truncated or longer than ``limit``.
          TimeoutError: A read timed out.
          http.client.HTTPException: The reply is not HTTP.
          OSError: The connection failed before the reply.
        """
        response = self.getresponse()
        try:
            body = response.read(limit + 1)
        except urllib3.exceptions.ReadTimeoutError as error:
            raise TimeoutError(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise IncompleteReplyError(str(error)) from error
        if len(body) > limit:
            raise IncompleteReplyError(
                f"body of the reply is longer than {limit} bytes"
            )
        if response.length_remaining:
            raise IncompleteReplyError(
                f"body of the reply lacks {response.length_remaining} bytes"
            )
        return response, body


class TargetConnectionPool:
    """A bounded pool of connections to one target. Thread-safe.

    Connections in use count towards the limit, so that new connections never
    exceed it after it was lowered. The most recently used connection is reused
    first, so that surplus connections stay idle until the target closes them.

    Args:
      address: address:port of the target.
      source_ip: IP address to connect from.
      limit: Largest number of open connections.
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
        """Number of connections in use or idle."""
        return self._open

    def set_limit(self, limit: int) -> None:
        """Sets the limit; closes idle connections above it."""
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
        """Returns an idle connection, or a new one that is not open yet.

        An idle connection that the target has closed, or on which it has sent
        unexpected data, is discarded.

        Raises:
          PoolExhaustedError: No connection became free within ``timeout_s``
            seconds.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            connection = self._acquire_any(deadline)
            if connection.is_closed or not connection.find_staleness():
                return connection
            self.discard(connection)

    def release_connection(self, connection: Connection) -> None:
        """Returns a connection to the pool; its last reply must be read."""
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
        """Closes a connection and removes it from the pool."""
        connection.close()
        with self._condition:
            self._open -= 1
            self._condition.notify()

    def close_all(self) -> None:
        """Closes idle connections now and those in use on their release.

        Later calls of ``acquire_connection`` open new connections.
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
