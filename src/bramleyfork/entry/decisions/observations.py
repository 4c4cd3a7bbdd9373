"""Kinds of observations: how they are merged and how long they hold."""

import collections.abc

from bramleyfork.core import registries
from bramleyfork.entry import observations

# Services that one observation names; bounds the size of a datagram.
MAX_SERVICES = 16
# Occasions that are kept of one kind, subject and host.
MAX_OCCASIONS = 4
# Observations that a host keeps. Each takes about 1 kB.
MAX_OBSERVATIONS = 10_000
# Hosts that the owner tells of a new observation at once. If there are more
# hosts than that, each of them passes it on once to a few others.
FANOUT = 8
RELAY_FANOUT = 4
OBSERVATIONS_PER_MESSAGE = 8
# Owners send new observations this often, as datagrams may be lost.
SEND_ROUNDS = 3
SEND_INTERVAL_S = 0.3
# Interval at which a host sends some observations to a random host, which may
# have missed them.
ANTI_ENTROPY_INTERVAL_S = 1.0
# Observations in such an exchange, about 1 kB, and for a host that is new.
EXCHANGE_SIZE = 8
NEW_HOST_SIZE = 256

CRASH = "crash"
TRIAL_CRASH = "trial_crash"
COMPLETION = "completion"
RATE_LIMIT = "rate_limit"
LEAVING = "leaving"
PAUSE = "pause"

# Value of a rate limit that has ended, in requests per second.
NO_LIMIT = 1e9


REQUEST_TABLE = "request_observations"
TARGET_TABLE = "target_observations"


class Kind:
    """How observations of one kind are made and kept.

    Attributes:
      table: Section of the blackboard that holds them, by what they are about.
      lifetime_s: Longest time in seconds for which an observation holds.
      merge: Returns the value after another finding on the same occasion, from
        the value so far and that of the finding.
    """

    __slots__ = ("table", "lifetime_s", "merge")

    def __init__(
        self,
        *,
        table: str,
        lifetime_s: float,
        merge: collections.abc.Callable[[float, float], float],
    ):
        self.table = table
        self.lifetime_s = lifetime_s
        self.merge = merge


KINDS: registries.Registry[Kind] = registries.Registry(kind="observation")

Key = tuple[str, str]
Known = tuple[observations.Observation, ...]


def register_kind(
    name: str, *, table: str, lifetime_s: float
) -> collections.abc.Callable[
    [collections.abc.Callable[[float, float], float]],
    collections.abc.Callable[[float, float], float],
]:
    """Returns a decorator that registers a kind by its merge function.

    Args:
      name: Name of the kind.
      table: REQUEST_TABLE or TARGET_TABLE.
      lifetime_s: Longest time in seconds for which an observation holds.
    """

    def store(merge):
        KINDS.register(name)(
            Kind(table=table, lifetime_s=lifetime_s, merge=merge)
        )
        return merge

    return store


@register_kind(CRASH, table=REQUEST_TABLE, lifetime_s=300.0)
@register_kind(TRIAL_CRASH, table=REQUEST_TABLE, lifetime_s=300.0)
def count_ends(before: float, added: float) -> float:
    """Counts the targets that ended on one occasion."""
    return before + added


@register_kind(COMPLETION, table=REQUEST_TABLE, lifetime_s=300.0)
def keep_strongest(before: float, added: float) -> float:
    """Keeps 1 once a trial has completed."""
    return max(before, added)


# Targets that leave are gone within minutes. A rolling restart of all of them
# within a day stays below MAX_OBSERVATIONS.
@register_kind(LEAVING, table=TARGET_TABLE, lifetime_s=3600.0)
# A pause ends when the target said. It may say more than anybody waits for.
@register_kind(PAUSE, table=TARGET_TABLE, lifetime_s=600.0)
# A target names its limit in each answer; without answers it is forgotten.
@register_kind(RATE_LIMIT, table=TARGET_TABLE, lifetime_s=30.0)
def keep_last(before: float, added: float) -> float:
    """Keeps what the target said last."""
    del before
    return added


def get_key(observation: observations.Observation) -> Key:
    """Returns the key under which a host keeps an observation."""
    return observation.kind, observation.subject


def get_origin(observation: observations.Observation) -> tuple[str, str]:
    """Returns owner and occasion; of each pair the newest one counts."""
    return observation.host, observation.occasion


def select_in_force(known: Known | None, now: float) -> Known:
    """Returns the observations that still hold.

    Args:
      known: Observations of one kind and subject; None for none.
      now: Monotonic time in seconds.
    """
    return tuple(o for o in known or () if o.ends_at > now)


def find_latest(
    known: Known | None, born_ms: int, now: float, *, host: str | None = None
) -> observations.Observation | None:
    """Returns the latest observation of one process of a target, or None.

    Args:
      known: Observations of one kind and target; None for none.
      born_ms: Start of the target's process in milliseconds since 1970.
      now: Monotonic time in seconds.
      host: Name of the only owner that counts; None for all.
    """
    if not known:
        return None
    return max(
        (
            o
            for o in select_in_force(known, now)
            if o.born_ms == born_ms and host in (None, o.host)
        ),
        key=lambda o: (o.observed_at, o.host),
        default=None,
    )


def merge(known: Known, received: observations.Observation) -> Known | None:
    """Returns the observations with a new one, or None if nothing changes.

    An observation replaces an older one of the same host and occasion. Of each
    host the last ``MAX_OCCASIONS`` are kept.

    Args:
      known: Observations of the same kind and subject.
      received: The new observation.
    """
    others = []
    for observation in known:
        if get_origin(observation) != get_origin(received):
            others.append(observation)
        elif _compute_version(observation) >= _compute_version(received):
            return None
    own = [o for o in (*others, received) if o.host == received.host]
    if len(own) > MAX_OCCASIONS:
        oldest = min(own, key=_compute_version)
        if oldest is received:
            return None
        others.remove(oldest)
    return (*others, received)


def combine(
    before: observations.Observation | None,
    finding: observations.Finding,
    *,
    host: str,
    incarnation: int,
    number: int,
    now: float,
) -> observations.Observation:
    """Returns the observation of this host after a finding.

    Args:
      before: This host's observation on the same occasion; None for none.
      finding: What was learnt.
      host: Name of this host.
      incarnation: Milliseconds since 1970 at the start of this process.
      number: Number of the new observation.
      now: Monotonic time in seconds.
    """
    kind = KINDS.find(finding.kind)
    lifetime_s = kind.lifetime_s
    if finding.lifetime_s is not None:
        lifetime_s = min(lifetime_s, finding.lifetime_s)
    services = before.services if before else ()
    if finding.service and finding.service not in services:
        services = (*services, finding.service)[-MAX_SERVICES:]
    return observations.Observation(
        kind=finding.kind,
        subject=finding.subject,
        host=host,
        incarnation=incarnation,
        number=number,
        occasion=finding.occasion,
        born_ms=finding.born_ms,
        services=services,
        value=kind.merge(before.value if before else 0.0, finding.value),
        observed_at=now,
        ends_at=now + lifetime_s,
    )


def set_times(
    received: observations.ReceivedObservation, now: float
) -> observations.Observation:
    """Returns a received observation with times of this host.

    It holds for no longer than its kind allows, whatever the sender says.

    Raises:
      UnknownNameError: The kind is not registered.
    """
    kind = KINDS.find(received.observation.kind)
    remaining_s = min(received.remaining_s, kind.lifetime_s)
    return received.observation.replace(
        observed_at=now - received.age_s, ends_at=now + remaining_s
    )


def _compute_version(
    observation: observations.Observation,
) -> tuple[int, int]:
    return observation.incarnation, observation.number
