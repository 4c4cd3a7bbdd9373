"""Quarantine of requests that were in flight when targets died.

A suspect request must run exclusively on its target; a refused one must not
run.
"""

import collections.abc

from bramleyfork.core import fleet
from bramleyfork.core import messages

ENTRY_S = 60.0  # Lifetime of an entry, suspect or refused.
ENTRY_LIMIT = 10_000  # Bounds memory when whole groups of targets die.

SUSPECT = "suspect"
REFUSED = "refused"
CLEARED = "cleared"

_TARGET_LIMIT = 8  # Targets named in an entry; two are enough to refuse it.


def record_death(
    entry: fleet.QuarantineEntry | None,
    death: fleet.TargetDeath,
    fingerprint: str,
    now: float,
) -> fleet.QuarantineEntry:
    """Returns the entry of a fingerprint in flight on a target that died.

    The fingerprint is refused if it was suspect already, ran alone, and another
    target died with it before. Several hosts may report the death of the same
    target, so it counts once.

    Args:
      entry: The entry so far, if it has not expired.
      death: The death of the target.
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
    """Returns the entry after a notice from a peer, or None if none is left.

    A refused entry takes precedence over a suspect one, then the one that
    expires later. Only suspect entries can be cleared.

    Args:
      entry: The entry so far, if it has not expired.
      notice: The notice.
      now: Monotonic seconds.
    """
    if notice.level == CLEARED:
        return clear(entry)
    remaining_s = min(notice.remaining_s, ENTRY_S)
    if remaining_s <= 0.0:
        return entry
    received = fleet.QuarantineEntry(
        fingerprint=notice.fingerprint,
        level=notice.level,
        until=now + remaining_s,
        targets=_join_targets((), notice.targets),
    )
    if entry is None:
        return received
    first, second = sorted((entry, received), key=_rank, reverse=True)
    targets = _join_targets(first.targets, second.targets)
    return first.replace(targets=targets)


def clear(entry: fleet.QuarantineEntry | None) -> fleet.QuarantineEntry | None:
    """Returns the entry after its request has completed alone.

    A suspect entry is cleared, which gives None; a refused one stays.
    """
    if entry is None or entry.level == SUSPECT:
        return None
    return entry


def build_notice(
    entry: fleet.QuarantineEntry, now: float
) -> messages.QuarantineNotice:
    """Returns the notice that sends an entry to all peers."""
    return messages.QuarantineNotice(
        to=messages.ALL_PEERS,
        fingerprint=entry.fingerprint,
        level=entry.level,
        remaining_s=max(0.0, entry.until - now),
        targets=entry.targets,
    )


def build_clearance(fingerprint: str) -> messages.QuarantineNotice:
    """Returns the notice to all peers that a fingerprint is not suspect."""
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
