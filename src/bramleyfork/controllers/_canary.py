"""Canary requests: a query that may crash targets goes to one target first.

The other segments of the query are deferred until the canary has answered.
"""

from bramleyfork.controllers import _dispatch
from bramleyfork.controllers import _route
from bramleyfork.controllers import _timers
from bramleyfork.core import blackboard
from bramleyfork.decisions import canaries
from bramleyfork.decisions import query_admission

# A suspect request is not sent to another service once this many targets of
# one service have died with it.
_MAX_TARGET_DEATHS = 2


class CanaryGate:
    """Defers segments of requests that are unknown or suspect.

    A request that has never completed on this host goes to one target first,
    so that a request that crashes targets does not reach all of them at once.
    A request is suspect if a target died while it was in flight.

    Args:
      dispatcher: Sends the first attempt at a segment.
      timers: Timers of the routing controller.
      trusted: Fingerprints of queries that have completed on this host.
      quarantine: The section ``quarantine``.
    """

    __slots__ = ("_dispatcher", "_timers", "_trusted", "_quarantine")

    def __init__(
        self,
        *,
        dispatcher: _dispatch.Dispatcher,
        timers: _timers.Timers,
        trusted: canaries.TrustedFingerprints,
        quarantine: blackboard.Table,
    ):
        self._dispatcher = dispatcher
        self._timers = timers
        self._trusted = trusted
        self._quarantine = quarantine

    def choose_first_segments(
        self, route: _route.Route, now: float
    ) -> list[_route.Segment]:
        """Returns the segments to send at once and defers the others."""
        suspect = self.is_suspect(route)
        known_good = self._trusted.has(route.fingerprint) and not suspect
        if len(route.segments) == 1 or known_good:
            return route.segments
        index = canaries.choose_segment(route.fingerprint, len(route.segments))
        canary = route.segments[index]
        route.deferred_segments = [s for s in route.segments if s is not canary]
        if suspect:
            # The canary waits until its target is idle, so its latency does
            # not tell whether it is safe to send the others.
            return [canary]
        delay = canaries.find_release_delay(route.deadline - now)
        query_id = route.query.query_id
        self._timers.add(now + delay, _timers.RELEASE, query_id, 0)
        return [canary]

    def release(self, route: _route.Route, now: float) -> None:
        """Sends all deferred segments."""
        deferred, route.deferred_segments = route.deferred_segments, []
        for segment in deferred:
            self._dispatcher.send(route, segment, now)

    def handle_release_timer(self, route: _route.Route, now: float) -> bool:
        """Handles a release timer: the canary is late or has failed.

        Sends all deferred segments, unless the request has become suspect in
        the meantime, for example after a quarantine notice from another host.
        The segments of a suspect request are sent one at a time, each as the
        only request in flight on its target.

        Returns:
          Whether the query continues; False if too many targets have died.
        """
        if not route.deferred_segments:
            return True
        if not self.is_suspect(route):
            self.release(route, now)
            return True
        if route.unfinished_count != len(route.deferred_segments):
            return True
        deaths = query_admission.count_deaths(
            route.fingerprint,
            route.lookup.services,
            self._quarantine.copy_records(),
        )
        if deaths >= _MAX_TARGET_DEATHS:
            return False
        following = route.deferred_segments.pop()
        following.exclusive = True
        self._dispatcher.send(route, following, now)
        return True

    def is_suspect(self, route: _route.Route) -> bool:
        """Returns whether a target died with this request in flight."""
        return route.has_target_death() or query_admission.has_quarantine_entry(
            route.fingerprint,
            route.lookup.services,
            self._quarantine.copy_records(),
        )
