"""Retry budget: limits the extra attempts of this host at a service."""

import collections

_BUCKET_S = 0.5  # Resolution of the sliding window.


class RetryBudget:
    """Limits extra attempts to a ratio of the requests in a sliding window.

    Each host applies the ratio to its own requests and adds its fixed share of
    the slack. The sum over all hosts therefore stays within the service's
    budget, even if the hosts disagree on which hosts there are.

    Args:
      ratio: Extra attempts per request, 0 to 1.
      slack: This host's share of the extra attempts per window that are
        allowed on top of the ratio.
      window_s: Length of the window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s", "_buckets", "requests", "extras")

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._buckets: collections.deque[list] = collections.deque()
        self.requests = 0
        self.extras = 0

    def record_request(self, now: float) -> None:
        """Counts a request for the service."""
        self._find_bucket(now)[1] += 1
        self.requests += 1

    def try_withdraw(self, now: float) -> bool:
        """Uses up one extra attempt; returns False if none is left."""
        bucket = self._find_bucket(now)
        allowed = self.ratio * self.requests + self.slack
        if self.extras + 1 > allowed:
            return False
        bucket[2] += 1
        self.extras += 1
        return True

    def _find_bucket(self, now: float) -> list:
        buckets = self._buckets
        while buckets and buckets[0][0] < now - self.window_s - _BUCKET_S:
            _, requests, extras = buckets.popleft()
            self.requests -= requests
            self.extras -= extras
        if not buckets or now >= buckets[-1][0] + _BUCKET_S:
            buckets.append([now, 0, 0])
        return buckets[-1]
