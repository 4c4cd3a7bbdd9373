"""Chooses the source that the feed is read from."""

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

    __slots__ = ("_settings", "_members", "_avoided", "_store_failed_at")

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

    def choose(self, now: float) -> str:
        """Returns the best source: sources.STORE or the name of a host."""
        ranked = sources.rank_sources(
            own_host=self._settings.host,
            own_region=self._settings.region,
            members=self._members.copy_records(),
            regions=self._settings.regions,
        )
        return sources.choose_source(ranked, self._avoided, now)

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
