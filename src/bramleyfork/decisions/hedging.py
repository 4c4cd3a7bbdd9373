"""When a second attempt is made at a slow segment."""

from bramleyfork.decisions import latencies

# Below this number of samples a percentile says little.
_MIN_SAMPLES = 20
# A hedge sooner than this would race ordinary scheduling delays.
_MIN_DELAY_S = 0.005


def find_hedge_delay(
    window: latencies.LatencyWindow, percentile: float
) -> float | None:
    """Returns seconds after which to hedge, or None for never.

    Args:
      window: Recent latencies of the service.
      percentile: Latency percentile to wait for; 0 turns hedging off.
    """
    if percentile <= 0 or window.count < _MIN_SAMPLES:
        return None
    return max(_MIN_DELAY_S, window.find_percentile(percentile) or 0.0)
