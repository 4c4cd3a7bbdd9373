"""State of one target that this host has a share of."""

from bramleyfork.core import declarations
from bramleyfork.core import requests
from bramleyfork.decisions import latencies
from bramleyfork.decisions import queues
from bramleyfork.decisions import shares
from bramleyfork.decisions import warmup

# Queue length per in-flight request of the share. Sub-requests in a longer
# queue would wait until after their callers' deadlines.
_QUEUE_FACTOR = 8


class OwnedTarget:
    """A target's share, queue, warm-up and requests in flight.

    Only the ownership controller changes it, in place, because there are
    several changes per sub-request. Other controllers read counts from it.

    Attributes:
      name: Name of the target.
      address: address:port.
      service: Its service, with the declared limits; None until set.
      share: This host's active share.
      pending_share: The share that becomes active at ``pending_share_at``, or
        None.
      pending_share_at: Activation time of the pending share, monotonic
        seconds.
      queue: Sub-requests that are not sent yet.
      in_flight: Sent and unanswered sub-requests by attempt id.
      exclusive: Whether the request in flight must be the only one.
      warmup_state: Warm-up state.
      latency: Recent latencies, seconds.
    """

    __slots__ = (
        "name",
        "address",
        "service",
        "share",
        "pending_share",
        "pending_share_at",
        "queue",
        "in_flight",
        "exclusive",
        "warmup_state",
        "latency",
        "_report_key",
    )

    def __init__(self, *, name: str):
        self.name = name
        self.address = ""
        self.service: declarations.Service | None = None
        self.share = shares.NO_SHARE
        self.pending_share: shares.Share | None = None
        self.pending_share_at = 0.0
        self.queue = queues.SubRequestQueue(limit=0)
        self.in_flight: dict[str, requests.SubRequest] = {}
        self.exclusive = False
        self.warmup_state = warmup.WarmupState()
        self.latency = latencies.LatencyWindow()
        self._report_key: tuple | None = None

    def change_share(self, share: shares.Share, now: float) -> bool:
        """Reduces the share at once and schedules increases.

        The active share drops to what both the old and the new share allow.
        An increase becomes active after ``SHARE_ACTIVATION_DELAY_S``, when its
        former holder has given it up. A new share that lies within the pending
        one keeps the activation time. Otherwise a fleet whose configuration
        changes more often than the delay would never activate a share.

        Returns:
          Whether the share differs from the pending share, or from the active
          one if none is pending.
        """
        self.activate_pending_share(now)
        pending = self.pending_share
        changed = share != (pending or self.share)
        self._use_share(shares.intersect_shares(self.share, share))
        self.pending_share = None
        if share == self.share:
            return changed
        self.pending_share = share
        if pending is None or shares.intersect_shares(pending, share) != share:
            self.pending_share_at = now + shares.SHARE_ACTIVATION_DELAY_S
        return changed

    def activate_pending_share(self, now: float) -> None:
        """Activates the pending share if its activation time has passed."""
        if self.pending_share is not None and now >= self.pending_share_at:
            self._use_share(self.pending_share)
            self.pending_share = None

    def drain_queue(self) -> list[requests.SubRequest]:
        """Removes and returns all queued sub-requests."""
        drained = []
        while (request := self.queue.pop()) is not None:
            drained.append(request)
        return drained

    def record_report(self, report: requests.TargetReport) -> bool:
        """Records a report of the target.

        Returns:
          Whether its epoch, state or holdings differ from the last report.
        """
        key = (report.epoch, report.state, report.holdings)
        if key == self._report_key:
            return False
        self._report_key = key
        return True

    def _use_share(self, share: shares.Share) -> None:
        self.share = share
        self.queue.limit = _QUEUE_FACTOR * share.in_flight
