"""The controller that quarantines requests that may crash targets.

Requests are identified by fingerprint. One that was in flight when a target
died is suspect and runs exclusively. It is refused if it then kills another
target while it is the only request in flight.
"""

import collections.abc
import heapq
import logging
import typing

from bramleyfork.core import controllers
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.core import messages
from bramleyfork.core import registries
from bramleyfork.decisions import quarantine

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

Handler = collections.abc.Callable[["QuarantineController", typing.Any], None]

# Handlers of the records in the section suspicions, by class name.
HANDLERS: registries.Registry[Handler] = registries.Registry(kind="suspicion")


@controllers.register(
    "quarantine",
    reads=("suspicions", "peer_control"),
    writes=("quarantine", "quarantine_out"),
)
class QuarantineController(controllers.Controller):
    """Writes fleet.QuarantineEntry by fingerprint and notifies the peers."""

    __slots__ = ("_expiry_heap", "_now")

    def start(self) -> None:
        """Sets the initial state."""
        # Heap of (expiry, fingerprint). An item is stale and skipped if the
        # entry was removed or has another expiry time.
        self._expiry_heap: list[tuple[float, str]] = []
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Removes expired entries, then handles suspicions and notices.

        Returns:
          The earliest expiry, monotonic seconds, or None without entries.
        """
        self._now = now
        self._remove_expired()
        for suspicion in self.read_new_records("suspicions"):
            HANDLERS.find(type(suspicion).__name__)(self, suspicion)
        for received in self.read_new_records("peer_control"):
            if isinstance(received.message, messages.QuarantineNotice):
                self._handle_notice(received)
        self._enforce_limit()
        return self._expiry_heap[0][0] if self._expiry_heap else None

    @HANDLERS.register("TargetDeath")
    def _handle_death(self, death: fleet.TargetDeath) -> None:
        for fingerprint in death.fingerprints:
            before = self.get_table("quarantine").get(fingerprint)
            entry = quarantine.record_death(
                before, death, fingerprint, self._now
            )
            if entry is before:
                continue
            self._put(entry, death.target)
            self.get_writer("quarantine_out").append(
                quarantine.build_notice(entry, self._now)
            )

    @HANDLERS.register("SuspectCleared")
    def _handle_clearance(self, cleared: fleet.SuspectCleared) -> None:
        before = self.get_table("quarantine").get(cleared.fingerprint)
        if before is None or quarantine.clear(before) is not None:
            return
        self._remove(cleared.fingerprint, cleared.target)
        self.get_writer("quarantine_out").append(
            quarantine.build_clearance(cleared.fingerprint)
        )

    def _handle_notice(self, received: messages.Received) -> None:
        notice = received.message
        before = self.get_table("quarantine").get(notice.fingerprint)
        entry = quarantine.merge_notice(before, notice, self._now)
        if entry == before:
            return
        if entry is None:
            self._remove(notice.fingerprint, received.sender)
            return
        self._put(entry, received.sender)

    def _put(self, entry: fleet.QuarantineEntry, source: str) -> None:
        before = self.get_table("quarantine").get(entry.fingerprint)
        self.get_writer("quarantine").put(entry.fingerprint, entry)
        if before is None or before.until != entry.until:
            heapq.heappush(self._expiry_heap, (entry.until, entry.fingerprint))
        if before is None or before.level != entry.level:
            _log_change(entry.fingerprint, entry.level, source, entry.targets)

    def _remove(self, fingerprint: str, source: str) -> None:
        self.get_writer("quarantine").remove(fingerprint)
        _log_change(fingerprint, quarantine.CLEARED, source, ())

    def _remove_expired(self) -> None:
        while self._expiry_heap and self._expiry_heap[0][0] <= self._now:
            self._remove_earliest()

    def _enforce_limit(self) -> None:
        while len(self.get_table("quarantine")) > quarantine.ENTRY_LIMIT:
            self._remove_earliest()
        # Entries that were cleared or extended leave stale heap items.
        if len(self._expiry_heap) > 2 * quarantine.ENTRY_LIMIT:
            entries = self.get_table("quarantine").list_records()
            self._expiry_heap = [(e.until, e.fingerprint) for e in entries]
            heapq.heapify(self._expiry_heap)

    def _remove_earliest(self) -> None:
        """Removes the earliest heap item, and its entry if not stale."""
        until, fingerprint = heapq.heappop(self._expiry_heap)
        entry = self.get_table("quarantine").get(fingerprint)
        if entry is not None and entry.until == until:
            self.get_writer("quarantine").remove(fingerprint)


def _log_change(
    fingerprint: str, level: str, source: str, targets: tuple[str, ...]
) -> None:
    _DECISION_LOG.info(
        "quarantine changed",
        extra={
            "fingerprint": fingerprint,
            "level": level,
            "source": source,
            "targets": targets,
        },
    )
