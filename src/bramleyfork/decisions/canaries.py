"""Which requests go to one target first, and for how long."""

from bramleyfork.decisions import latencies

_TRUSTED_LIMIT = 100_000  # Fingerprints; about 12 MB at 120 bytes each.
# The rest is released after this percentile of the service's latency, so that
# a slow first target delays a query by little.
_RELEASE_PERCENTILE = 95.0
_UNKNOWN_DELAY_S = 0.05
# Most of the remaining time that the first target may take.
_RELEASE_PART = 0.25


class TrustedFingerprints:
    """Fingerprints of queries that have completed on this host."""

    __slots__ = ("_known",)

    def __init__(self):
        self._known: dict[str, None] = {}

    def has(self, fingerprint: str) -> bool:
        """Returns whether the query has completed before."""
        return fingerprint in self._known

    def add(self, fingerprint: str) -> None:
        """Stores a fingerprint and drops the oldest beyond the limit."""
        if fingerprint in self._known:
            return
        self._known[fingerprint] = None
        if len(self._known) > _TRUSTED_LIMIT:
            del self._known[next(iter(self._known))]

    def remove(self, fingerprint: str) -> None:
        """Forgets a fingerprint, such as one that crashed a target."""
        self._known.pop(fingerprint, None)


def find_release_delay(
    window: latencies.LatencyWindow, remaining_s: float
) -> float:
    """Returns seconds after which the other segments are sent anyway."""
    usual = window.find_percentile(_RELEASE_PERCENTILE) or _UNKNOWN_DELAY_S
    return min(usual, _RELEASE_PART * remaining_s)
