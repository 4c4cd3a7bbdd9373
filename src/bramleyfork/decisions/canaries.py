"""Canary requests: an untried query goes to one target before the others."""

_TRUSTED_LIMIT = 100_000  # Fingerprints; about 12 MB at 120 bytes each.
# Fraction of the remaining time after which the other segments are sent without
# a reply to the first one. A slow first target is hedged before that. With a
# release at the 95th percentile of the latency, a request that waited in a cold
# target's queue was sent to all services before it crashed the first target.
_RELEASE_FRACTION = 0.5


class TrustedFingerprints:
    """Fingerprints of queries that have completed on this host."""

    __slots__ = ("_known",)

    def __init__(self):
        self._known: dict[str, None] = {}

    def has(self, fingerprint: str) -> bool:
        """Returns whether a query with this fingerprint has completed."""
        return fingerprint in self._known

    def add(self, fingerprint: str) -> None:
        """Stores a fingerprint and evicts the oldest one beyond the limit."""
        if fingerprint in self._known:
            return
        self._known[fingerprint] = None
        if len(self._known) > _TRUSTED_LIMIT:
            del self._known[next(iter(self._known))]

    def remove(self, fingerprint: str) -> None:
        """Removes a fingerprint, for example after it crashed a target."""
        self._known.pop(fingerprint, None)


def choose_segment(fingerprint: str, count: int) -> int:
    """Returns the index of the segment that is sent first.

    The choice depends on the fingerprint alone, so that every host tries a
    request that crashes targets at the same service. A random choice took
    down one target of each service when callers sent it to all hosts at once.

    Args:
      fingerprint: Hash of the request in hexadecimal digits.
      count: Number of segments.
    """
    return int(fingerprint, 16) % count


def find_release_delay(remaining_s: float) -> float:
    """Returns the delay before the other segments are sent anyway, seconds.

    Args:
      remaining_s: Time until the query's deadline, seconds.
    """
    return _RELEASE_FRACTION * remaining_s
