"""HTTP reads of the platform's service: values, watches and the target list."""

import collections.abc
import hashlib
import http.client
import logging
import socket
import threading
import typing

import urllib3
import urllib3.connection

from bramleyfork.codecs import listings
from bramleyfork.configuration import manifests
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import platform_calls
from bramleyfork.core import transports

_LOG = logging.getLogger(__name__)

# One byte above the limit, so that a body that is too large is detected.
_READ_LIMIT_BYTES = manifests.MAX_PART_BYTES + 1
_CHUNK_BYTES = 65536  # Read from the socket at once.
_CONNECT_TIMEOUT_S = 2.0
_WAKE_INTERVAL_S = 0.5  # Longest time until an idle worker notices a stop.
_HEADERS = {"Accept-Encoding": "identity"}
_LISTING_PURPOSE = "listing"
_READ_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class ReadError(Exception):
    """The platform's answer is late, too large or malformed."""


class ReadWorker:
    """A thread that executes one read at a time over one connection.

    Args:
      name: Name of the thread.
      cursor: Cursor over the log of requested reads.
      accepts: Returns whether a read is for this worker.
      connect: Returns a new connection that is not open yet.
      write: Called with each result.
      clock: Source of monotonic time.
    """

    __slots__ = (
        "_cursor",
        "_accepts",
        "_connection",
        "_socket",
        "_cached_listing",
        "_write",
        "_clock",
        "_stopped",
        "_thread",
    )

    def __init__(
        self,
        *,
        name: str,
        cursor: blackboard.Cursor,
        accepts: collections.abc.Callable[[platform_calls.PlatformRead], bool],
        connect: collections.abc.Callable[
            [], urllib3.connection.HTTPConnection
        ],
        write: collections.abc.Callable[[platform_calls.PlatformResult], None],
        clock: clocks.Clock,
    ):
        self._cursor = cursor
        self._accepts = accepts
        self._connection = connect()
        # The connection drops its reference to the socket before the body of
        # an answer without a length has been read.
        self._socket: socket.socket | None = None
        # SHA-256 digest and rows of the list that was read last.
        self._cached_listing: tuple[bytes, tuple[fleet.ListedTarget, ...]] = (
            b"",
            (),
        )
        self._write = write
        self._clock = clock
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def interrupt(self) -> None:
        """Aborts a read in progress; the thread then ends."""
        self._stopped.set()
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                _LOG.debug("platform connection was already closed")

    def join(self, timeout_s: float = 2.0) -> None:
        """Waits until the thread has ended, at most ``timeout_s`` seconds."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopped.is_set():
            read = self._cursor.wait_for_record(_WAKE_INTERVAL_S)
            if read is None or not self._accepts(read):
                continue
            result = self._execute_read(read)
            if not self._stopped.is_set():
                self._write(result)
        self._connection.close()

    def _execute_read(
        self, read: platform_calls.PlatformRead
    ) -> platform_calls.PlatformResult:
        sent_at = self._clock.read_monotonic()
        fields: dict[str, typing.Any] = {"status": 0}
        try:
            fields = self._execute_request(read, sent_at + read.timeout_s)
        except (ReadError, *_READ_ERRORS) as error:
            self._connection.close()
            fields["error"] = f"{type(error).__name__}: {error}"
        return platform_calls.PlatformResult(
            purpose=read.purpose,
            path=read.path,
            sent_at=sent_at,
            received_at=self._clock.read_monotonic(),
            **fields,
        )

    def _execute_request(
        self, read: platform_calls.PlatformRead, deadline: float
    ) -> dict[str, typing.Any]:
        connection = self._connection
        if not connection.is_connected:
            # The platform may have closed the connection since the last read.
            connection.close()
            connection.timeout = min(_CONNECT_TIMEOUT_S, read.timeout_s)
            connection.connect()
            self._socket = connection.sock
        connection.timeout = self._compute_remaining_s(deadline)
        connection.request(
            "GET", read.path, headers=_HEADERS, preload_content=False
        )
        response = connection.getresponse()
        body = self._read_body(response, deadline)
        fields = {
            "status": response.status,
            "etag": response.headers.get("ETag", ""),
        }
        if read.purpose != _LISTING_PURPOSE or response.status != 200:
            return fields | {"body": body}
        return fields | {"rows": self._decode_listing(body)}

    def _decode_listing(self, body: bytes) -> tuple[fleet.ListedTarget, ...]:
        """Returns the rows of the list, from the cache if it is unchanged.

        The list is read every second and seldom changes. Computing its digest
        takes a hundredth of the time of decoding it.
        """
        digest = hashlib.sha256(body).digest()
        if digest != self._cached_listing[0]:
            decoded = listings.decode_listing(body)
            if decoded.is_error():
                raise ReadError(decoded.error)
            self._cached_listing = (digest, decoded.ok)
        return self._cached_listing[1]

    def _read_body(
        self, response: urllib3.HTTPResponse, deadline: float
    ) -> bytes:
        body = bytearray()
        while len(body) < _READ_LIMIT_BYTES:
            self._socket.settimeout(self._compute_remaining_s(deadline))
            amount = min(_CHUNK_BYTES, _READ_LIMIT_BYTES - len(body))
            chunk = response.read1(amount, decode_content=False)
            if not chunk:
                return bytes(body)
            body += chunk
        raise ReadError(
            f"the body is larger than {_READ_LIMIT_BYTES - 1} bytes"
        )

    def _compute_remaining_s(self, deadline: float) -> float:
        remaining = deadline - self._clock.read_monotonic()
        if remaining <= 0:
            raise ReadError("the answer was not complete before the timeout")
        return remaining


def is_watch(read: platform_calls.PlatformRead) -> bool:
    """Returns whether a read waits at the platform for a change."""
    return read.path.startswith("/v1/watch/")


def is_immediate(read: platform_calls.PlatformRead) -> bool:
    """Returns whether the platform answers a read at once."""
    return not is_watch(read)


# Name, section of the requested reads, and filter of each worker. Each has its
# own thread, so that a waiting watch delays no other read.
_READ_WORKERS = (
    ("platform-watch", "platform_reads", is_watch),
    ("platform-values", "platform_reads", is_immediate),
    ("platform-listing", "listing_reads", is_immediate),
)


@transports.register("platform_transport")
class PlatformTransport(transports.Transport):
    """Executes each read that the controllers request, exactly once.

    It does not follow redirects, decode content encodings or retry; the
    controllers decide when to read again.
    """

    def __init__(self, **arguments: typing.Any):
        super().__init__(**arguments)
        writer = self.board.grant_writer("platform_results", self.name)
        # The cursors are opened before the start, so that reads requested
        # earlier are executed as well.
        self._workers = [
            ReadWorker(
                name=name,
                cursor=self.board.find_log(section).open_cursor(),
                accepts=accepts,
                connect=self._build_connection,
                write=writer.append,
                clock=self.clock,
            )
            for name, section, accepts in _READ_WORKERS
        ]

    def start(self) -> None:
        """Starts the workers; each connects at its first read."""
        for worker in self._workers:
            worker.start()

    def stop(self) -> None:
        """Aborts reads in progress and ends the workers."""
        for worker in self._workers:
            worker.interrupt()
        for worker in self._workers:
            worker.join()

    def _build_connection(self) -> urllib3.connection.HTTPConnection:
        host, _, port = self.settings.platform_address.rpartition(":")
        source, _, _ = self.settings.peer_address.rpartition(":")
        return urllib3.connection.HTTPConnection(
            host.strip("[]"),
            int(port),
            source_address=(source.strip("[]"), 0),
        )
