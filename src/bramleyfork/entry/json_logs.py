"""Writes logs as JSON lines without blocking the event loop."""

import collections
import json
import logging
import os
import time

_FLUSH_S = 0.2  # Interval at which queued lines are written together.
_LINE_LIMIT = 4000  # Maximum of queued lines; more are dropped and counted.
_CHUNK_BYTES = 60_000
# Lines below WARNING that are written per second, so that a host that answers a
# thousand requests per second still spends little time on its log.
_RATE_LIMIT = 400
# Lines with the same message that are written per second even above that limit,
# so that many lines with one message don't hide a change of the host's state.
_MESSAGE_RATE_LIMIT = 20
_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})).keys() | {"message", "asctime", "taskName"}
)


class LineHandler(logging.Handler):
    """Queues lines and writes them to a descriptor without blocking.

    Attributes:
      dropped: Number of lines dropped since the last "lines dropped" line.
    """

    def __init__(self, *, descriptor: int, host: str):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._host = host
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._second = 0
        self._count_in_second = 0
        self._count_by_message: collections.Counter[str] = collections.Counter()
        self._loop = None
        self._timer = None

    def attach(self, loop) -> None:
        """Schedules writes on an event loop, at most one per _FLUSH_S."""
        os.set_blocking(self._descriptor, False)
        self._loop = loop
        self._schedule_flush()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it above the limits on queue and rate."""
        if len(self._lines) >= _LINE_LIMIT or self._is_over_rate(record):
            self.dropped += 1
            return
        self._lines.append(self._encode(record))
        if self._loop is not None:
            self._schedule_flush()

    def _is_over_rate(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return False
        second = int(record.created)
        if second != self._second:
            self._second, self._count_in_second = second, 0
            self._count_by_message.clear()
        self._count_in_second += 1
        self._count_by_message[record.msg] += 1
        return (
            self._count_in_second > _RATE_LIMIT
            and self._count_by_message[record.msg] > _MESSAGE_RATE_LIMIT
        )

    def flush(self) -> None:
        """Writes queued lines until the descriptor would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._pop_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log has closed its end.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _pop_chunk(self) -> bytes:
        chunk = []
        size = 0
        while self._lines and size < _CHUNK_BYTES:
            line = self._lines.popleft()
            size += len(line)
            chunk.append(line)
        if self.dropped:
            chunk.append(
                json.dumps(
                    {"message": "lines dropped", "count": self.dropped}
                ).encode()
                + b"\n"
            )
            self.dropped = 0
        return b"".join(chunk)

    def _schedule_flush(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_S, self._flush_due)

    def _flush_due(self) -> None:
        self._timer = None
        self.flush()
        if self._unwritten or self._lines:
            self._schedule_flush()

    def _encode(self, record: logging.LogRecord) -> bytes:
        entry = {
            "time": round(time.time(), 3),
            "level": record.levelname,
            "host": self._host,
            "message": record.getMessage(),
        }
        for name, value in record.__dict__.items():
            if name not in _STANDARD_FIELDS:
                entry[name] = value
        if record.exc_info:
            entry["exception"] = logging.Formatter().formatException(
                record.exc_info
            )
        return json.dumps(entry, default=str).encode() + b"\n"


def set_up_logging(*, level: str, descriptor: int, host: str) -> LineHandler:
    """Writes all logs as JSON lines to a descriptor; returns the handler.

    Args:
      level: Lowest level of lines that are written.
      descriptor: File descriptor to write to.
      host: Name of this host, a field of each line.
    """
    handler = LineHandler(descriptor=descriptor, host=host)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Skips the lookup of record fields that no line contains.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    return handler
