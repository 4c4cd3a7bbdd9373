"""Sliding window over the recent latencies of a service or a target."""

import collections

_WINDOW = 256  # Samples; percentiles follow a load change in seconds.
_REFRESH = 16  # Samples between two updates of the percentiles.
_MEAN_WEIGHT = 0.1  # Weight of the newest sample in the moving average.


class LatencyWindow:
    """The most recent latency samples and their moving average.

    Attributes:
      mean_s: Exponentially weighted average in seconds; None without samples.
      count: Number of samples ever recorded.
    """

    __slots__ = ("mean_s", "count", "_samples", "_sorted")

    def __init__(self):
        self.mean_s: float | None = None
        self.count = 0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._sorted: list[float] = []

    def record(self, seconds: float) -> None:
        """Adds a sample in seconds.

        Percentiles are updated only every ``_REFRESH`` samples after the first
        few, to save sorting.
        """
        self._samples.append(seconds)
        self.count += 1
        if self.mean_s is None:
            self.mean_s = seconds
        else:
            self.mean_s += _MEAN_WEIGHT * (seconds - self.mean_s)
        if self.count % _REFRESH == 0 or self.count < _REFRESH:
            self._sorted = sorted(self._samples)

    def find_percentile(self, percentile: float) -> float | None:
        """Returns a percentile (0 to 100) in seconds; None without samples."""
        if not self._sorted:
            return None
        index = int(len(self._sorted) * percentile / 100)
        return self._sorted[min(index, len(self._sorted) - 1)]
