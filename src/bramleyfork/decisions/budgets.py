"""Budgets that bound hedges and retries to a part of the traffic."""


class Budget:
    """Tokens earned by sub-requests and spent by extra attempts.

    Args:
      ratio: Tokens earned per sub-request, 0 to 1.
      reserve: Most tokens kept, and the tokens at start; lets a quiet host
        make a few extra attempts at once.
    """

    __slots__ = ("ratio", "reserve", "tokens")

    def __init__(self, *, ratio: float, reserve: float):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def earn(self, count: int = 1) -> None:
        """Adds the tokens of ``count`` sub-requests."""
        self.tokens = min(self.reserve, self.tokens + self.ratio * count)

    def try_withdraw(self) -> bool:
        """Takes one token; returns False when there is none or no ratio."""
        if self.ratio <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
