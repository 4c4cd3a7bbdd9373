"""Order of configuration versions, and which hosts watch for new ones."""

import collections.abc
import hashlib
import typing

from bramleyfork.core import declarations
from bramleyfork.core import records

WATCHERS_PER_DATA_CENTRE = 2
UNAVAILABLE_STATES = ("dead", "leaving")


class Version(records.Record):
    """Version of a configuration; versions are totally ordered.

    Attributes:
      revision: Number given by the operators; 0 if there is no configuration.
      digest: SHA-256 of the manifest; breaks ties between equal revisions.
    """

    __slots__ = ("revision", "digest")

    def __init__(self, *, revision: int, digest: str):
        self.revision = revision
        self.digest = digest

    def __lt__(self, other: "Version") -> bool:
        return (self.revision, self.digest) < (other.revision, other.digest)


NO_VERSION = Version(revision=0, digest="")


def read_version(holder: typing.Any) -> Version:
    """Returns the version of a record with ``revision`` and ``digest``."""
    return Version(revision=holder.revision, digest=holder.digest)


def is_newer(offered: Version, in_force: Version) -> bool:
    """Returns whether ``offered`` replaces ``in_force``."""
    return in_force < offered


def is_conflict(first: Version, second: Version) -> bool:
    """Returns whether two contents were published under one revision."""
    same_revision = first.revision == second.revision
    return same_revision and first.digest != second.digest


def merge_conflict(
    reported: declarations.RevisionConflict | None,
    offered: Version,
    in_force: Version,
    now: float,
) -> declarations.RevisionConflict | None:
    """Returns the conflict to report, or None if there is no new one.

    Args:
      reported: The conflict reported so far, if any.
      offered: A version offered by a peer or the platform.
      in_force: The version in force.
      now: Monotonic seconds.
    """
    if not is_conflict(offered, in_force):
        return None
    digests = {offered.digest, in_force.digest}
    if reported is not None and reported.revision == offered.revision:
        if digests <= set(reported.digests):
            return None
        digests |= set(reported.digests)
    return declarations.RevisionConflict(
        revision=offered.revision,
        digests=tuple(sorted(digests)),
        noticed_at=now,
    )


def rank_hosts_by_data_centre(
    hosts: collections.abc.Iterable[declarations.Host],
) -> dict[str, tuple[str, ...]]:
    """Returns the host names of each data centre in rendezvous order."""
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
    """Returns the hosts that watch the platform for new configurations.

    Args:
      ranked: Hosts by data centre, as ``rank_hosts_by_data_centre`` returns
        them.
      unavailable: Hosts that are dead or leaving; the next in order replace
        them.
    """
    chosen: set[str] = set()
    for names in ranked.values():
        available = (name for name in names if name not in unavailable)
        chosen.update(
            name
            for name, _ in zip(
                available, range(WATCHERS_PER_DATA_CENTRE), strict=False
            )
        )
    return frozenset(chosen)


def hash_text(*parts: str) -> int:
    """Returns a 64-bit hash that is the same on every host."""
    text = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def compute_fraction(*parts: str) -> float:
    """Returns a hash in [0, 1), for example as jitter that differs by host."""
    return hash_text(*parts) / 2**64
