"""Entries of another writer that make a watch's answer large."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.support import deployment  # noqa: E402
from review.support import replica as replica_module  # noqa: E402

ENTRIES = 7
ENTRY_BYTES = 1_048_576  # value_bytes.
CONFIG_APPLY_S = 3.0
WATCHED_S = 25.0  # After the change.


async def run_callers(fleet, sent):
    """One request each 0.15 s at each machine; notes when it was sent."""
    number = 0

    async def ask(number, host):
        request_id = f"q-{number}"
        sent[request_id] = (time.monotonic(), host.name)
        answer = await deployment.ask(
            host.front, b"/timi402/2f", request_id.encode(), 2500
        )
        if answer.status != 200:
            fleet.record.write(f"{request_id} at {host.name}: {answer.status}")

    tasks = set()
    try:
        while True:
            for host in fleet.hosts:
                number += 1
                task = asyncio.ensure_future(ask(number, host))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.15)
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)


async def main():
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = deployment.Record(FOLDER / "record.txt")
    fleet = deployment.Deployment(record, hosts=3)
    zones = list(deployment.ZONES)
    replicas = [
        replica_module.Replica(
            name=f"i-{service}{number}",
            service=service,
            zone=zones[number % 3],
            work_s=0.05,
            slots=3,
            max_connections=96,
            body=b"x" * 3000,
        )
        for service in ("hornos", "avisos")
        for number in range(3)
    ]
    sent = {}
    try:
        route = deployment.build_route(
            "/timi402/", service="hornos", timeout_ms=2500, target_ms=441
        )
        await fleet.open(
            replicas,
            [route],
            [deployment.build_service(n, 96) for n in ("hornos", "avisos")],
        )
        await fleet.wait_until_ready()
        await asyncio.sleep(6.0)
        callers = asyncio.ensure_future(run_callers(fleet, sent))
        await asyncio.sleep(4.0)
        if has_trouble:
            for number in range(ENTRIES):
                fleet.store.put(f"servers/x-{number}", os.urandom(ENTRY_BYTES))
            record.write(f"another writer wrote {ENTRIES} entries")
        fleet.routes = [route | {"service": "avisos"}]
        revision = fleet.put_configuration()
        acknowledged_at = time.monotonic()
        record.write(
            f"version {fleet.version} acknowledged, revision {revision}"
        )
        await asyncio.sleep(WATCHED_S)
        callers.cancel()
        await asyncio.gather(callers, return_exceptions=True)
    finally:
        await fleet.close()
    stale = {}
    last_s = 0.0
    for replica in replicas:
        if replica.service != "hornos":
            continue
        for request_id in replica.runs:
            at, host = sent[request_id]
            if at > acknowledged_at + CONFIG_APPLY_S:
                stale[host] = stale.get(host, 0) + 1
                last_s = max(last_s, at - acknowledged_at)
    record.write(
        f"requests sent later than {CONFIG_APPLY_S} s after the acknowledgement"
        f" and run by the old service: {stale}; the last one {last_s:.1f} s after"
    )
    for host in fleet.hosts:
        record.write(f"{host.name}: ends {host.ends}")
    verdict = 1 if stale else 0
    record.write(f"verdict: {verdict}")
    record.close()
    return verdict


if __name__ == "__main__":
    deployment.run_case(main)
