"""JSON-line logging and the log of decisions."""

import collections
import json
import logging
import threading
import time
import typing

DECISIONS = "bramleyfork.decisions"  # Logger of routing and placement choices.

_RECENT_LIMIT = 500  # Decisions kept in memory for the administration pages.
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
        self._entries = collections.deque(maxlen=_RECENT_LIMIT)
        self._entries_lock = threading.Lock()

    def emit(self, record: logging.LogRecord) -> None:
        """Stores one decision."""
        with self._entries_lock:
            self._entries.append(build_entry(record))

    def list_entries(self) -> list[dict[str, typing.Any]]:
        """Returns the stored decisions, oldest first."""
        with self._entries_lock:
            return list(self._entries)


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
) -> RecentDecisions:
    """Sends all logs as JSON lines to ``stream``.

    Args:
      level: Name of the lowest level to write, such as "INFO".
      stream: Where the lines go.
      host: Name of this host, added to the first line.

    Returns:
      The handler that keeps recent decisions.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    recent = RecentDecisions()
    logging.getLogger(DECISIONS).addHandler(recent)
    logging.getLogger(__name__).info("logging started", extra={"host": host})
    return recent
