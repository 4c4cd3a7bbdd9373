"""Which requests must run alone or not at all because targets died."""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.core import messages

ENTRY_S = 60.0  # A suspicion or a quarantine lasts this long.
ENTRY_LIMIT = 10_000  # Bounds memory when whole groups of targets die.

SUSPECT = "suspect"
REFUSED = "refused"
CLEARED = "cleared"

_TARGET_LIMIT = 8  # Targets named in an entry; two decide.


def record_death(
    entry: fleet.QuarantineEntry | None,
    death: fleet.TargetDeath,
    fingerprint: str,
    now: float,
) -> fleet.QuarantineEntry:
    """Returns the entry of a fingerprint that was in flight at a death.

    It is refused when it was suspect before, ran alone and took down another
    target earlier. The same target may be reported dead by several hosts, so
    it does not count twice.

    Args:
      entry: The entry so far, if it has not expired.
      death: The death.
      fingerprint: One of the fingerprints in flight.
      now: Monotonic seconds.
    """
    if entry is not None and entry.level == REFUSED:
        return entry
    before = () if entry is None else entry.targets
    is_second = any(target != death.target for target in before)
    return fleet.QuarantineEntry(
        fingerprint=fingerprint,
        level=REFUSED if death.alone and is_second else SUSPECT,
        until=now + ENTRY_S,
        targets=_join_targets(before, (death.target,)),
    )


def merge_notice(
    entry: fleet.QuarantineEntry | None,
    notice: messages.QuarantineNotice,
    now: float,
) -> fleet.QuarantineEntry | None:
    """Returns the entry after a peer's notice; None for no entry.

    Refused goes before suspect, then the later end counts. Only suspects can
    be cleared.

    Args:
      entry: The entry so far, if it has not expired.
      notice: What the peer told.
      now: Monotonic seconds.
    """
    if notice.level == CLEARED:
        return clear(entry)
    remaining_s = min(notice.remaining_s, ENTRY_S)
    if remaining_s <= 0.0:
        return entry
    told = fleet.QuarantineEntry(
        fingerprint=notice.fingerprint,
        level=notice.level,
        until=now + remaining_s,
        targets=_join_targets((), notice.targets),
    )
    if entry is None:
        return told
    first, second = sorted((entry, told), key=_rank, reverse=True)
    targets = _join_targets(first.targets, second.targets)
    return first.replace(targets=targets)


def clear(entry: fleet.QuarantineEntry | None) -> fleet.QuarantineEntry | None:
    """Returns what is left of an entry whose request completed alone."""
    if entry is None or entry.level == SUSPECT:
        return None
    return entry


def build_notice(
    entry: fleet.QuarantineEntry, now: float
) -> messages.QuarantineNotice:
    """Returns the notice that tells peers of an entry."""
    return messages.QuarantineNotice(
        to=messages.ALL_PEERS,
        fingerprint=entry.fingerprint,
        level=entry.level,
        remaining_s=max(0.0, entry.until - now),
        targets=entry.targets,
    )


def build_clearance(fingerprint: str) -> messages.QuarantineNotice:
    """Returns the notice that a fingerprint is not suspect any more."""
    return messages.QuarantineNotice(
        to=messages.ALL_PEERS,
        fingerprint=fingerprint,
        level=CLEARED,
        remaining_s=0.0,
        targets=(),
    )


def _rank(entry: fleet.QuarantineEntry) -> tuple[bool, float]:
    return (entry.level == REFUSED, entry.until)


def _join_targets(
    first: collections.abc.Iterable[str],
    second: collections.abc.Iterable[str],
) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*first, *second)))[:_TARGET_LIMIT]
