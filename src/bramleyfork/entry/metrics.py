"""Counters and latency histograms of a process."""

import bisect
import collections

# Upper bounds of the histogram buckets in seconds.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Histogram:
    """A histogram of durations.

    Attributes:
      counts: Observations by bucket; the last one is above all of BUCKETS.
      total: Number of observations.
      sum_s: Sum of the observations in seconds.
    """

    __slots__ = ("counts", "total", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Adds an observation."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += 1
        self.sum_s += seconds


class Metrics:
    """Counters and histograms of a process; a count costs one addition.

    Attributes:
      counters: Counts by name and label.
      histograms: Histograms by name.
    """

    __slots__ = ("counters", "histograms")

    def __init__(self):
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Adds one to a counter."""
        self.counters[name, label] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Adds an observation to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(seconds)
