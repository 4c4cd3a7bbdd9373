"""Token budget that limits hedges and retries to a fraction of the traffic."""


class Budget:
    """Retry budget: sub-requests add tokens, extra attempts use them up.

    Args:
      ratio: Tokens added per sub-request, 0 to 1.
      reserve: Maximum and initial number of tokens. Allows a host with little
        traffic to make a few extra attempts at once.
    """

    __slots__ = ("ratio", "reserve", "tokens")

    def __init__(self, *, ratio: float, reserve: float):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def earn(self, count: int = 1) -> None:
        """Adds the tokens for ``count`` sub-requests, up to the reserve."""
        self.tokens = min(self.reserve, self.tokens + self.ratio * count)

    def try_withdraw(self) -> bool:
        """Uses up one token; returns False if none is left or ratio is 0."""
        if self.ratio <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
