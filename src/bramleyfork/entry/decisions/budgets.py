"""Retry budget: limits the extra attempts of this host at a service."""

import collections

_BUCKET_S = 0.5  # Resolution of the sliding window.
# Number of different views of the fleet whose hosts may use the slack at the
# same time, such as the views before and after hosts are added.
_CONCURRENT_VIEWS = 2
# Minimum number of hosts that a view divides its part of the slack among. It
# limits the share of a host that has only heard of a few others so far.
_MIN_SHARING_HOSTS = 8


def compute_slack_share(
    slack: float, *, sending_hosts: int, knows_fleet: bool
) -> float:
    """Returns a host's share of the slack of a retry budget.

    Callers are sent only to the hosts that the directory lists, and hosts with
    the same view list the same ones. These divide a part of the slack among
    themselves, so the sum of the shares stays within the slack while as many
    views as there are parts are in use, whatever the size of the fleet. A host
    that has heard of no other host may be one of any number of such hosts, and
    its share is 0.

    Args:
      slack: Extra attempts per window, for all hosts together.
      sending_hosts: Number of hosts that send requests to the service, in the
        view of this host.
      knows_fleet: Whether this host has heard of another one, or is the only
        host of its fleet.
    """
    if not knows_fleet:
        return 0.0
    return slack / (_CONCURRENT_VIEWS * max(_MIN_SHARING_HOSTS, sending_hosts))


class RetryBudget:
    """Limits extra attempts to a ratio of the requests in a sliding window.

    Each host applies the ratio to its own requests and adds its fixed share of
    the slack, ``compute_slack_share``. The sum over all hosts therefore stays
    within the service's budget, even if the hosts disagree on which hosts there
    are.

    Args:
      ratio: Extra attempts per request, 0 to 1.
      window_s: Length of the window in seconds.
    """

    __slots__ = ("ratio", "window_s", "_buckets", "requests", "extras")

    def __init__(self, *, ratio: float, window_s: float):
        self.ratio = ratio
        self.window_s = window_s
        self._buckets: collections.deque[list] = collections.deque()
        self.requests = 0
        self.extras = 0

    def record_request(self, now: float) -> None:
        """Counts a request for the service."""
        self._find_bucket(now)[1] += 1
        self.requests += 1

    def try_withdraw(self, now: float, *, slack: float) -> bool:
        """Uses up one extra attempt; returns False if none is left.

        Args:
          now: Monotonic time in seconds.
          slack: This host's current share of the extra attempts per window that
            are allowed on top of the ratio.
        """
        bucket = self._find_bucket(now)
        allowed = self.ratio * self.requests + slack
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
