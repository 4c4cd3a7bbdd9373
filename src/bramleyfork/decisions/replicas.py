"""Chooses the replica that a sub-request is sent to."""

import collections.abc
import random

from bramleyfork.core import records
from bramleyfork.core import registries

# Assumed latency of a target without samples; low, so that new targets are
# tried early.
_UNKNOWN_LATENCY_S = 0.001


class ReplicaCandidate(records.Record):
    """A replica that a sub-request can be sent to.

    Attributes:
      target: Name of the target.
      outstanding: Number of unanswered attempts of this router at the target.
      queue_length: Number of sub-requests that its owner holds for the target,
        as last reported.
      latency_s: Average latency measured by this router, seconds; None without
        samples.
      failing: Whether the last attempts failed.
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
    """Returns the expected latency of one more sub-request, seconds.

    It is estimated from the owner's queue and this router's own count. The load
    that the target itself reports is not used, because it lags and misleads.
    """
    latency_s = candidate.latency_s or _UNKNOWN_LATENCY_S
    return latency_s * (1 + candidate.outstanding + candidate.queue_length)


@POLICIES.register("power_of_two")
def choose_by_power_of_two(
    candidates: collections.abc.Sequence[ReplicaCandidate], rng: random.Random
) -> ReplicaCandidate:
    """Returns the better of two candidates sampled at random."""
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
    """Returns a random candidate; a baseline for measurements."""
    return rng.choice(list(candidates))
