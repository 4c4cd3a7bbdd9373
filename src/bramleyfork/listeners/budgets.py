"""The budget of what connections make a process hold.

All listeners of a process share one budget. It is used from the threads of all
event loops.
"""

import asyncio
import collections
import collections.abc
import logging
import resource
import threading
import typing

from bramleyfork.listeners import evictions

_LOG = logging.getLogger(__name__)

# Memory of a host whose settings don't say otherwise.
DEFAULT_MEMORY_BYTES = 200 * 1000 * 1000
# Memory of a process without connections, and room for the state of a fleet.
_BASE_MEMORY_BYTES = 60 * 1000 * 1000
# Resident bytes per counted byte: copies that exist for a moment, and what the
# allocator can't return.
_RESIDENT_BYTES_PER_BYTE = 2
_MIN_MEMORY_BYTES = 16 * 1024 * 1024
_MAX_DESCRIPTORS = 1024 * 1024  # Where the operating system sets no limit.
# Share of the descriptors that clients may use. The others are for targets,
# hosts, listeners and files.
_CLIENT_DESCRIPTOR_SHARE = 0.5
# A connection that holds more than this is large.
SMALL_BYTES = 64 * 1024
# Share of the memory for large connections; the rest is kept for small ones.
_LARGE_SHARE = 0.5
# An exhausted budget is relieved down to this share of its limit at once, so
# that the connections aren't ordered again for each byte.
_RELIEF_SHARE = 0.875
_LOG_INTERVAL_S = 1.0


class Account:
    """What one connection holds.

    Attributes:
      opened_at: Monotonic time at which the connection was opened.
      progress_at: Monotonic time at which it last made progress.
      held_bytes: Memory that it makes the process hold.
      is_idle: Whether no part of a request or response is on its way.
      is_working: Whether the process has a request of it to answer, so that it
        isn't closed for lack of room.
    """

    __slots__ = (
        "opened_at",
        "progress_at",
        "held_bytes",
        "is_idle",
        "is_working",
        "_budget",
        "_evict",
        "_loop",
        "_thread",
    )

    def __init__(
        self,
        *,
        budget: "ConnectionBudget",
        evict: collections.abc.Callable[[], None],
        loop: asyncio.AbstractEventLoop,
        now: float,
    ):
        self.opened_at = now
        self.progress_at = now
        self.held_bytes = 0
        self.is_idle = True
        self.is_working = False
        self._budget = budget
        self._evict = evict
        self._loop = loop
        self._thread = threading.get_ident()

    def hold(self, count: int, now: float) -> None:
        """Sets how many bytes the connection holds.

        This and other connections may be evicted during the call.

        Args:
          count: Number of bytes.
          now: Monotonic time in seconds.
        """
        if count != self.held_bytes:
            self._budget.set_held(self, count, now)

    def admit(self, now: float) -> None:
        """Counts the new connection against the limit of connections.

        This and other connections may be evicted during the call.

        Args:
          now: Monotonic time in seconds.
        """
        self._budget.admit(now)

    def close(self) -> None:
        """Removes the connection, which has ended, from the budget."""
        self._budget.remove(self)

    def evict(self) -> None:
        """Closes the connection, on the thread of its event loop."""
        if self._thread == threading.get_ident():
            self._evict()
            return
        self._loop.call_soon_threadsafe(self._evict)


class ConnectionBudget:
    """Bounds the connections of clients and what they make a process hold.

    Large connections may use a share of the memory only, so that small requests
    always have room.

    Args:
      memory_bytes: Memory for all connections and incomplete responses.
      connection_limit: Maximum number of connections of clients.

    Attributes:
      memory_bytes: Memory for all connections and incomplete responses.
      connection_limit: Maximum number of connections of clients.
      counters: Evicted connections by reason: "memory" or "descriptors".
    """

    __slots__ = (
        "memory_bytes",
        "connection_limit",
        "counters",
        "_lock",
        "_accounts",
        "_large_bytes",
        "_held_bytes",
        "_logged_at",
    )

    def __init__(self, *, memory_bytes: int, connection_limit: int):
        self.memory_bytes = memory_bytes
        self.connection_limit = connection_limit
        self.counters: collections.Counter[str] = collections.Counter()
        # Reentrant, as an evicted connection changes its account.
        self._lock = threading.RLock()
        self._accounts: set[Account] = set()
        self._large_bytes = 0
        self._held_bytes = 0
        self._logged_at = 0.0

    @property
    def held_bytes(self) -> int:
        """Memory that connections and incomplete responses hold."""
        return self._held_bytes

    @property
    def connection_count(self) -> int:
        """Number of open connections of clients."""
        return len(self._accounts)

    def open_account(
        self,
        *,
        evict: collections.abc.Callable[[], None],
        loop: asyncio.AbstractEventLoop,
        now: float,
    ) -> Account:
        """Returns the account of a new connection, to be admitted next.

        Args:
          evict: Closes the connection; called on the current thread, on which
            its event loop runs.
          loop: The event loop.
          now: Monotonic time in seconds.
        """
        account = Account(budget=self, evict=evict, loop=loop, now=now)
        with self._lock:
            self._accounts.add(account)
        return account

    def admit(self, now: float) -> None:
        """Bounds the number of connections; see ``Account.admit``."""
        with self._lock:
            if len(self._accounts) > self.connection_limit:
                self._relieve_descriptors(now)

    def remove(self, account: Account) -> None:
        """Removes an account, if it has not been removed yet."""
        with self._lock:
            if account not in self._accounts:
                return
            self._accounts.remove(account)
            self._add(account, -account.held_bytes)

    def set_held(self, account: Account, count: int, now: float) -> None:
        """Sets how many bytes an account holds; see ``Account.hold``."""
        with self._lock:
            if account not in self._accounts:
                return
            self._add(account, count - account.held_bytes)
            self._relieve_memory(now)

    def reserve(self, count: int, now: float) -> None:
        """Counts bytes of a response that a target or a host is sending."""
        with self._lock:
            self._held_bytes += count
            self._relieve_memory(now)

    def release(self, count: int) -> None:
        """Releases bytes that were reserved before."""
        with self._lock:
            self._held_bytes -= count

    def _add(self, account: Account, count: int) -> None:
        if account.held_bytes > SMALL_BYTES:
            self._large_bytes -= account.held_bytes
        account.held_bytes += count
        if account.held_bytes > SMALL_BYTES:
            self._large_bytes += account.held_bytes
        self._held_bytes += count

    def _relieve_memory(self, now: float) -> None:
        large_limit = int(self.memory_bytes * _LARGE_SHARE)
        if self._large_bytes > large_limit:
            self._evict(
                now,
                reason="memory",
                is_candidate=lambda a: a.held_bytes > SMALL_BYTES,
                is_relieved=lambda: (
                    self._large_bytes <= large_limit * _RELIEF_SHARE
                ),
            )
        if self._held_bytes > self.memory_bytes:
            self._evict(
                now,
                reason="memory",
                is_candidate=lambda a: a.held_bytes > 0,
                is_relieved=lambda: (
                    self._held_bytes <= self.memory_bytes * _RELIEF_SHARE
                ),
            )

    def _relieve_descriptors(self, now: float) -> None:
        self._evict(
            now,
            reason="descriptors",
            is_candidate=lambda _: True,
            is_relieved=lambda: len(self._accounts) <= self.connection_limit,
        )

    def _evict(
        self,
        now: float,
        *,
        reason: str,
        is_candidate: collections.abc.Callable[[Account], bool],
        is_relieved: collections.abc.Callable[[], bool],
    ) -> None:
        candidates = [
            account
            for account in self._accounts
            if not account.is_working and is_candidate(account)
        ]
        count = 0
        for account in evictions.order_victims(candidates, now):
            if is_relieved():
                break
            self.remove(account)
            account.evict()
            count += 1
        self.counters[reason] += count
        if count and now >= self._logged_at + _LOG_INTERVAL_S:
            self._logged_at = now
            _LOG.warning("connections evicted", extra=self._describe(reason))

    def _describe(self, reason: str) -> dict[str, typing.Any]:
        return {
            "reason": reason,
            "evicted": self.counters[reason],
            "connections": len(self._accounts),
            "connection_limit": self.connection_limit,
            "held_bytes": self._held_bytes,
            "large_bytes": self._large_bytes,
            "memory_bytes": self.memory_bytes,
        }


def build_budget(
    *,
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
    descriptors: int | None = None,
) -> ConnectionBudget:
    """Returns the budget of a process.

    Args:
      memory_bytes: Memory that the process may use in all.
      descriptors: Number of descriptors that it may open; None for the limit
        of the operating system.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = _MAX_DESCRIPTORS
    descriptors = min(descriptors or limit, limit)
    return ConnectionBudget(
        memory_bytes=max(
            _MIN_MEMORY_BYTES,
            (memory_bytes - _BASE_MEMORY_BYTES) // _RESIDENT_BYTES_PER_BYTE,
        ),
        connection_limit=max(1, int(descriptors * _CLIENT_DESCRIPTOR_SHARE)),
    )
