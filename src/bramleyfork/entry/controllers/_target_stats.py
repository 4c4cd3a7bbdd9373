"""What a host has seen of each target that it sends to."""

from bramleyfork.entry import declarations

_LATENCY_WEIGHT = 0.2  # Weight of the newest latency in the moving average.
_FAULT_WEIGHT = 0.15  # Weight of the newest outcome in the fault rate.
# A target that leaves attempts unanswered for this long, without a reply to
# any other, is taken to be gone. Longer than the pauses that targets make.
_SILENCE_S = 0.6
_SILENT_ATTEMPTS = 3


class TargetStats:
    """Latency, faults and unanswered attempts of one target.

    Attributes:
      latency_s: Moving average of its latency; None without samples.
      latency_at: Monotonic time of the last sample.
      fault_rate: Moving average of failed attempts, 0 to 1.
      sent_at: Times of unanswered attempts by number, oldest first.
    """

    __slots__ = (
        "latency_s",
        "latency_at",
        "fault_rate",
        "sent_at",
        "_silent_since",
        "_silent_attempts",
    )

    def __init__(self):
        self.latency_s: float | None = None
        self.latency_at = 0.0
        self.fault_rate = 0.0
        self.sent_at: dict[int, float] = {}
        self._silent_since: float | None = None
        self._silent_attempts = 0

    def record_sent(
        self, attempt: int, now: float, *, is_carried: bool = False
    ) -> None:
        """Notes an attempt.

        The silence of one that another host makes may be that host's.
        """
        self.sent_at[attempt] = now
        if is_carried:
            return
        if self._silent_since is None:
            self._silent_since = now
        self._silent_attempts += 1

    def record_reply(self, attempt: int, now: float, *, is_good: bool) -> None:
        """Notes a reply, good or a failure."""
        sent = self.sent_at.pop(attempt, now)
        self._silent_since = None
        self._silent_attempts = 0
        self.fault_rate += _FAULT_WEIGHT * ((not is_good) - self.fault_rate)
        if not is_good:
            return
        self._add_latency(now - sent, now)

    def record_fault(self, attempt: int) -> None:
        """Notes an attempt that brought no reply."""
        self.sent_at.pop(attempt, None)
        self.fault_rate += _FAULT_WEIGHT * (1.0 - self.fault_rate)

    def record_aborted(self, attempt: int, now: float) -> None:
        """Notes an attempt that nobody waits for any longer.

        Its latency is at least its age, which counts if that is more than the
        average.
        """
        sent = self.sent_at.pop(attempt, None)
        if sent is not None and now - sent > (self.latency_s or 0.0):
            self._add_latency(now - sent, now)

    def is_silent(self, now: float) -> bool:
        """Returns whether the target seems to be gone."""
        return (
            self._silent_since is not None
            and self._silent_attempts >= _SILENT_ATTEMPTS
            and now - self._silent_since > _SILENCE_S
        )

    def find_oldest(self) -> float | None:
        """Returns when the oldest unanswered attempt was sent."""
        for sent in self.sent_at.values():
            return sent
        return None

    def _add_latency(self, latency_s: float, now: float) -> None:
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_at = now


class StatsTable:
    """Stats by target, forgotten when a target starts anew."""

    __slots__ = ("_stats",)

    def __init__(self):
        self._stats: dict[str, tuple[int, TargetStats]] = {}

    def find(self, target: declarations.ListedTarget) -> TargetStats:
        """Returns the stats of a target's process."""
        found = self._stats.get(target.target)
        if found is not None and found[0] == target.born_ms:
            return found[1]
        stats = TargetStats()
        self._stats[target.target] = (target.born_ms, stats)
        return stats

    def keep(self, targets: frozenset[str]) -> None:
        """Forgets targets that are no longer listed."""
        for target in [t for t in self._stats if t not in targets]:
            del self._stats[target]
