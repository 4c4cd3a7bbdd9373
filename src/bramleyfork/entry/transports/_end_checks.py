"""Finds out whether targets have ended that closed a connection in use.

Only the end of a target is evidence against the request that it ran. A lost
reply, a spoilt one and a reset are not.
"""

import asyncio
import collections.abc

from bramleyfork.entry.transports import _target_pools

# Time for which the report of an attempt waits for the check.
_CHECK_TIMEOUT_S = 0.05
# Targets that lose their connections within this time of each other lose them
# together.
_RESET_TOGETHER_S = 0.05

Address = tuple[str, int]


class EndChecks:
    """Checks of targets, at most one at a time for each.

    A check opens the connection that replaces the closed one. It ends when that
    has succeeded or failed, or after ``_CHECK_TIMEOUT_S``.

    Args:
      pools: All pools by the address of their target.
      open_connection: Opens a connection to an address for a pool.
      report: Called once per attempt with whether its target has ended.
    """

    __slots__ = ("_pools", "_open_connection", "_report")

    def __init__(
        self,
        *,
        pools: collections.abc.Mapping[Address, _target_pools.Pool],
        open_connection: collections.abc.Callable[
            [Address, _target_pools.Pool], None
        ],
        report: collections.abc.Callable[[_target_pools.Attempt, bool], None],
    ):
        self._pools = pools
        self._open_connection = open_connection
        self._report = report

    def start(self, attempt: _target_pools.Attempt) -> None:
        """Checks the target of an attempt whose connection has closed."""
        pool = attempt.pool
        pool.lost.append(attempt)
        if len(pool.lost) > 1:
            return
        pool.is_refused = False
        pool.check_timer = asyncio.get_running_loop().call_later(
            _CHECK_TIMEOUT_S,
            lambda: self._finish(pool, has_ended=pool.is_down()),
        )
        self._open_connection(attempt.send.target.address, pool)

    def record_connected(self, pool: _target_pools.Pool, now: float) -> None:
        """Records that the target has accepted a connection."""
        pool.is_refused = False
        self._finish(pool, has_ended=self._has_restarted(pool, now))

    def record_failure(
        self, pool: _target_pools.Pool, error: Exception
    ) -> None:
        """Records that a connection to the target could not be opened."""
        pool.is_refused = isinstance(error, ConnectionRefusedError)
        # The end of other connections may be read later.
        if not pool.is_refused or pool.is_down():
            self._finish(pool, has_ended=pool.is_down())

    def record_closed(self, pool: _target_pools.Pool) -> None:
        """Records that a connection to the target has closed."""
        if pool.is_down():
            self._finish(pool, has_ended=True)

    def _has_restarted(self, pool: _target_pools.Pool, now: float) -> bool:
        """Returns whether a target ended and listens again already.

        Connections to several targets that close at once were probably reset on
        their way.
        """
        return pool.has_lost_all(now) and not any(
            abs(other.lost_all_at - pool.lost_all_at) < _RESET_TOGETHER_S
            for other in self._pools.values()
            if other is not pool
        )

    def _finish(self, pool: _target_pools.Pool, *, has_ended: bool) -> None:
        if pool.check_timer is not None:
            pool.check_timer.cancel()
        lost, pool.lost = pool.lost, []
        for attempt in lost:
            # A target may end several responses with their connections at once,
            # so only its refusal shows that such a response isn't whole.
            is_whole = attempt.response is not None and not pool.is_down()
            self._report(attempt, has_ended and not is_whole)
