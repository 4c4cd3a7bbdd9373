"""A newer configuration on its way from its holders to this host."""

import collections.abc

from bramleyfork.configuration import manifests
from bramleyfork.core import declarations
from bramleyfork.core import messages
from bramleyfork.core import records
from bramleyfork.decisions import revisions

PLATFORM = "platform"  # A holder that is not a host.


class ConfigurationCandidate(records.Record):
    """A newer configuration that is being fetched.

    Attributes:
      version: Its version.
      holders: Hosts, or PLATFORM, that it can be fetched from.
      manifest: Its manifest, once known.
      bodies: Its manifest and parts as far as known, by key.
      source: The holder asked last; empty before the first.
      asked_at: When it was asked, monotonic seconds.
      answer_by: When it counts as silent, monotonic seconds.
    """

    __slots__ = (
        "version",
        "holders",
        "manifest",
        "bodies",
        "source",
        "asked_at",
        "answer_by",
    )

    def __init__(
        self,
        *,
        version: revisions.Version,
        holders: tuple[str, ...],
        manifest: manifests.Manifest | None = None,
        bodies: dict[str, bytes] | None = None,
        source: str = "",
        asked_at: float = 0.0,
        answer_by: float = 0.0,
    ):
        self.version = version
        self.holders = holders
        self.manifest = manifest
        self.bodies = bodies or {}
        self.source = source
        self.asked_at = asked_at
        self.answer_by = answer_by


def apply_offer(
    candidate: ConfigurationCandidate | None,
    offered: revisions.Version,
    holder: str,
) -> ConfigurationCandidate:
    """Returns the candidate to fetch after ``holder`` offered a version.

    The highest version is followed. What is offered must be newer than the
    configuration in force.
    """
    if candidate is None or candidate.version < offered:
        return ConfigurationCandidate(version=offered, holders=(holder,))
    if offered < candidate.version or holder in candidate.holders:
        return candidate
    return candidate.replace(holders=(*candidate.holders, holder))


def adopt_manifest(
    candidate: ConfigurationCandidate,
    manifest: manifests.Manifest,
    body: bytes,
    known: collections.abc.Iterable[bytes],
) -> ConfigurationCandidate:
    """Returns the candidate with its manifest and the parts already held.

    Args:
      candidate: A candidate with the manifest's version.
      manifest: Its manifest.
      body: The manifest's bytes.
      known: Parts held from other versions; only changed parts are fetched.
    """
    by_digest = {manifests.compute_digest(part): part for part in known}
    bodies = {
        key: by_digest[part.digest]
        for key, part in manifest.parts.items()
        if part.digest in by_digest
    }
    return candidate.replace(
        manifest=manifest,
        bodies=bodies | {manifests.MANIFEST_KEY: body},
        source="",
        answer_by=0.0,
    )


def list_missing(candidate: ConfigurationCandidate) -> tuple[str, ...]:
    """Returns the keys still to fetch, or the manifest's before it is known."""
    if candidate.manifest is None:
        return (manifests.MANIFEST_KEY,)
    return tuple(
        key for key in candidate.manifest.parts if key not in candidate.bodies
    )


def drop_source(
    candidate: ConfigurationCandidate,
) -> ConfigurationCandidate | None:
    """Returns the candidate without its silent or wrong source.

    None means that no holder is left.
    """
    holders = tuple(h for h in candidate.holders if h != candidate.source)
    if not holders:
        return None
    return candidate.replace(holders=holders, source="", answer_by=0.0)


def add_part(
    candidate: ConfigurationCandidate, key: str, body: bytes, answer_by: float
) -> ConfigurationCandidate | None:
    """Returns the candidate with one more part, or None for a wrong part.

    Args:
      candidate: A candidate whose manifest is known.
      key: Key of the part.
      body: Its content.
      answer_by: When the source counts as silent, monotonic seconds.
    """
    part = candidate.manifest.parts.get(key)
    if part is None or part.digest != manifests.compute_digest(body):
        return None
    bodies = candidate.bodies | {key: body}
    return candidate.replace(bodies=bodies, answer_by=answer_by)


def describe_wrong_part(
    candidate: ConfigurationCandidate, key: str, body: bytes | None
) -> str:
    """Returns how a part differs from what the manifest names.

    Args:
      candidate: A candidate.
      key: Key of the part.
      body: Its content; None if the holder does not have it.
    """
    reason = f"part {key!r} is not as declared"
    part = candidate.manifest and candidate.manifest.parts.get(key)
    if not part:
        return reason
    bodies = candidate.bodies | ({} if body is None else {key: body})
    file = f"{key}.toml"
    problems = manifests.check_bodies(candidate.manifest, bodies)
    lines = [p.describe() for p in problems if p.file == file]
    return "\n".join(lines) or reason


def is_waiting(candidate: ConfigurationCandidate, now: float) -> bool:
    """Returns whether the source asked last may still answer."""
    return bool(candidate.source) and now < candidate.answer_by


def build_parts(
    active: declarations.ActiveDeclaration,
    receiver: str,
    keys: collections.abc.Iterable[str],
) -> list[messages.ConfigurationPart]:
    """Returns the parts of the configuration in force that a peer asks for."""
    return [
        messages.ConfigurationPart(
            to=receiver,
            digest=active.declaration.digest,
            key=key,
            body=active.bodies[key],
        )
        for key in dict.fromkeys(keys)
        if key in active.bodies
    ]
