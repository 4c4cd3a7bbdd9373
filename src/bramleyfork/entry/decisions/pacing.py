"""Keeps the requests of all hosts to a target within the limit that it names.

Each host sends a fixed share of the limit, so the sum keeps to it without an
exchange between the hosts. A host spaces its requests by the generic cell rate
algorithm, which keeps one number per target: the time at which the next request
would be due if they were sent at equal intervals.
"""

import hashlib
import math

# Hosts among which a host that has heard of no other one divides a limit.
_UNKNOWN_FLEET_HOSTS = 8
# Fraction of a limit that the hosts share to which the directory sends callers,
# if there are others. The rest is for these, as callers keep old answers of the
# directory.
_LISTED_FRACTION = 0.8
# Requests above the limit that all hosts together may send after a pause, in
# seconds of the limit and as a number. Targets count over some seconds.
_BURST_S = 1.0
_BURST_REQUESTS = 2.0
_MAX_BURST = 4.0


class Share:
    """The part of a target's limit that one host may use.

    Attributes:
      interval_s: Mean time between two requests in seconds; infinite if the
        host may send none.
      burst: Number of requests that it may send back to back after a pause, at
        least 1.
    """

    __slots__ = ("interval_s", "burst")

    def __init__(self, *, interval_s: float, burst: float):
        self.interval_s = interval_s
        self.burst = burst


def compute_fraction(
    *,
    is_listed: bool,
    listed_hosts: int,
    known_hosts: int,
    knows_fleet: bool,
) -> float:
    """Returns the fraction of each target's limit that a host may use.

    Args:
      is_listed: Whether the directory sends callers to the host.
      listed_hosts: Number of hosts to which it sends callers.
      known_hosts: Number of hosts in the view of this host. Those that are down
        count for as long as they are known, so a part of the fleet that is cut
        off uses its own part of the limit only.
      knows_fleet: Whether this host has heard of another one, or is the only
        host of its fleet.
    """
    if not knows_fleet:
        return 1.0 / max(known_hosts, _UNKNOWN_FLEET_HOSTS)
    if known_hosts <= listed_hosts:
        return 1.0 / known_hosts
    if is_listed:
        return _LISTED_FRACTION / listed_hosts
    return (1.0 - _LISTED_FRACTION) / (known_hosts - listed_hosts)


def compute_share(limit_per_s: float, fraction: float) -> Share:
    """Returns a host's share of a limit.

    Args:
      limit_per_s: Requests per second that the target takes from all hosts.
      fraction: Fraction of the limit that the host may use, above 0.
    """
    rate = limit_per_s * fraction
    burst = (limit_per_s * _BURST_S + _BURST_REQUESTS) * fraction
    return Share(
        interval_s=1.0 / rate if rate > 0.0 else math.inf,
        burst=min(_MAX_BURST, max(1.0, burst)),
    )


def find_first_due(target: str, host: str, now: float, share: Share) -> float:
    """Returns when the first request after the naming of a limit is due.

    The hosts begin at different moments, as many hosts that each sent one
    request at once would exceed a low limit together.
    """
    if math.isinf(share.interval_s):
        return math.inf
    digest = hashlib.blake2b(f"{target} {host}".encode(), digest_size=4)
    phase = int.from_bytes(digest.digest(), "big") / 2**32
    return now + (phase + share.burst - 1.0) * share.interval_s


def find_delay(due_at: float, now: float, share: Share) -> float:
    """Returns the seconds until a request may be sent; 0 if it may be now.

    Args:
      due_at: Monotonic time at which the next request is due.
      now: Monotonic time in seconds.
      share: This host's share of the limit.
    """
    if math.isinf(share.interval_s):
        return math.inf
    return max(0.0, due_at - (share.burst - 1.0) * share.interval_s - now)


def advance(due_at: float, now: float, share: Share) -> float:
    """Returns when the next request is due after one that is sent now."""
    return max(due_at, now) + share.interval_s
