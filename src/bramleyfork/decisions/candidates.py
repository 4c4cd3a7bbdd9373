"""State of the fetch of a newer configuration from peers or the platform."""

import collections.abc

from bramleyfork.configuration import manifests
from bramleyfork.core import declarations
from bramleyfork.core import messages
from bramleyfork.core import records
from bramleyfork.decisions import revisions

PLATFORM = "platform"  # Stands for the platform in the list of holders.


class ConfigurationCandidate(records.Record):
    """A newer configuration that is being fetched.

    Attributes:
      version: Its version.
      holders: Hosts, or PLATFORM, that it can be fetched from.
      manifest: Its manifest; None until it has been fetched.
      bodies: Bodies of the manifest and parts held so far, by key.
      source: Holder that the last request was sent to; empty if there is none.
      requested_at: When that request was sent, monotonic seconds.
      request_deadline: When that request times out, monotonic seconds.
    """

    __slots__ = (
        "version",
        "holders",
        "manifest",
        "bodies",
        "source",
        "requested_at",
        "request_deadline",
    )

    def __init__(
        self,
        *,
        version: revisions.Version,
        holders: tuple[str, ...],
        manifest: manifests.Manifest | None = None,
        bodies: dict[str, bytes] | None = None,
        source: str = "",
        requested_at: float = 0.0,
        request_deadline: float = 0.0,
    ):
        self.version = version
        self.holders = holders
        self.manifest = manifest
        self.bodies = bodies or {}
        self.source = source
        self.requested_at = requested_at
        self.request_deadline = request_deadline


def apply_offer(
    candidate: ConfigurationCandidate | None,
    offered: revisions.Version,
    holder: str,
) -> ConfigurationCandidate:
    """Returns the candidate to fetch after ``holder`` offered a version.

    Only the highest version is fetched. The offered version must be newer than
    the active configuration.
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
    """Returns the candidate with its manifest and the parts known already.

    Args:
      candidate: A candidate with the manifest's version.
      manifest: Its manifest.
      body: The manifest's bytes.
      known: Bodies of parts of other versions; unchanged parts are not
        fetched.
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
        request_deadline=0.0,
    )


def list_missing(candidate: ConfigurationCandidate) -> tuple[str, ...]:
    """Returns the keys still to fetch; the manifest's while it is unknown."""
    if candidate.manifest is None:
        return (manifests.MANIFEST_KEY,)
    return tuple(
        key for key in candidate.manifest.parts if key not in candidate.bodies
    )


def drop_source(
    candidate: ConfigurationCandidate,
) -> ConfigurationCandidate | None:
    """Returns the candidate without its source, or None if no holder is left.

    The source has timed out or sent invalid data.
    """
    holders = tuple(h for h in candidate.holders if h != candidate.source)
    if not holders:
        return None
    return candidate.replace(holders=holders, source="", request_deadline=0.0)


def add_part(
    candidate: ConfigurationCandidate,
    key: str,
    body: bytes,
    request_deadline: float,
) -> ConfigurationCandidate | None:
    """Returns the candidate with one more part, or None for an invalid part.

    Args:
      candidate: A candidate whose manifest is known.
      key: Key of the part.
      body: Its content.
      request_deadline: When the request for the other parts times out,
        monotonic seconds.
    """
    part = candidate.manifest.parts.get(key)
    if part is None or part.digest != manifests.compute_digest(body):
        return None
    bodies = candidate.bodies | {key: body}
    return candidate.replace(bodies=bodies, request_deadline=request_deadline)


def describe_wrong_part(
    candidate: ConfigurationCandidate, key: str, body: bytes | None
) -> str:
    """Returns how a part differs from what the manifest declares.

    Args:
      candidate: A candidate.
      key: Key of the part.
      body: Its content; None if the holder does not have it.
    """
    reason = f"part {key!r} does not match the offered version"
    part = candidate.manifest and candidate.manifest.parts.get(key)
    if not part:
        return reason
    bodies = candidate.bodies | ({} if body is None else {key: body})
    file = f"{key}.toml"
    problems = manifests.check_bodies(candidate.manifest, bodies)
    lines = [p.describe() for p in problems if p.file == file]
    return "\n".join(lines) or reason


def is_waiting(candidate: ConfigurationCandidate, now: float) -> bool:
    """Returns whether a request to the source is pending."""
    return bool(candidate.source) and now < candidate.request_deadline


def build_parts(
    active: declarations.ActiveDeclaration,
    receiver: str,
    keys: collections.abc.Iterable[str],
) -> list[messages.ConfigurationPart]:
    """Returns the parts of the active configuration that a peer requested.

    Args:
      active: The active configuration.
      receiver: Name of the peer.
      keys: Keys of the requested parts; unknown ones are left out.
    """
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
