"""Working state of one target that this host has a share of."""

from bramleyfork.core import declarations
from bramleyfork.core import requests
from bramleyfork.decisions import latencies
from bramleyfork.decisions import queues
from bramleyfork.decisions import shares
from bramleyfork.decisions import warmup

# Sub-requests held per in-flight place of the share; more would wait longer
# than callers do.
_QUEUE_FACTOR = 8


class OwnedTarget:
    """A target's share, queue, warm-up and requests in flight.

    The ownership controller alone changes it, in place, as it is touched
    several times per sub-request; others read counts from it.

    Attributes:
      name: Name of the target.
      address: address:port.
      service: What the target bears.
      share: This host's share in force.
      pending_share: The share to take up at ``pending_share_at``, or None.
      pending_share_at: Monotonic seconds.
      queue: Sub-requests that wait.
      in_flight: Sent and unanswered sub-requests by attempt id.
      exclusive: Whether the one in flight must stay alone.
      warmup_state: Progress of its warm-up.
      latency: Recent latencies.
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
        """Gives up what is lost at once and books what is gained.

        A gain that was booked before and is still part of the share keeps its
        time. Otherwise a fleet whose configuration changes more often than
        the delay would never take up a share.

        Returns:
          Whether the share differs from the one held or booked so far.
        """
        self.activate_pending_share(now)
        booked = self.pending_share
        changed = share != (booked or self.share)
        self._use_share(shares.intersect_shares(self.share, share))
        self.pending_share = None
        if share == self.share:
            return changed
        self.pending_share = share
        if booked is None or shares.intersect_shares(booked, share) != share:
            self.pending_share_at = now + shares.SHARE_ACTIVATION_DELAY_S
        return changed

    def activate_pending_share(self, now: float) -> None:
        """Takes up a gained share once its delay has passed."""
        if self.pending_share is not None and now >= self.pending_share_at:
            self._use_share(self.pending_share)
            self.pending_share = None

    def drain_queue(self) -> list[requests.SubRequest]:
        """Removes and returns all that waits."""
        drained = []
        while (request := self.queue.take()) is not None:
            drained.append(request)
        return drained

    def note_report(self, report: requests.TargetReport) -> bool:
        """Returns whether the target's report differs from the last one."""
        key = (report.epoch, report.state, report.holdings)
        if key == self._report_key:
            return False
        self._report_key = key
        return True

    def _use_share(self, share: shares.Share) -> None:
        self.share = share
        self.queue.limit = _QUEUE_FACTOR * share.in_flight
