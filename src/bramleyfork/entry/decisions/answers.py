"""Derives what a target says about itself from the headers of its answers."""

import collections.abc
import math

from bramleyfork.core import registries
from bramleyfork.entry import declarations
from bramleyfork.entry import http_headers
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import observations as kinds

# A target repeats a statement in each answer. It is observed again if no host
# has observed it for this long.
_REPEAT_INTERVAL_S = 5.0

Headers = collections.abc.Iterable[tuple[bytes, bytes]]


class Statement:
    """Something that a target says in the head of an answer.

    Attributes:
      kind: Name in ``decisions.observations.KINDS``.
      value: Value of the observation.
    """

    __slots__ = ("kind", "value")

    def __init__(self, *, kind: str, value: float):
        self.kind = kind
        self.value = value


# Functions by the name of the field in HeaderNames. Each returns the statement
# that a header value makes, or None for a value that is invalid.
READERS: registries.Registry[
    collections.abc.Callable[[bytes], Statement | None]
] = registries.Registry(kind="answer header")


@READERS.register("rate_limit")
def read_rate_limit(value: bytes) -> Statement | None:
    """Reads how many requests a second a target takes from all hosts."""
    limit_per_s = _parse_decimal(value)
    if limit_per_s is None:
        return None
    return Statement(kind=kinds.RATE_LIMIT, value=limit_per_s)


@READERS.register("leaving")
def read_leaving(value: bytes) -> Statement | None:
    """Reads whether a target leaves."""
    if value.strip() != b"1":
        return None
    return Statement(kind=kinds.LEAVING, value=1.0)


class AnswerReader:
    """Reads the statements of answers.

    Args:
      header_names: Header names used with targets.
    """

    __slots__ = ("_readers",)

    def __init__(self, *, header_names: http_headers.HeaderNames):
        self._readers = {
            getattr(header_names, field): read
            for field, read in READERS.list_items()
        }

    def read(self, headers: Headers) -> dict[str, float]:
        """Returns the values of the statements in an answer by their kind."""
        found = {}
        for name, value in headers:
            read = self._readers.get(name.lower())
            statement = read(value) if read else None
            if statement is not None:
                found[statement.kind] = statement.value
        return found


def build_findings(
    target: declarations.ListedTarget,
    statements: collections.abc.Mapping[str, float],
    known: collections.abc.Callable[[str, str], kinds.Known | None],
    *,
    now: float,
    is_health_check: bool = False,
) -> list[observations.Finding]:
    """Returns what an answer of a target adds to what is known of it.

    A target that leaves doesn't come back, but another process may start under
    its id. If its start isn't listed, a health check shows it.

    Args:
      target: The target.
      statements: Values of its statements by kind.
      known: Returns the observations of a kind and subject.
      now: Monotonic time in seconds.
      is_health_check: Whether it is the answer to a health check, by which the
        target is healthy.
    """
    found = dict(statements)
    # A limit ends with the first answer that doesn't name it.
    is_limited = known(kinds.RATE_LIMIT, target.target) is not None
    if is_limited and kinds.RATE_LIMIT not in found:
        found[kinds.RATE_LIMIT] = kinds.NO_LIMIT
    is_leaving = known(kinds.LEAVING, target.target) is not None
    if is_leaving and is_health_check and not target.born_ms:
        found.setdefault(kinds.LEAVING, 0.0)
    return [
        observations.Finding(
            kind=kind,
            subject=target.target,
            born_ms=target.born_ms,
            value=value,
        )
        for kind, value in found.items()
        if _is_news(known(kind, target.target), target, value, now=now)
    ]


def _is_news(
    known: kinds.Known | None,
    target: declarations.ListedTarget,
    value: float,
    *,
    now: float,
) -> bool:
    latest = kinds.find_latest(known, target.born_ms, now)
    if latest is None or latest.value != value:
        return True
    is_repeated = latest.observed_at <= now - _REPEAT_INTERVAL_S
    return value != kinds.NO_LIMIT and is_repeated


def _parse_decimal(value: bytes) -> float | None:
    """Returns a number of at least 0; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0.0:
        return None
    return min(number, kinds.NO_LIMIT)
