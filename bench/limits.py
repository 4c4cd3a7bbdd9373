"""Compares three rate limiters for clients that share a cold target.

Run ``python -m bench.limits``. The target can handle a fixed request rate. The
clock is simulated and the seed is fixed, so each run gives equal figures.
"""

import heapq
import json
import random
import sys
import typing

from bench import demo
from bramleyfork.core import records
from bramleyfork.core import registries

SEED = 1
CLIENTS = 20
RATE = 10.0  # Requests per second that the target can handle.
SECONDS = 120.0
# Mean demand as a fraction of RATE, beside one initial request per client.
DEMAND = 0.9
DEADLINE_S = 4.0
_POLL_S = 0.1  # Mean interval between two polls of the token bucket.
_BURST = 2.0  # Capacity of the token bucket; equals the usual cold limit.


class Decision(records.Record):
    """Decision of a limiter on one request.

    Attributes:
      admitted_at: When the request may be sent, seconds; None if it is denied.
      retry_at: When the client may ask again after a denial, seconds; None if
        the denial is final.
    """

    __slots__ = ("admitted_at", "retry_at")

    def __init__(
        self, *, admitted_at: float | None = None, retry_at: float | None = None
    ):
        self.admitted_at = admitted_at
        self.retry_at = retry_at


class Limiter:
    """Limits the rate of requests to one target.

    Args:
      rng: Source of the jitter.
    """

    __slots__ = ("rng",)

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def check(self, now: float, deadline: float) -> Decision:
        """Admits a request now, at a later time, or denies it.

        Args:
          now: Current simulated time, seconds.
          deadline: Latest time at which the request is of use, seconds.
        """
        raise NotImplementedError


LIMITERS: registries.Registry[type[Limiter]] = registries.Registry(
    kind="limiter"
)


@LIMITERS.register("refuse with retry-after")
class Refusing(Limiter):
    """Denies early requests and returns when the next one may be sent.

    All denied clients get the same time and compete for it again.
    """

    __slots__ = ("_next_at",)

    def __init__(self, *, rng: random.Random):
        super().__init__(rng=rng)
        self._next_at = 0.0

    def check(self, now: float, deadline: float) -> Decision:
        """Admits one request per interval."""
        del deadline
        if now < self._next_at:
            return Decision(retry_at=self._next_at)
        self._next_at = now + 1.0 / RATE
        return Decision(admitted_at=now)


@LIMITERS.register("token bucket, polled")
class Bucket(Limiter):
    """Token bucket that denied clients poll at intervals with jitter."""

    __slots__ = ("_tokens", "_filled_at")

    def __init__(self, *, rng: random.Random):
        super().__init__(rng=rng)
        self._tokens = _BURST
        self._filled_at = 0.0

    def check(self, now: float, deadline: float) -> Decision:
        """Admits the request if a token is available."""
        del deadline
        filled = self._tokens + (now - self._filled_at) * RATE
        self._tokens = min(_BURST, filled)
        self._filled_at = now
        if self._tokens < 1.0:
            return Decision(retry_at=now + _POLL_S * self.rng.uniform(0.5, 1.5))
        self._tokens -= 1.0
        return Decision(admitted_at=now)


@LIMITERS.register("reservation")
class Reservation(Limiter):
    """Reserves the next free slot (generic cell rate algorithm)."""

    __slots__ = ("_theoretical_arrival",)

    def __init__(self, *, rng: random.Random):
        super().__init__(rng=rng)
        self._theoretical_arrival = 0.0

    def check(self, now: float, deadline: float) -> Decision:
        """Reserves a slot before the deadline, or denies it for good."""
        slot = max(now, self._theoretical_arrival)
        if slot > deadline:
            return Decision()
        self._theoretical_arrival = slot + 1.0 / RATE
        return Decision(admitted_at=slot)


def list_arrivals(seed: int) -> list[float]:
    """Returns arrival times: one request per client at 0, then Poisson."""
    rng = random.Random(seed)
    arrivals = [0.0] * CLIENTS
    now = rng.expovariate(DEMAND * RATE)
    while now < SECONDS:
        arrivals.append(now)
        now += rng.expovariate(DEMAND * RATE)
    return arrivals


def run_limiter(name: str, seed: int = SEED) -> dict[str, typing.Any]:
    """Returns the figures of one limiter; equal seeds give equal figures."""
    limiter = LIMITERS.find(name)(rng=random.Random(seed))
    # Clients that ask at the same time are served in a random order.
    order = random.Random(seed + 1)
    events = [(at, order.random(), at) for at in list_arrivals(seed)]
    heapq.heapify(events)
    admitted: list[tuple[float, float]] = []
    denied = expired = 0
    while events:
        now, _, arrived = heapq.heappop(events)
        deadline = arrived + DEADLINE_S
        reply = limiter.check(now, deadline)
        if reply.admitted_at is not None:
            admitted.append((reply.admitted_at, arrived))
            continue
        denied += 1
        if reply.retry_at is None or reply.retry_at > deadline:
            expired += 1
            continue
        heapq.heappush(events, (reply.retry_at, order.random(), arrived))
    return _describe(name, admitted, denied, expired)


def _describe(
    name: str, admitted: list[tuple[float, float]], denied: int, expired: int
) -> dict[str, typing.Any]:
    times = sorted(at for at, _ in admitted)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    waits = [at - arrived for at, arrived in admitted]
    interval = 1.0 / RATE
    return {
        "limiter": name,
        "let_through": len(admitted),
        "denied_per_let": round(denied / max(1, len(admitted)), 3),
        "gave_up": expired,
        "least_gap_ms": round(1000 * min(gaps, default=0.0), 1),
        # The tolerance keeps rounding errors from counting as short gaps.
        "short_gaps": sum(gap < interval - 1e-9 for gap in gaps),
        "wait_p50_ms": demo.compute_percentile_ms(waits, 50),
        "wait_p99_ms": demo.compute_percentile_ms(waits, 99),
    }


def build_table(rows: list[dict[str, typing.Any]]) -> str:
    """Returns a Markdown table with a row per limiter."""
    heads = list(rows[0])
    lines = [f"| {' | '.join(heads)} |", "|" + " --- |" * len(heads)]
    lines += [f"| {' | '.join(str(r[h]) for h in heads)} |" for r in rows]
    return "\n".join(lines)


def main() -> int:
    """Prints a Markdown table and, as the last line, a JSON object."""
    rows = [run_limiter(name) for name in LIMITERS.list_names()]
    print(build_table(rows))  # noqa: T201
    print(json.dumps({"seed": SEED, "rows": rows}))  # noqa: T201
    return 0


if __name__ == "__main__":
    sys.exit(main())
