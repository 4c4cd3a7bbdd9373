"""Keeps this host's share of the limits that targets name."""

import math

from bramleyfork.core import blackboard
from bramleyfork.entry import declarations
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.decisions import observations as kinds
from bramleyfork.entry.decisions import pacing


class Pacing:
    """Tells when this host may send its next request to a target.

    All attempts are counted by the host that received the caller's request,
    whichever host sends them on.

    Args:
      host: Name of this host.
      known: Observations by kind and subject.
      limits: Knows the part of each limit that this host may use.
    """

    __slots__ = ("_host", "_known", "_limits", "_due_at", "_promised_at")

    def __init__(
        self,
        *,
        host: str,
        known: blackboard.Table,
        limits: _connection_limits.ConnectionLimits,
    ):
        self._host = host
        self._known = known
        self._limits = limits
        # Monotonic time at which the next request is due, by target and start
        # of its process.
        self._due_at: dict[tuple[str, int], float] = {}
        # Monotonic time up to which callers were told to come back.
        self._promised_at: dict[tuple[str, int], float] = {}

    def is_idle(self) -> bool:
        """Returns whether no target can name a limit, as nothing is known."""
        return not len(self._known)

    def is_limited(self, target: declarations.ListedTarget, now: float) -> bool:
        """Returns whether a target names a limit."""
        return self._find_share(target, now) is not None

    def find_delay(
        self, target: declarations.ListedTarget, now: float
    ) -> float:
        """Returns the seconds until a target may be sent a request.

        It is 0 for a target that may be sent one now, and infinite for one that
        takes none.
        """
        share = self._find_share(target, now)
        if share is None:
            return 0.0
        return pacing.find_delay(self._find_due(target, share, now), now, share)

    def record_sent(
        self, target: declarations.ListedTarget, now: float
    ) -> None:
        """Counts a request that is sent to a target."""
        share = self._find_share(target, now)
        if share is None:
            return
        due_at = self._find_due(target, share, now)
        self._due_at[_get_key(target)] = pacing.advance(due_at, now, share)

    def promise_slot(
        self, target: declarations.ListedTarget, now: float
    ) -> float:
        """Returns the seconds after which a refused caller should come back.

        Callers are told one slot of the target each, so that they don't come
        back together.
        """
        share = self._find_share(target, now)
        if share is None or math.isinf(share.interval_s):
            return 0.0
        key = _get_key(target)
        free_at = now + self.find_delay(target, now)
        promised_at = max(free_at, self._promised_at.get(key, 0.0))
        self._promised_at[key] = promised_at + share.interval_s
        return promised_at - now

    def keep(self, targets: frozenset[str]) -> None:
        """Forgets all targets but the given ids."""
        for times in (self._due_at, self._promised_at):
            for key in [key for key in times if key[0] not in targets]:
                del times[key]

    def _find_share(
        self, target: declarations.ListedTarget, now: float
    ) -> pacing.Share | None:
        if self.is_idle():
            return None
        latest = kinds.find_latest(
            self._known.get((kinds.RATE_LIMIT, target.target)),
            target.born_ms,
            now,
        )
        if latest is None or latest.value >= kinds.NO_LIMIT:
            return None
        return pacing.compute_share(
            latest.value, self._limits.compute_fraction(target.service)
        )

    def _find_due(
        self,
        target: declarations.ListedTarget,
        share: pacing.Share,
        now: float,
    ) -> float:
        key = _get_key(target)
        due_at = self._due_at.get(key)
        if due_at is None:
            due_at = pacing.find_first_due(
                target.target, self._host, now, share
            )
            self._due_at[key] = due_at
        return due_at


def _get_key(target: declarations.ListedTarget) -> tuple[str, int]:
    return target.target, target.born_ms
