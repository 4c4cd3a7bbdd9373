"""The order of configurations and which hosts watch for new ones."""

import collections.abc
import hashlib
import typing

from bramleyfork.core import declarations
from bramleyfork.core import records

WATCHERS_PER_DATA_CENTRE = 2
UNAVAILABLE_STATES = ("dead", "leaving")


class Version(records.Record):
    """Place of a configuration in their order.

    Attributes:
      revision: Number given by the operators; 0 for none.
      digest: SHA-256 of the manifest; orders equal revisions.
    """

    __slots__ = ("revision", "digest")

    def __init__(self, *, revision: int, digest: str):
        self.revision = revision
        self.digest = digest

    def __lt__(self, other: "Version") -> bool:
        return (self.revision, self.digest) < (other.revision, other.digest)


NO_VERSION = Version(revision=0, digest="")


def read_version(holder: typing.Any) -> Version:
    """Returns the version of a record with a revision and a digest."""
    return Version(revision=holder.revision, digest=holder.digest)


def is_newer(offered: Version, in_force: Version) -> bool:
    """Returns whether a host moves from ``in_force`` to ``offered``."""
    return in_force < offered


def is_conflict(first: Version, second: Version) -> bool:
    """Returns whether two contents were published at one revision."""
    same_revision = first.revision == second.revision
    return same_revision and first.digest != second.digest


def merge_conflict(
    present: declarations.RevisionConflict | None,
    offered: Version,
    in_force: Version,
    now: float,
) -> declarations.RevisionConflict | None:
    """Returns the conflict to report, or None when there is no new one.

    Args:
      present: The conflict reported so far.
      offered: A version heard of.
      in_force: The version in force.
      now: Monotonic seconds.
    """
    if not is_conflict(offered, in_force):
        return None
    digests = {offered.digest, in_force.digest}
    if present is not None and present.revision == offered.revision:
        if digests <= set(present.digests):
            return None
        digests |= set(present.digests)
    return declarations.RevisionConflict(
        revision=offered.revision,
        digests=tuple(sorted(digests)),
        noticed_at=now,
    )


def rank_hosts_by_data_centre(
    hosts: collections.abc.Iterable[declarations.Host],
) -> dict[str, tuple[str, ...]]:
    """Returns the hosts of each data centre in rendezvous order."""
    by_data_centre: dict[str, list[str]] = {}
    for host in hosts:
        by_data_centre.setdefault(host.data_centre, []).append(host.name)
    return {
        data_centre: tuple(
            sorted(names, key=lambda name: hash_text(data_centre, name))
        )
        for data_centre, names in by_data_centre.items()
    }


def choose_watchers(
    ranked: dict[str, tuple[str, ...]],
    unavailable: collections.abc.Container[str],
) -> frozenset[str]:
    """Returns the hosts that hold the watch on the platform.

    Args:
      ranked: Hosts by data centre, as ``rank_hosts_by_data_centre`` returns
        them.
      unavailable: Hosts that are dead or leaving; the next in order take over.
    """
    chosen: set[str] = set()
    for names in ranked.values():
        present = (name for name in names if name not in unavailable)
        chosen.update(
            name
            for name, _ in zip(
                present, range(WATCHERS_PER_DATA_CENTRE), strict=False
            )
        )
    return frozenset(chosen)


def hash_text(*parts: str) -> int:
    """Returns a 64-bit hash that is the same on every host."""
    text = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def compute_fraction(*parts: str) -> float:
    """Returns a number in [0, 1) that spreads hosts evenly."""
    return hash_text(*parts) / 2**64
