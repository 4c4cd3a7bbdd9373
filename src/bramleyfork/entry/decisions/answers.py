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
# A pause is observed again if it ends this much later than the one known.
_PAUSE_RESOLUTION_S = 0.02
# The ages of observations of other hosts are short by the time of their way.
_AGE_TOLERANCE_S = 0.1
_SERVICE_UNAVAILABLE = 503
# Statements after which attempts that wait for a connection are not sent.
_STOPPING_KINDS = frozenset((kinds.LEAVING, kinds.PAUSE))

Headers = collections.abc.Iterable[tuple[bytes, bytes]]


class Statement:
    """Something that a target says in the head of an answer.

    Attributes:
      kind: Name in ``decisions.observations.KINDS``.
      value: Value of the observation.
      lifetime_s: Seconds for which it holds; None for the default of the kind.
    """

    __slots__ = ("kind", "value", "lifetime_s")

    def __init__(
        self, *, kind: str, value: float, lifetime_s: float | None = None
    ):
        self.kind = kind
        self.value = value
        self.lifetime_s = lifetime_s


# Functions by the name of the field in HeaderNames. Each returns the statement
# that a header value makes in an answer with a status, or None if it makes none
# or is invalid.
READERS: registries.Registry[
    collections.abc.Callable[[bytes, int], Statement | None]
] = registries.Registry(kind="answer header")


@READERS.register("rate_limit")
def read_rate_limit(value: bytes, status: int) -> Statement | None:
    """Reads how many requests a second a target takes from all hosts."""
    del status
    limit_per_s = _parse_decimal(value)
    if limit_per_s is None:
        return None
    return Statement(kind=kinds.RATE_LIMIT, value=limit_per_s)


@READERS.register("leaving")
def read_leaving(value: bytes, status: int) -> Statement | None:
    """Reads whether a target leaves."""
    del status
    if value.strip() != b"1":
        return None
    return Statement(kind=kinds.LEAVING, value=1.0)


@READERS.register("retry_after")
def read_pause(value: bytes, status: int) -> Statement | None:
    """Reads for how long a target that refused a request wants no others.

    Dates are not read: clocks of targets and hosts may differ.
    """
    pause_s = _parse_decimal(value)
    if status != _SERVICE_UNAVAILABLE or not pause_s:
        return None
    return Statement(kind=kinds.PAUSE, value=pause_s, lifetime_s=pause_s)


Statements = collections.abc.Mapping[str, Statement]


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

    def read(self, headers: Headers, status: int = 200) -> Statements:
        """Returns the statements in an answer by their kind.

        Args:
          headers: Names and values of its header fields.
          status: Its status code.
        """
        found = {}
        for name, value in headers:
            read = self._readers.get(name.lower())
            statement = read(value, status) if read else None
            if statement is not None:
                found[statement.kind] = statement
        return found


def is_stopping(statements: Statements) -> bool:
    """Returns whether a target wants no more requests from the host it told."""
    return not _STOPPING_KINDS.isdisjoint(statements)


def build_findings(
    target: declarations.ListedTarget,
    statements: Statements,
    known: collections.abc.Callable[[str, str], kinds.Known | None],
    *,
    host: str,
    sent_at: float,
    now: float,
    is_health_check: bool = False,
) -> list[observations.Finding]:
    """Returns what an answer of a target adds to what is known of it.

    A limit ends with an answer that doesn't name it, if its request was sent
    after the limit was observed. Health checks need not name it.

    A target that leaves doesn't come back, but another process may start under
    its id. If its start isn't listed, a health check shows it.

    Args:
      target: The target.
      statements: Its statements by kind.
      known: Returns the observations of a kind and subject.
      host: Name of this host.
      sent_at: Monotonic time in seconds at which the request was sent.
      now: Monotonic time in seconds.
      is_health_check: Whether it is the answer to a health check, by which the
        target is healthy.
    """
    found = dict(statements)
    limit = kinds.find_latest(
        known(kinds.RATE_LIMIT, target.target), target.born_ms, now
    )
    is_later = (
        limit is not None and sent_at > limit.observed_at + _AGE_TOLERANCE_S
    )
    if is_later and not is_health_check:
        found.setdefault(
            kinds.RATE_LIMIT,
            Statement(kind=kinds.RATE_LIMIT, value=kinds.NO_LIMIT),
        )
    is_leaving = known(kinds.LEAVING, target.target) is not None
    if is_leaving and is_health_check and not target.born_ms:
        found.setdefault(
            kinds.LEAVING, Statement(kind=kinds.LEAVING, value=0.0)
        )
    return [
        observations.Finding(
            kind=statement.kind,
            subject=target.target,
            born_ms=target.born_ms,
            value=statement.value,
            lifetime_s=statement.lifetime_s,
        )
        for statement in found.values()
        if _is_news(
            known(statement.kind, target.target),
            target,
            statement,
            host=host,
            now=now,
        )
    ]


def _is_news(
    known: kinds.Known | None,
    target: declarations.ListedTarget,
    statement: Statement,
    *,
    host: str,
    now: float,
) -> bool:
    if statement.kind == kinds.PAUSE:
        own = kinds.find_latest(known, target.born_ms, now, host=host)
        ends_at = now + statement.value
        return own is None or own.ends_at + _PAUSE_RESOLUTION_S < ends_at
    latest = kinds.find_latest(known, target.born_ms, now)
    if latest is None or latest.value != statement.value:
        return True
    is_repeated = latest.observed_at <= now - _REPEAT_INTERVAL_S
    return statement.value != kinds.NO_LIMIT and is_repeated


def _parse_decimal(value: bytes) -> float | None:
    """Returns a number of at least 0; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0.0:
        return None
    return min(number, kinds.NO_LIMIT)
