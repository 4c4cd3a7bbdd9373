"""Shares the turns of the event loop between connections."""

import asyncio
import collections
import typing

# Interval between two turns of costly connections. Each turn reads a bounded
# number of bytes, so that other connections wait for one such read at most.
_TURN_INTERVAL_S = 0.001


class CostlyConnection(typing.Protocol):
    """A connection whose bytes take long to parse."""

    def resume_reading(self) -> None:
        """Continues to read; does nothing on a connection that has ended."""


class TurnQueue:
    """Lets costly connections read one after the other.

    A request of very small chunks or fields takes much time for each byte. A
    connection with one is paused after each read until its next turn.
    """

    __slots__ = ("_waiting", "_is_scheduled")

    def __init__(self):
        self._waiting: collections.deque[CostlyConnection] = collections.deque()
        self._is_scheduled = False

    def add(
        self, connection: CostlyConnection, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Queues a connection that has paused reading."""
        self._waiting.append(connection)
        self._schedule(loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_later(_TURN_INTERVAL_S, self._run_turn, loop)

    def _run_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._waiting.popleft().resume_reading()
        if self._waiting:
            self._schedule(loop)
