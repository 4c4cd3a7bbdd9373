"""The controller that keeps requests away from targets they may crash."""

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

# What to do with each kind of suspicion, by class name.
HANDLERS: registries.Registry[Handler] = registries.Registry(kind="suspicion")


@controllers.register(
    "quarantine",
    reads=("suspicions", "peer_control"),
    writes=("quarantine", "quarantine_out"),
)
class QuarantineController(controllers.Controller):
    """Writes fleet.QuarantineEntry by fingerprint and tells the peers."""

    __slots__ = ("_ends", "_now")

    def start(self) -> None:
        """Sets up state before the first step."""
        # Ends of entries, earliest first; outdated ones are skipped.
        self._ends: list[tuple[float, str]] = []
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Handles suspicions and notices, then drops ended entries."""
        self._now = now
        self._drop_ended()
        for suspicion in self.read_new_records("suspicions"):
            HANDLERS.find(type(suspicion).__name__)(self, suspicion)
        for received in self.read_new_records("peer_control"):
            if isinstance(received.message, messages.QuarantineNotice):
                self._take_notice(received)
        self._drop_excess()
        return self._ends[0][0] if self._ends else None

    @HANDLERS.register("TargetDeath")
    def _take_death(self, death: fleet.TargetDeath) -> None:
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
    def _take_clearance(self, cleared: fleet.SuspectCleared) -> None:
        before = self.get_table("quarantine").get(cleared.fingerprint)
        if before is None or quarantine.clear(before) is not None:
            return
        self._remove(cleared.fingerprint, cleared.target)
        self.get_writer("quarantine_out").append(
            quarantine.build_clearance(cleared.fingerprint)
        )

    def _take_notice(self, received: messages.Received) -> None:
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
            heapq.heappush(self._ends, (entry.until, entry.fingerprint))
        if before is None or before.level != entry.level:
            _log_change(entry.fingerprint, entry.level, source, entry.targets)

    def _remove(self, fingerprint: str, source: str) -> None:
        self.get_writer("quarantine").remove(fingerprint)
        _log_change(fingerprint, quarantine.CLEARED, source, ())

    def _drop_ended(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            self._drop_first()

    def _drop_excess(self) -> None:
        while len(self.get_table("quarantine")) > quarantine.ENTRY_LIMIT:
            self._drop_first()
        # Entries that were cleared or prolonged leave their ends behind.
        if len(self._ends) > 2 * quarantine.ENTRY_LIMIT:
            entries = self.get_table("quarantine").list_records()
            self._ends = [(e.until, e.fingerprint) for e in entries]
            heapq.heapify(self._ends)

    def _drop_first(self) -> None:
        until, fingerprint = heapq.heappop(self._ends)
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
