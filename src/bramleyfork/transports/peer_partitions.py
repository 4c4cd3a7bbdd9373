"""Network partitions between hosts that tests inject through a file."""

import logging
import os

_LOG = logging.getLogger(__name__)

_CHECK_PERIOD_S = 0.1
# Whether outgoing and incoming messages are blocked.
_DIRECTIONS = {
    "out": (True, False),
    "in": (False, True),
    "both": (True, True),
}


class InjectedPartitions:
    """Hosts to and from which traffic is blocked, as listed in a file.

    Each line is ``out NAME``, ``in NAME`` or ``both NAME``. Without a file
    nothing is blocked.

    Args:
      path: Path of the file, or None.
    """

    __slots__ = ("_path", "_checked_at", "_file_stamp", "_out", "_in")

    def __init__(self, *, path: str | None):
        self._path = path
        self._checked_at = float("-inf")
        self._file_stamp: tuple[int, int] | None = None
        self._out: frozenset[str] = frozenset()
        self._in: frozenset[str] = frozenset()

    def refresh(self, now: float) -> None:
        """Reads the file again if it has changed.

        The file is checked every 100 ms at most.

        Args:
          now: Current monotonic time, seconds.
        """
        if self._path is None or now - self._checked_at < _CHECK_PERIOD_S:
            return
        self._checked_at = now
        try:
            status = os.stat(self._path)
            stamp = (status.st_mtime_ns, status.st_size)
            if stamp != self._file_stamp:
                self._read()
            self._file_stamp = stamp
        except OSError:
            self._file_stamp, self._out, self._in = (
                None,
                frozenset(),
                frozenset(),
            )

    def blocks_outgoing(self, host: str) -> bool:
        """Returns whether messages to ``host`` are discarded."""
        return host in self._out

    def blocks_incoming(self, host: str) -> bool:
        """Returns whether messages from ``host`` are ignored."""
        return host in self._in

    def blocks_connecting(self, host: str) -> bool:
        """Returns whether no stream with ``host`` can be established."""
        return host in self._out or host in self._in

    def _read(self) -> None:
        outgoing, incoming = set(), set()
        with open(self._path, encoding="utf-8") as file:
            lines = [line.split() for line in file if line.strip()]
        for fields in lines:
            if len(fields) != 2 or fields[0] not in _DIRECTIONS:
                _LOG.warning(
                    "line of the cut file is not 'out NAME', 'in NAME' or"
                    " 'both NAME'",
                    extra={"file": self._path, "line": " ".join(fields)},
                )
                continue
            is_out, is_in = _DIRECTIONS[fields[0]]
            if is_out:
                outgoing.add(fields[1])
            if is_in:
                incoming.add(fields[1])
        self._out, self._in = frozenset(outgoing), frozenset(incoming)
        _LOG.info(
            "cut file read",
            extra={"out": sorted(outgoing), "in": sorted(incoming)},
        )
