"""Decides which platform results confirm the active configuration."""

import hashlib
import urllib.parse

from bramleyfork.core import platform_calls
from bramleyfork.core import records
from bramleyfork.decisions import lease

_MANIFEST_PATHS = ("/v1/watch/manifest", "/v1/values/manifest")


class SeenManifest(records.Record):
    """The manifest that the platform served last.

    Attributes:
      etag: ETag of the manifest.
      digest: SHA-256 of the manifest, hexadecimal.
    """

    __slots__ = ("etag", "digest")

    def __init__(self, *, etag: str, digest: str):
        self.etag = etag
        self.digest = digest


def is_about_manifest(result: platform_calls.PlatformResult) -> bool:
    """Returns whether a result shows which manifest the platform has."""
    path = result.path.partition("?")[0]
    return result.status in (200, 304) and path in _MANIFEST_PATHS


def read_manifest(
    result: platform_calls.PlatformResult,
) -> SeenManifest | None:
    """Returns the manifest contained in a result, or None."""
    if result.status != 200 or not is_about_manifest(result):
        return None
    return SeenManifest(
        etag=result.etag, digest=hashlib.sha256(result.body).hexdigest()
    )


def confirms(
    result: platform_calls.PlatformResult,
    seen: SeenManifest | None,
    digest: str,
) -> bool:
    """Returns whether the platform still serves the active configuration.

    A manifest with another digest does not confirm it, whether it is newer or
    older: to distinguish these, it would have to be decoded here as well.
    Status 304 means that the manifest still has the ETag in the call, so this
    must be the ETag of the active configuration.

    Args:
      result: A result from the platform.
      seen: The last manifest that it served, including by this result.
      digest: Digest of the active configuration.
    """
    if seen is None or seen.digest != digest:
        return False
    if not is_about_manifest(result):
        return False
    if result.status == 200:
        return True
    query = result.path.partition("?")[2]
    after = urllib.parse.parse_qs(query).get("after", [""])[0]
    return bool(after) and after.strip('"') == seen.etag.strip('"')


def build_confirmation(
    result: platform_calls.PlatformResult, revision: int, digest: str
) -> lease.Confirmation:
    """Returns the confirmation that renews the lease."""
    return lease.Confirmation(
        sent_at=result.sent_at,
        revision=revision,
        digest=digest,
        source="platform",
    )
