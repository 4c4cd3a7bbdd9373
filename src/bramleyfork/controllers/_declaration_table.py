"""What the configuration controller writes to the declaration table."""

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

_REFUSED_LIMIT = 64  # Refused digests remembered, to fetch each once.

IN_FORCE = "in_force"
REFUSED = "refused"
CONFLICT = "conflict"
PLATFORM = "platform"


class DeclarationTable:
    """The keys of the declaration table and when they are removed.

    Args:
      table: The table, for reading.
      writer: The right to change it.
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
        """The configuration in force, if there is one."""
        return self._table.get(IN_FORCE)

    @property
    def version(self) -> revisions.Version:
        """The version in force."""
        if self.active is None:
            return revisions.NO_VERSION
        return revisions.read_version(self.active.declaration)

    @property
    def platform_manifest(self) -> declarations.PlatformManifest | None:
        """The manifest that the platform served last."""
        return self._table.get(PLATFORM)

    def put_in_force(self, active: declarations.ActiveDeclaration) -> None:
        """Replaces the configuration in force and drops outdated reports."""
        revision = active.declaration.revision
        self._writer.put(IN_FORCE, active)
        rejected = self._table.get(REFUSED)
        if rejected and (rejected.revision or 0) <= revision:
            self._writer.remove(REFUSED)
        conflict = self._table.get(CONFLICT)
        if conflict and conflict.revision < revision:
            self._writer.remove(CONFLICT)
        _LOG.info(
            "configuration in force",
            extra={
                "revision": revision,
                "digest": active.declaration.digest,
                "source": active.source,
            },
        )

    def is_refused(self, version: revisions.Version) -> bool:
        """Returns whether the check has refused this content before."""
        return version.digest in self._refused

    def refuse(
        self,
        version: revisions.Version,
        problems: collections.abc.Sequence[option_schemas.Problem],
        now: float,
    ) -> None:
        """Reports and remembers a configuration that the check refused."""
        if self.is_refused(version):
            return
        self._refused.append(version.digest)
        self.report(version, declaration.describe_problems(problems), now)

    def report(
        self, version: revisions.Version, reason: str, now: float
    ) -> None:
        """Reports why a configuration was not put in force."""
        rejected = declarations.RejectedConfiguration(
            revision=version.revision or None,
            digest=version.digest,
            reason=reason,
            refused_at=now,
        )
        self._writer.put(REFUSED, rejected)
        _LOG.error(
            "configuration not put in force",
            extra={
                "revision": rejected.revision,
                "digest": rejected.digest,
                "reason": rejected.reason,
            },
        )

    def note_offer(self, offered: revisions.Version, now: float) -> None:
        """Reports a conflict if ``offered`` shows a new one."""
        conflict = revisions.merge_conflict(
            self._table.get(CONFLICT), offered, self.version, now
        )
        if conflict is None:
            return
        self._writer.put(CONFLICT, conflict)
        _LOG.error(
            "two configurations at one revision; the higher digest wins",
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
        """Notes which manifest the platform serves."""
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
        """Notes that the platform serves an unreadable manifest."""
        self._writer.remove(PLATFORM)
