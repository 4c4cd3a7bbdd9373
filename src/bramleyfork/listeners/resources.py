"""What the connections of one event loop share."""

from bramleyfork.listeners import budgets
from bramleyfork.listeners import turns

# Bytes that a connection reads in one turn of the event loop.
READ_BYTES = 16 * 1024


class LoopResources:
    """What the connections of one event loop share.

    Args:
      budget: Budget of the process.

    Attributes:
      budget: Budget of the process.
      turns: Queue of connections whose bytes take long to parse.
      read_buffer: Holds what a connection reads until it is parsed.
    """

    __slots__ = ("budget", "turns", "read_buffer")

    def __init__(self, *, budget: budgets.ConnectionBudget):
        self.budget = budget
        self.turns = turns.TurnQueue()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
