"""Which answers of the platform confirm the configuration in force."""

import hashlib
import urllib.parse

from bramleyfork.core import platform_calls
from bramleyfork.core import records
from bramleyfork.decisions import lease

_MANIFEST_PATHS = ("/v1/watch/manifest", "/v1/values/manifest")


class SeenManifest(records.Record):
    """The manifest that the platform served last.

    Attributes:
      etag: The platform's version of it.
      digest: SHA-256 of it, hexadecimal.
    """

    __slots__ = ("etag", "digest")

    def __init__(self, *, etag: str, digest: str):
        self.etag = etag
        self.digest = digest


def is_about_manifest(result: platform_calls.PlatformResult) -> bool:
    """Returns whether an answer tells which manifest the platform has."""
    path = result.path.partition("?")[0]
    return result.status in (200, 304) and path in _MANIFEST_PATHS


def read_manifest(
    result: platform_calls.PlatformResult,
) -> SeenManifest | None:
    """Returns the manifest that an answer carries, or None."""
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
    """Returns whether the platform still serves the configuration in force.

    A manifest with another digest does not confirm, be it newer or older: to
    tell which, it would have to be decoded here too. Status 304 says that the
    manifest is still the one that the call named, so that one must be the one
    in force.

    Args:
      result: An answer of the platform.
      seen: The last manifest it served, this answer's included.
      digest: Digest of the configuration in force.
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
    """Returns the answer that renews the lease."""
    return lease.Confirmation(
        sent_at=result.sent_at,
        revision=revision,
        digest=digest,
        source="platform",
    )
