"""Statistics of each target, from the attempts of this host."""

from bramleyfork.entry import declarations

_LATENCY_WEIGHT = 0.2  # Weight of the newest latency in the moving average.
_FAULT_WEIGHT = 0.15  # Weight of the newest outcome in the fault rate.
# A target that leaves attempts unanswered for this long, without a reply to any
# other, is unresponsive. Targets pause for less time than that.
_UNRESPONSIVE_AFTER_S = 0.6
# Minimum number of attempts without a reply for it to be unresponsive.
_MIN_UNANSWERED_ATTEMPTS = 3


class TargetStats:
    """Latency, fault rate and unanswered attempts of one target.

    Attributes:
      latency_s: Moving average of the latency in seconds; None without samples.
      latency_at: Monotonic time of the last latency sample, in seconds.
      fault_rate: Moving average of the fraction of failed attempts, 0 to 1.
      sent_at: Monotonic send times of unanswered attempts by number, oldest
        first.
    """

    __slots__ = (
        "latency_s",
        "latency_at",
        "fault_rate",
        "sent_at",
        "_unanswered_since",
        "_unanswered_attempts",
    )

    def __init__(self):
        self.latency_s: float | None = None
        self.latency_at = 0.0
        self.fault_rate = 0.0
        self.sent_at: dict[int, float] = {}
        self._unanswered_since: float | None = None
        self._unanswered_attempts = 0

    def record_sent(
        self, attempt: int, now: float, *, is_carried: bool = False
    ) -> None:
        """Records a sent attempt.

        An attempt through a carrier doesn't count for ``is_unresponsive``, as a
        missing reply may be the carrier's fault.
        """
        self.sent_at[attempt] = now
        if is_carried:
            return
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._unanswered_attempts += 1

    def record_reply(self, attempt: int, now: float, *, is_good: bool) -> None:
        """Records a complete reply, successful or a failure."""
        sent = self.sent_at.pop(attempt, now)
        self._unanswered_since = None
        self._unanswered_attempts = 0
        self.fault_rate += _FAULT_WEIGHT * ((not is_good) - self.fault_rate)
        if not is_good:
            return
        self._add_latency(now - sent, now)

    def record_fault(self, attempt: int) -> None:
        """Records an attempt that failed without a complete reply."""
        self.sent_at.pop(attempt, None)
        self.fault_rate += _FAULT_WEIGHT * (1.0 - self.fault_rate)

    def record_aborted(self, attempt: int, now: float) -> None:
        """Records an aborted attempt.

        Its age is a lower bound of its latency, and is used as a sample if it
        exceeds the average.
        """
        sent = self.sent_at.pop(attempt, None)
        if sent is not None and now - sent > (self.latency_s or 0.0):
            self._add_latency(now - sent, now)

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether the target is unresponsive."""
        return (
            self._unanswered_since is not None
            and self._unanswered_attempts >= _MIN_UNANSWERED_ATTEMPTS
            and now - self._unanswered_since > _UNRESPONSIVE_AFTER_S
        )

    def find_oldest(self) -> float | None:
        """Returns the send time of the oldest unanswered attempt, or None."""
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
    """Statistics by target, discarded when a target restarts."""

    __slots__ = ("_stats",)

    def __init__(self):
        self._stats: dict[str, tuple[int, TargetStats]] = {}

    def find(self, target: declarations.ListedTarget) -> TargetStats:
        """Returns the statistics of a target since its last start."""
        found = self._stats.get(target.target)
        if found is not None and found[0] == target.born_ms:
            return found[1]
        stats = TargetStats()
        self._stats[target.target] = (target.born_ms, stats)
        return stats

    def keep(self, targets: frozenset[str]) -> None:
        """Discards the statistics of all targets but the given ids."""
        for target in [t for t in self._stats if t not in targets]:
            del self._stats[target]
