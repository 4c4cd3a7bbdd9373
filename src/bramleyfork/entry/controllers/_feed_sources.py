"""Chooses the source that the feed is read from."""

import collections.abc

from bramleyfork.core import blackboard
from bramleyfork.entry import fleet
from bramleyfork.entry import settings as settings_module
from bramleyfork.entry.decisions import sources


class FeedSources:
    """Chooses among the store and other hosts, and avoids failed sources.

    Args:
      settings: Settings of the process.
      members: Entry hosts by name.
    """

    __slots__ = (
        "_settings",
        "_members",
        "_avoided",
        "_store_failed_at",
        "_started_at",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        members: blackboard.Table,
    ):
        self._settings = settings
        self._members = members
        self._avoided: dict[str, float] = {}
        self._store_failed_at = 0.0
        self._started_at: float | None = None

    def choose_at_start(self, now: float, *, is_listed: bool) -> str | None:
        """Returns the source to read from; None to wait for one.

        When the whole fleet starts for the first time, a host lists the feed
        from a host that serves, and waits for one, which saves one listing of
        the store per host. Until it has heard of all hosts, it also reads
        changes from its seeds. Seeds read the store. A host that starts later
        lists the store at once, as callers are waiting.

        Args:
          now: Monotonic time in seconds.
          is_listed: Whether this host has listed the feed.
        """
        settings = self._settings
        if self._started_at is None:
            self._started_at = now
        if (
            not settings.is_first_start
            or not settings.seeds
            or settings.peer_address in settings.seeds
            or now >= self._started_at + sources.JOINING_S
        ):
            return self.choose(now)
        members = self._members.copy_records()
        if is_listed and len(members) <= sources.DIRECT_HOSTS:
            return self.choose(now)
        peers = sources.rank_joining_sources(
            members=members,
            seeds=settings.seeds,
            regions=settings.regions,
            own_region=settings.region,
            ranked=self._rank(),
        )
        found = sources.choose_source(peers, self._avoided, now)
        if found != sources.STORE:
            return found
        is_waiting = now < self._started_at + sources.MAX_JOIN_WAIT_S
        return None if is_waiting and not is_listed else self.choose(now)

    def reads_for_others(self) -> bool:
        """Returns whether other hosts read what this one reads of the store."""
        return len(self._members) > sources.DIRECT_HOSTS

    def choose(self, now: float) -> str:
        """Returns the best source: sources.STORE or the name of a host."""
        return sources.choose_source(self._rank(), self._avoided, now)

    def find_host(self, now: float) -> str | None:
        """Returns another host that serves and isn't avoided; None for none."""
        for member in self._members.list_records():
            host = member.update.host
            is_own = host == self._settings.host
            is_serving = member.update.state == fleet.SERVING
            is_avoided = self._avoided.get(host, 0.0) > now
            if is_serving and not is_own and not is_avoided:
                return host
        return None

    def _rank(self) -> collections.abc.Iterator[str]:
        return sources.rank_sources(
            own_host=self._settings.host,
            own_region=self._settings.region,
            members=self._members.copy_records(),
            regions=self._settings.regions,
        )

    def compute_hop_limit(self) -> int:
        """Returns the maximum number of hops from the store to a source."""
        regions = self._settings.regions
        own_region = self._settings.region
        return sources.compute_hop_limit(
            sum(
                regions.get(member.update.data_centre) == own_region
                for member in self._members.list_records()
            )
        )

    def has_another(self, now: float) -> bool:
        """Returns whether there is a source that is not avoided at ``now``."""
        return self._avoided.get(self.choose(now), 0.0) <= now

    def avoid(self, source: str, now: float) -> None:
        """Avoids a source for a few seconds after a failure.

        The time for which the store is avoided is cut short if a host fails
        after it: the store may be available again, and each unresponsive host
        costs a whole timeout.
        """
        self._avoided[source] = now + sources.AVOID_S
        if source == sources.STORE:
            self._store_failed_at = now
        elif sources.STORE in self._avoided:
            self._avoided[sources.STORE] = (
                self._store_failed_at + sources.AVOID_STORE_S
            )

    def find_address(self, source: str) -> fleet.Address | None:
        """Returns the peer address of a host; None for the store."""
        member = self._members.get(source)
        return member.update.peer_address if member else None
