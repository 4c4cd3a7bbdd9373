"""A late second copy of a refusal makes a request that may run once run twice.

Two replicas of one service are now and then full and reject requests with 503
and ``X-Not-Executed``. One of them also hands out second copies of its answers,
late: where the next answer on that connection is expected. Callers send
requests of an ``unsafe`` route, one after the other.

Exit code: 1 if a request ran twice, or ran though it was answered 429, 503, 408
or 421; 0 if not; 2 if the case could not run.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import client  # noqa: E402
from harness import deployment  # noqa: E402
from harness import replica  # noqa: E402

HOSTS = 6
CALLERS_PER_HOST = 2
LENGTH_S = 90.0
SETTLE_S = 3.0  # Requests end and late answers arrive in this time.
DEADLINE_MS = 2500
THINK_S = 0.005
# The pages' largest dose of `garble` with `extra late`: half of the replicas,
# 4 in 100 of their answers, for 5 s at a time.
COPY_SHARE = 0.04
SPELL_S = 5.0
PAUSE_S = 1.0
PROMISES = (408, 421, 429, 503)


class Caller:
    """Sends one request after the other over a kept connection."""

    def __init__(self, host, number, record):
        self._connection = client.Connection(host.front)
        self._host = host
        self._number = number
        self._record = record
        self._random = random.Random(number)

    async def run(self, end):
        """Sends requests until a monotonic time."""
        count = 0
        while time.monotonic() < end:
            count += 1
            request_id = f"{self._number:02x}{count:014x}"
            answer = await self._connection.request(
                "POST",
                f"/pick/{request_id}",
                deployment.HOST_NAME,
                request_id,
                DEADLINE_MS,
                body=b"one seat",
            )
            self._record[request_id] = (self._host.name, answer.status)
            await asyncio.sleep(THINK_S * self._random.uniform(0.5, 1.5))


def find_broken(answered, replicas):
    """Returns the ids that ran twice, and those that ran in spite of a promise."""
    runs = collections.Counter(
        run.request_id for each in replicas for run in each.runs
    )
    twice = [name for name, count in runs.items() if count > 1]
    refused = [
        name
        for name, (_, status) in answered.items()
        if status in PROMISES and runs[name]
    ]
    return twice, refused


async def play(has_trouble):
    """Returns the answers by request id, and the replicas with their runs."""
    replicas = [
        replica.Replica(
            name=f"i-{zone}",
            service="hornos",
            zone=zone,
            slots=2,
            queue=2,
            work_s=0.015,
            seed=number,
        )
        for number, zone in enumerate(("bilbao", "zaragoza"))
    ]
    fleet = deployment.Deployment(host_count=HOSTS)
    answered = {}
    try:
        await fleet.open(
            replicas,
            [
                deployment.build_route(
                    "pick",
                    "/pick/",
                    service="hornos",
                    route_type="unsafe",
                    max_attempts=1,
                )
            ],
        )
        await asyncio.sleep(1.0)
        end = time.monotonic() + LENGTH_S
        callers = [
            Caller(host, number * CALLERS_PER_HOST + each, answered)
            for number, host in enumerate(fleet.hosts)
            for each in range(CALLERS_PER_HOST)
        ]
        work = [asyncio.ensure_future(each.run(end)) for each in callers]
        while time.monotonic() < end:
            replicas[0].late_copy_share = COPY_SHARE if has_trouble else 0.0
            await asyncio.sleep(SPELL_S)
            replicas[0].late_copy_share = 0.0
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*work)
        await asyncio.sleep(SETTLE_S)
        logs = {host.name: fleet.read_log(host) for host in fleet.hosts}
    finally:
        await fleet.close()
    return answered, replicas, logs


def write_record(answered, replicas, logs, twice, refused):
    """Writes what was sent, answered and run."""
    runs = collections.defaultdict(list)
    for each in replicas:
        for run in each.runs:
            runs[run.request_id].append((each.name, run.at))
    with open(HERE / "record.txt", "w", encoding="utf-8") as record:
        statuses = collections.Counter(s for _, s in answered.values())
        record.write(f"sent: {len(answered)} requests of an unsafe route\n")
        record.write(f"answered: {dict(sorted(statuses.items()))}\n")
        for each in replicas:
            record.write(
                f"replica {each.name}: began {len(each.runs)}, answers"
                f" {dict(sorted(each.answers.items()))}, late second copies"
                f" {each.late_copies}\n"
            )
        record.write(f"ran twice: {len(twice)}\n")
        record.write(f"ran in spite of a promise: {len(refused)}\n")
        for name in [*twice, *refused]:
            host, status = answered.get(name, ("?", "no answer"))
            record.write(f"\nrequest {name}: {host} answered {status}\n")
            begin = min(at for _, at in runs[name])
            for target, at in runs[name]:
                record.write(f"  {target} began it at +{(at - begin) * 1000:.1f} ms\n")
            for line in logs.get(host, ()):
                if line.get("request") == name:
                    fields = {
                        key: line.get(key)
                        for key in ("target", "fault", "verdict", "status", "outcome")
                        if key in line
                    }
                    record.write(f"  log: {line['message']} {fields}\n")
        record.write("\nrequest id, host, status, runs\n")
        for name, (host, status) in sorted(answered.items()):
            ran = " ".join(target for target, _ in runs[name]) or "-"
            record.write(f"{name} {host} {status} {ran}\n")


def main():
    """Plays the case and returns its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        answered, replicas, logs = asyncio.run(play(has_trouble))
    except Exception:
        traceback.print_exc()
        return 2
    twice, refused = find_broken(answered, replicas)
    write_record(answered, replicas, logs, twice, refused)
    print(
        f"{len(answered)} requests, {len(twice)} ran twice,"
        f" {len(refused)} ran in spite of a promise"
    )
    if not sum(status == 200 for _, status in answered.values()):
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(main())
