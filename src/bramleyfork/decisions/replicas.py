"""Choice of the replica that gets a sub-request."""

import collections.abc
import random

from bramleyfork.core import records
from bramleyfork.core import registries

# Assumed latency of a target without samples; low, so that new targets are
# tried early.
_UNKNOWN_LATENCY_S = 0.001


class ReplicaCandidate(records.Record):
    """A replica that could be asked.

    Attributes:
      target: Name of the target.
      outstanding: This router's unanswered attempts at it.
      queue_length: Sub-requests its owner last reported as held for it.
      latency_s: Average latency seen by this router, or None.
      failing: Whether its last attempts failed.
    """

    __slots__ = (
        "target",
        "outstanding",
        "queue_length",
        "latency_s",
        "failing",
    )

    def __init__(
        self,
        *,
        target: str,
        outstanding: int,
        queue_length: int,
        latency_s: float | None,
        failing: bool,
    ):
        self.target = target
        self.outstanding = outstanding
        self.queue_length = queue_length
        self.latency_s = latency_s
        self.failing = failing


Policy = collections.abc.Callable[
    [collections.abc.Sequence[ReplicaCandidate], random.Random],
    ReplicaCandidate,
]
POLICIES: registries.Registry[Policy] = registries.Registry(
    kind="replica policy"
)


def estimate_latency(candidate: ReplicaCandidate) -> float:
    """Returns the latency in seconds that one more sub-request would see.

    Load reported by the target itself is not used, as it lags and misleads;
    the owner's queue and this router's own count are.
    """
    latency_s = candidate.latency_s or _UNKNOWN_LATENCY_S
    return latency_s * (1 + candidate.outstanding + candidate.queue_length)


@POLICIES.register("power_of_two")
def choose_by_power_of_two(
    candidates: collections.abc.Sequence[ReplicaCandidate], rng: random.Random
) -> ReplicaCandidate:
    """Returns the better of two random candidates."""
    sample = (
        rng.sample(list(candidates), 2) if len(candidates) > 2 else candidates
    )
    return min(sample, key=lambda c: (c.failing, estimate_latency(c)))


@POLICIES.register("least_latency")
def choose_by_latency(
    candidates: collections.abc.Sequence[ReplicaCandidate], rng: random.Random
) -> ReplicaCandidate:
    """Returns the candidate with the lowest estimated latency."""
    del rng
    return min(candidates, key=lambda c: (c.failing, estimate_latency(c)))


@POLICIES.register("random")
def choose_at_random(
    candidates: collections.abc.Sequence[ReplicaCandidate], rng: random.Random
) -> ReplicaCandidate:
    """Returns any candidate; the plain variant of measurements."""
    return rng.choice(list(candidates))
