"""Entries of the declaration section, written by the configuration controller.

They are the active configuration, the last rejected one, a conflict between
two of the same revision, and the manifest that the platform serves.
"""

import collections
import collections.abc
import logging

from bramleyfork.configuration import declaration
from bramleyfork.configuration import option_schemas
from bramleyfork.core import blackboard
from bramleyfork.core import declarations
from bramleyfork.core import platform_calls
from bramleyfork.decisions import revisions

_LOG = logging.getLogger(__name__)

# Number of rejected digests that are remembered, so that a configuration is
# not fetched and checked again.
_REFUSED_LIMIT = 64

IN_FORCE = "in_force"
REFUSED = "refused"
CONFLICT = "conflict"
PLATFORM = "platform"


class DeclarationTable:
    """Writes the entries of the declaration section and removes old ones.

    Args:
      table: The section ``declaration``.
      writer: Its writer.
    """

    __slots__ = ("_refused", "_table", "_writer")

    def __init__(
        self, *, table: blackboard.Table, writer: blackboard.TableWriter
    ):
        self._refused: collections.deque[str] = collections.deque(
            maxlen=_REFUSED_LIMIT
        )
        self._table = table
        self._writer = writer

    @property
    def active(self) -> declarations.ActiveDeclaration | None:
        """The active configuration, or None."""
        return self._table.get(IN_FORCE)

    @property
    def version(self) -> revisions.Version:
        """The active version; ``NO_VERSION`` before the first."""
        if self.active is None:
            return revisions.NO_VERSION
        return revisions.read_version(self.active.declaration)

    @property
    def platform_manifest(self) -> declarations.PlatformManifest | None:
        """Version of the manifest that the platform served last, or None."""
        return self._table.get(PLATFORM)

    def put_in_force(self, active: declarations.ActiveDeclaration) -> None:
        """Replaces the active configuration.

        Removes the reported rejection if it is not of a newer revision, and
        the reported conflict if it is of an older one.
        """
        revision = active.declaration.revision
        self._writer.put(IN_FORCE, active)
        rejected = self._table.get(REFUSED)
        if rejected and (rejected.revision or 0) <= revision:
            self._writer.remove(REFUSED)
        conflict = self._table.get(CONFLICT)
        if conflict and conflict.revision < revision:
            self._writer.remove(CONFLICT)
        _LOG.info(
            "configuration activated",
            extra={
                "revision": revision,
                "digest": active.declaration.digest,
                "source": active.source,
            },
        )

    def is_refused(self, version: revisions.Version) -> bool:
        """Returns whether this content has failed the check before."""
        return version.digest in self._refused

    def refuse(
        self,
        version: revisions.Version,
        problems: collections.abc.Sequence[option_schemas.Problem],
        now: float,
    ) -> None:
        """Reports a configuration that failed the check and remembers it.

        Does nothing if it is remembered already.
        """
        if self.is_refused(version):
            return
        self._refused.append(version.digest)
        self.report(version, declaration.describe_problems(problems), now)

    def report(
        self, version: revisions.Version, reason: str, now: float
    ) -> None:
        """Reports why a configuration was not activated."""
        rejected = declarations.RejectedConfiguration(
            revision=version.revision or None,
            digest=version.digest,
            reason=reason,
            refused_at=now,
        )
        self._writer.put(REFUSED, rejected)
        _LOG.error(
            "configuration not activated",
            extra={
                "revision": rejected.revision,
                "digest": rejected.digest,
                "reason": rejected.reason,
            },
        )

    def check_conflict(self, offered: revisions.Version, now: float) -> None:
        """Reports a conflict if ``offered`` reveals a new one.

        Two different contents of the same revision are a conflict.
        """
        conflict = revisions.merge_conflict(
            self._table.get(CONFLICT), offered, self.version, now
        )
        if conflict is None:
            return
        self._writer.put(CONFLICT, conflict)
        _LOG.error(
            "two configurations have the same revision; the one with the "
            "higher digest is used",
            extra={
                "revision": conflict.revision,
                "digests": conflict.digests,
            },
        )

    def put_platform_manifest(
        self,
        version: revisions.Version,
        result: platform_calls.PlatformResult,
    ) -> None:
        """Records which manifest the platform serves."""
        self._writer.put(
            PLATFORM,
            declarations.PlatformManifest(
                revision=version.revision,
                digest=version.digest,
                etag=result.etag,
                seen_at=result.received_at,
            ),
        )

    def remove_platform_manifest(self) -> None:
        """Removes the entry, as the platform serves an unreadable manifest."""
        self._writer.remove(PLATFORM)
