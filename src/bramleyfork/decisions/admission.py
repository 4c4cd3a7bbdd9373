"""Decides whether an owner accepts a sub-request into a target's queue."""

from bramleyfork.core import fleet
from bramleyfork.core import requests
from bramleyfork.decisions import latencies
from bramleyfork.decisions import shares

# Percentile of the latency that is used as its minimum. A sub-request with
# less time left would use a slot and still be answered too late.
FAST_PERCENTILE = 5.0


def find_refusal(
    request: requests.SubRequest,
    *,
    share: shares.Share,
    status: fleet.TargetStatus | None,
    quarantined: fleet.QuarantineEntry | None,
    min_latency_s: float,
    now: float,
) -> str | None:
    """Returns the reply code of a refusal, or None to accept.

    Args:
      request: The sub-request.
      share: This host's share of its target.
      status: Status of the target, or None if unknown.
      quarantined: Quarantine entry of the request's fingerprint, or None.
      min_latency_s: Estimated minimum latency of the target, seconds.
      now: Monotonic seconds.
    """
    if share.in_flight <= 0:
        return "no_share"
    if status is not None and status.state == "out":
        return "target_out"
    if status is not None and status.state == "leaving":
        return "leaving"
    if quarantined is not None and quarantined.level == "refused":
        return "quarantined"
    if request.deadline <= now + min_latency_s:
        return "expired"
    return None


def estimate_min_latency(
    latency: latencies.LatencyWindow, *, stale: bool
) -> float:
    """Returns the estimated minimum latency in seconds; 0 if unknown.

    Args:
      latency: Recent latencies of the target.
      stale: Whether the last reply is old, which makes the estimate 0.
        Otherwise a target that was slow once would get no more requests, and
        its estimate would never improve.
    """
    if stale:
        return 0.0
    return latency.find_percentile(FAST_PERCENTILE) or 0.0


def must_run_exclusively(
    request: requests.SubRequest, quarantined: fleet.QuarantineEntry | None
) -> bool:
    """Returns whether a request must be the only one on its target."""
    return request.exclusive or quarantined is not None


def estimate_retry_after(
    queue_length: int, latency_s: float | None, slots: int, jitter: float
) -> int:
    """Returns the estimated milliseconds until a full queue has room.

    Args:
      queue_length: Number of queued sub-requests.
      latency_s: Average service time in seconds, or None if unknown.
      slots: Number of requests that the target runs at once.
      jitter: A number from 0 to 1 that differs by caller, so that refused
        callers do not retry at the same time.
    """
    drain_s = (queue_length + 1) * (latency_s or 0.01) / max(1, slots)
    return max(1, int(1000 * drain_s * (0.5 + jitter)))
