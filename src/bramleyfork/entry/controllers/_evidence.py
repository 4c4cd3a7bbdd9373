"""Reads what hosts have observed of requests that may crash targets."""

from bramleyfork.core import blackboard
from bramleyfork.entry import fleet
from bramleyfork.entry import settings as settings_module
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.decisions import observations as kinds
from bramleyfork.entry.decisions import quarantine

_KINDS = (kinds.CRASH, kinds.TRIAL_CRASH, kinds.COMPLETION)


class EvidenceReader:
    """Reads what hosts have observed of a request.

    Args:
      settings: Settings of the process.
      known: Observations by kind and subject.
      members: Entry hosts by name.
    """

    __slots__ = ("_settings", "_known", "_members")

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        known: blackboard.Table,
        members: blackboard.Table,
    ):
        self._settings = settings
        self._known = known
        self._members = members

    def is_empty(self) -> bool:
        """Returns whether nothing is known of any request."""
        return not len(self._known)

    def read(self, fingerprint: str, now: float) -> quarantine.Evidence:
        """Returns what holds at a monotonic time, in seconds."""
        crashes, trial_crashes, completions = (
            kinds.select_in_force(self._known.get((kind, fingerprint)), now)
            for kind in _KINDS
        )
        return quarantine.Evidence(
            crashes=crashes,
            trial_crashes=trial_crashes,
            completions=completions,
        )

    def judge(self, fingerprint: str, now: float) -> quarantine.Ruling:
        """Returns whether this host may send a request.

        Args:
          fingerprint: Fingerprint of the request.
          now: Monotonic time in seconds.
        """
        evidence = self.read(fingerprint, now)
        if not evidence.crashes and not evidence.trial_crashes:
            return quarantine.Ruling.FREE
        others = [
            member
            for host, member in self._members.copy_records().items()
            if host != self._settings.host
        ]
        live = [m for m in others if m.update.state == fleet.SERVING]
        has_seeds = any(
            seed != self._settings.peer_address for seed in self._settings.seeds
        )
        return quarantine.judge(
            evidence,
            fingerprint,
            host=self._settings.host,
            live_hosts=[self._settings.host, *(m.update.host for m in live)],
            is_isolated=not live and (bool(others) or has_seeds),
            now=now,
        )

    def is_published(self, exchange: _exchange.Exchange, now: float) -> bool:
        """Returns whether all crashes of a request are on the blackboard."""
        evidence = self.read(exchange.find_fingerprint(), now)
        occasion = exchange.find_occasion()
        published = sum(
            crash.value
            for crash in (*evidence.crashes, *evidence.trial_crashes)
            if crash.host == self._settings.host and crash.occasion == occasion
        )
        return published >= exchange.crashes
