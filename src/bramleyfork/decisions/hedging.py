"""Computes after which delay a slow attempt is hedged."""

from bramleyfork.decisions import latencies

# With fewer samples a percentile is unreliable.
_MIN_SAMPLES = 20
# An earlier hedge would be triggered by ordinary scheduling delays.
_MIN_DELAY_S = 0.005


def find_hedge_delay(
    window: latencies.LatencyWindow, percentile: float
) -> float | None:
    """Returns the delay before a hedge in seconds, or None for no hedge.

    Args:
      window: Recent latencies of the service.
      percentile: Latency percentile to wait for; 0 disables hedging.
    """
    if percentile <= 0 or window.count < _MIN_SAMPLES:
        return None
    return max(_MIN_DELAY_S, window.find_percentile(percentile) or 0.0)
