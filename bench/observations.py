"""Measures size and processor time of what entry hosts learn from answers.

python -m bench.observations
"""

import collections.abc
import json
import time

from absl import app

from bramleyfork.entry import observations
from bramleyfork.entry.decisions import observations as kinds
from bramleyfork.entry.decisions import pacing
from bramleyfork.entry.decisions import quarantine
from bramleyfork.entry.transports import peers

_NOW = 1000.0
_REPEATS = 20_000


def _build_crash(number: int) -> observations.Observation:
    return observations.Observation(
        kind=kinds.CRASH,
        subject=f"{number:016x}",
        host=f"front-zaragoza-{number}",
        incarnation=1_772_390_912_002,
        number=number,
        occasion=f"{number:016x}",
        services=("reservas~12", "reservas~3"),
        value=2.0,
        observed_at=_NOW - 1.0,
        ends_at=_NOW + 299.0,
    )


def _measure_us(work: collections.abc.Callable[[], object]) -> float:
    """Returns the mean time of a call in microseconds."""
    begin = time.process_time()
    for _ in range(_REPEATS):
        work()
    return round((time.process_time() - begin) / _REPEATS * 1e6, 2)


def measure() -> dict[str, float]:
    """Returns sizes in bytes and times in microseconds."""
    batch = tuple(
        _build_crash(n) for n in range(kinds.OBSERVATIONS_PER_MESSAGE)
    )
    datagram = peers.encode_observations(batch, _NOW)
    evidence = quarantine.Evidence(crashes=batch[:2])
    hosts = [f"front-zaragoza-{n}" for n in range(200)]
    share = pacing.compute_share(13.5, 1 / 6)
    return {
        "datagram_bytes": len(datagram),
        "observation_bytes": round(len(datagram) / len(batch), 1),
        "datagrams_of_owner": kinds.SEND_ROUNDS * kinds.FANOUT,
        "datagrams_of_others": kinds.RELAY_FANOUT,
        "exchange_bytes_per_s": len(datagram) / kinds.ANTI_ENTROPY_INTERVAL_S,
        "encode_us": _measure_us(
            lambda: peers.encode_observations(batch, _NOW)
        ),
        "decode_us": _measure_us(lambda: peers.decode_observations(datagram)),
        "merge_us": _measure_us(lambda: kinds.merge(batch[:2], batch[3])),
        "judge_us": _measure_us(
            lambda: quarantine.judge(
                evidence,
                "f1",
                host="front-zaragoza-1",
                live_hosts=hosts,
                is_isolated=False,
                now=_NOW,
            )
        ),
        "pace_us": _measure_us(lambda: pacing.find_delay(_NOW, _NOW, share)),
    }


def main(argv: list[str]) -> None:
    """Prints the measurements as JSON."""
    del argv
    print(json.dumps(measure(), indent=1))  # noqa: T201


if __name__ == "__main__":
    app.run(main)
