"""JSON-line logging and the log of decisions."""

import atexit
import collections
import json
import logging
import logging.handlers
import queue
import time
import typing

# Logger of routing and placement choices.
DECISION_LOGGER = "bramleyfork.decisions"

_RECENT_LIMIT = 500  # Decisions kept in memory for the administration pages.
# Lines that wait to be written. More are dropped and counted, so that a slow
# reader of the log neither stops the request path nor fills the memory.
_QUEUE_LIMIT = 10_000
_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})).keys() | {"message", "asctime"}
)


class JsonFormatter(logging.Formatter):
    """Formats a log record and its extra fields as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        return json.dumps(build_entry(record), default=str)


class RecentDecisions(logging.Handler):
    """Keeps the latest decisions in memory."""

    def __init__(self):
        super().__init__()
        self._records: collections.deque[logging.LogRecord] = collections.deque(
            maxlen=_RECENT_LIMIT
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Stores one decision."""
        self._records.append(record)

    def list_entries(self) -> list[dict[str, typing.Any]]:
        """Returns the stored decisions, oldest first."""
        return [build_entry(record) for record in self._records.copy()]


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hands records to the thread that writes them; drops what exceeds.

    Attributes:
      counters: Number of dropped lines, for the instruments.
    """

    def __init__(self, limit: int = _QUEUE_LIMIT):
        super().__init__(queue.SimpleQueue())
        self.set_name("log")
        self.counters = {"dropped_lines": 0}
        self._limit = limit

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record as it is, as it stays within the process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record unless too many wait."""
        if self.queue.qsize() >= self._limit:
            self.counters["dropped_lines"] += 1
            return
        self.queue.put_nowait(record)


class LogHandlers:
    """The handlers of a process that others read from.

    Attributes:
      recent: Keeps recent decisions.
      queue: Hands lines to the writing thread.
    """

    __slots__ = ("recent", "queue")

    def __init__(self, *, recent: RecentDecisions, queue: BoundedQueueHandler):
        self.recent = recent
        self.queue = queue


def build_entry(record: logging.LogRecord) -> dict[str, typing.Any]:
    """Returns a log record and its extra fields as a mapping."""
    entry = {
        "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        + f".{int(record.msecs):03d}Z",
        "level": record.levelname,
        "logger": record.name,
        "message": record.getMessage(),
    }
    for name, value in vars(record).items():
        if name not in _STANDARD_FIELDS:
            entry[name] = value
    if record.exc_info:
        entry["exception"] = logging.Formatter().formatException(
            record.exc_info
        )
    return entry


def set_up_logging(
    *, level: str, stream: typing.TextIO, host: str
) -> LogHandlers:
    """Sends all logs as JSON lines to ``stream`` from a thread of its own.

    Lines that wait when the process exits are still written.

    Args:
      level: Name of the lowest level to write, such as "INFO".
      stream: Where the lines go.
      host: Name of this host, added to the first line.
    """
    writer = logging.StreamHandler(stream)
    writer.setFormatter(JsonFormatter())
    handlers = LogHandlers(
        recent=RecentDecisions(), queue=BoundedQueueHandler()
    )
    listener = logging.handlers.QueueListener(handlers.queue.queue, writer)
    listener.start()
    atexit.register(listener.stop)
    root = logging.getLogger()
    root.handlers[:] = [handlers.queue]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger(DECISION_LOGGER).addHandler(handlers.recent)
    logging.getLogger(__name__).info("logging started", extra={"host": host})
    return handlers
