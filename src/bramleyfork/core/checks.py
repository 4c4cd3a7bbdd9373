"""Records of the check of a published configuration."""

import typing

from bramleyfork.core import declarations
from bramleyfork.core import records


class CheckOrder(records.Record):
    """A configuration that was fetched whole and is to be checked.

    Attributes:
      digest: SHA-256 of its manifest.
      bodies: Its manifest and parts by key.
    """

    __slots__ = ("digest", "bodies")

    def __init__(self, *, digest: str, bodies: dict[str, bytes]):
        self.digest = digest
        self.bodies = bodies


class CheckResult(records.Record):
    """What the check found.

    Attributes:
      digest: As in the order.
      declaration: The accepted configuration; None when it is refused.
      problems: Why it is refused, as problems of the configuration.
    """

    __slots__ = ("digest", "declaration", "problems")

    def __init__(
        self,
        *,
        digest: str,
        declaration: declarations.Declaration | None,
        problems: tuple[typing.Any, ...] = (),
    ):
        self.digest = digest
        self.declaration = declaration
        self.problems = problems
