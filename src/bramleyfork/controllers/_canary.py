"""Which segments of a query wait until its first target has answered."""

from bramleyfork.controllers import _dispatch
from bramleyfork.controllers import _route
from bramleyfork.controllers import _timers
from bramleyfork.core import blackboard
from bramleyfork.decisions import canaries
from bramleyfork.decisions import query_admission

# A suspect goes to no other service once so many targets of one died with it.
_DEATH_LIMIT = 2


class CanaryGate:
    """Holds the segments of unknown and suspect requests back.

    A request that has not completed on this host before goes to one target
    first, so that one that crashes targets does not reach them all at once.

    Args:
      dispatcher: Makes attempts.
      timers: Timer of the release.
      trusted: Fingerprints of queries that have completed here.
      quarantine: The section of that name.
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
        """Returns the segments to send at once; the others wait."""
        suspect = self.is_suspect(route)
        known_good = self._trusted.has(route.fingerprint) and not suspect
        if len(route.segments) == 1 or known_good:
            return route.segments
        index = canaries.choose_segment(route.fingerprint, len(route.segments))
        canary = route.segments[index]
        route.deferred_segments = [s for s in route.segments if s is not canary]
        if suspect:
            # It waits for a target of its own, so lateness means nothing.
            return [canary]
        delay = canaries.find_release_delay(route.deadline - now)
        query_id = route.query.query_id
        self._timers.add(now + delay, _timers.RELEASE, query_id, 0)
        return [canary]

    def release(self, route: _route.Route, now: float) -> None:
        """Sends the segments that waited for the first target's answer."""
        deferred, route.deferred_segments = route.deferred_segments, []
        for segment in deferred:
            self._dispatcher.send(route, segment, now)

    def handle_release_timer(self, route: _route.Route, now: float) -> bool:
        """Goes on when the first target was late or could not be read.

        Another host may have sent the same request meanwhile and have lost a
        target to it, so the segments of a suspect are sent one by one.

        Returns:
          Whether the query may go on; False once it should end.
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
        if deaths >= _DEATH_LIMIT:
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
