"""Decides whether a request may be sent that may crash the targets that run it.

A request that was in flight when its target ended is a suspect. A suspect is
sent to one target at a time, as a trial. A trial that is answered clears it, as
it merely was in flight. It is refused once three targets have ended with it, at
least one of them in a trial, and nothing has cleared it since.
"""

import collections.abc
import enum
import hashlib

from bramleyfork.entry import observations

# Targets that ended with a request that nothing has cleared since. From this
# number on a single host tries it, and it is refused after a trial crash.
CRASH_LIMIT = 3
# The same for a request that other services have answered meanwhile.
TRIAL_CRASH_LIMIT = 2
# A refused request is tried once more after this time, by a single host.
REFUSAL_S = 30.0
# Time after the last crash in which a host that hears from no other does not
# take itself for the one that may try a request.
ISOLATED_HOLD_S = 10.0
# Trial crashes after which it is not tried again.
MAX_TRIAL_CRASHES = 3
# Crashes within this time of the first one count as the first crashes.
OWNER_WINDOW_S = 1.0

_Observations = collections.abc.Collection[observations.Observation]


class Ruling(enum.Enum):
    """Whether a request may be sent to targets.

    Attributes:
      FREE: It may be sent like any other.
      TRIAL: It may be sent to one target at a time.
      HELD: Another host or request is trying it; it may be sent afterwards.
      REFUSED: It may not be sent.
    """

    FREE = "free"
    TRIAL = "trial"
    HELD = "held"
    REFUSED = "refused"


class Evidence:
    """What hosts have observed of one request, without what has ended.

    Attributes:
      crashes: One observation for each time that targets ended with it.
      trial_crashes: The same for trials.
      completions: One observation for each host at which it was answered.
    """

    __slots__ = ("crashes", "trial_crashes", "completions")

    def __init__(
        self,
        *,
        crashes: _Observations = (),
        trial_crashes: _Observations = (),
        completions: _Observations = (),
    ):
        self.crashes = crashes
        self.trial_crashes = trial_crashes
        self.completions = completions


def judge(
    evidence: Evidence,
    fingerprint: str,
    *,
    host: str,
    live_hosts: collections.abc.Collection[str],
    is_isolated: bool,
    now: float,
) -> Ruling:
    """Returns whether a host may send a request.

    Args:
      evidence: What hosts have observed of the request.
      fingerprint: Fingerprint of the request.
      host: Name of the host.
      live_hosts: Names of the hosts that serve callers, in its view.
      is_isolated: Whether it hears from none of the other hosts, which then
        can't tell it about trials of theirs.
      now: Monotonic time in seconds.
    """
    crashes = _list_open(evidence, evidence.crashes)
    trial_crashes = _list_open(evidence, evidence.trial_crashes)
    if not crashes and not trial_crashes:
        return Ruling.FREE
    trial_ends = _count_ends(trial_crashes)
    ends = _count_ends(crashes) + trial_ends
    has_completed = _has_completed(evidence, (*crashes, *trial_crashes))
    limit = TRIAL_CRASH_LIMIT if has_completed else 1
    is_proved = ends >= CRASH_LIMIT and trial_ends >= limit
    if is_proved and now < _find_refusal_end(trial_crashes):
        return Ruling.REFUSED
    if ends < CRASH_LIMIT or (has_completed and not is_proved):
        return Ruling.TRIAL
    last_at = max(c.observed_at for c in (*crashes, *trial_crashes))
    if is_isolated and now < last_at + ISOLATED_HOLD_S:
        return Ruling.HELD
    owner = _find_owner((*crashes, *trial_crashes), fingerprint, live_hosts)
    return Ruling.TRIAL if owner == host else Ruling.HELD


def find_refusal_end(evidence: Evidence) -> float:
    """Returns the monotonic time until which a request is refused."""
    return _find_refusal_end(_list_open(evidence, evidence.trial_crashes))


def _find_refusal_end(trial_crashes: _Observations) -> float:
    if _count_ends(trial_crashes) >= MAX_TRIAL_CRASHES:
        return max(crash.ends_at for crash in trial_crashes)
    last_at = max((c.observed_at for c in trial_crashes), default=-REFUSAL_S)
    return last_at + REFUSAL_S


def _list_open(
    evidence: Evidence, crashes: _Observations
) -> list[observations.Observation]:
    return [c for c in crashes if list_open_services(evidence, c)]


def _count_ends(crashes: _Observations) -> float:
    return sum(crash.value for crash in crashes)


def list_open_services(
    evidence: Evidence, crash: observations.Observation
) -> list[str]:
    """Returns the services of a crash at which the request is not cleared.

    It is cleared everywhere by a trial that was answered later, and at a single
    service by any later answer of that service.
    """
    later = [
        completion
        for completion in evidence.completions
        if completion.observed_at >= crash.observed_at
    ]
    if any(completion.value for completion in later):
        return []
    return [
        service
        for service in crash.services
        if not any(service in completion.services for completion in later)
    ]


def list_suspect_services(evidence: Evidence) -> list[str]:
    """Returns the services at which a request is not cleared, sorted."""
    crashes = (*evidence.crashes, *evidence.trial_crashes)
    return sorted(
        {
            service
            for crash in crashes
            for service in list_open_services(evidence, crash)
        }
    )


def needs_trial(evidence: Evidence, service: str) -> bool:
    """Returns whether a suspect must be tried before it is sent to a service.

    Once any service has answered it, it can only crash the targets of those at
    which it is not cleared.
    """
    if service in list_suspect_services(evidence):
        return True
    return not has_answer(evidence)


def has_answer(evidence: Evidence) -> bool:
    """Returns whether any service has answered a suspect since its crash."""
    crashes = (*evidence.crashes, *evidence.trial_crashes)
    return not crashes or _has_completed(evidence, crashes)


def is_worth_telling(
    evidence: Evidence, service: str, *, is_trial: bool
) -> bool:
    """Returns whether the answer of a service to a suspect changes a ruling."""
    if is_trial or service in list_suspect_services(evidence):
        return True
    crashes = (*evidence.crashes, *evidence.trial_crashes)
    return not crashes or not _has_completed(evidence, crashes)


def _has_completed(evidence: Evidence, crashes: _Observations) -> bool:
    """Returns whether any service has answered since the first crash.

    Then the request doesn't crash every target that it reaches.
    """
    first_at = min(crash.observed_at for crash in crashes)
    return any(o.observed_at >= first_at for o in evidence.completions)


def _find_owner(
    crashes: _Observations,
    fingerprint: str,
    live_hosts: collections.abc.Collection[str],
) -> str:
    """Returns the host that may try a request, the same one on every host.

    It is one of those that observed the first crashes, as all hosts hear of
    these first. If none of them is live, it is chosen among all live hosts.
    """
    first_at = min(crash.observed_at for crash in crashes)
    observers = {
        crash.host
        for crash in crashes
        if crash.observed_at < first_at + OWNER_WINDOW_S
    }
    return min(
        observers.intersection(live_hosts) or live_hosts,
        key=lambda host: _rank(fingerprint, host),
        default="",
    )


def _rank(fingerprint: str, host: str) -> bytes:
    return hashlib.blake2b(
        f"{fingerprint} {host}".encode(), digest_size=8
    ).digest()
