"""Records for the validation of a published configuration.

The configuration controller orders the check; the checker runs it on a thread
of its own and returns the result.
"""

import typing

from bramleyfork.core import declarations
from bramleyfork.core import records


class CheckOrder(records.Record):
    """A completely fetched configuration that is to be validated.

    Attributes:
      digest: SHA-256 of its manifest, hexadecimal.
      bodies: Content of its manifest and parts, by key.
    """

    __slots__ = ("digest", "bodies")

    def __init__(self, *, digest: str, bodies: dict[str, bytes]):
        self.digest = digest
        self.bodies = bodies


class CheckResult(records.Record):
    """Result of the validation of a configuration.

    Attributes:
      digest: Digest of the ``CheckOrder``.
      declaration: The accepted configuration; None if it is rejected.
      problems: Reasons for the rejection (``configuration.tables.Problem``).
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
