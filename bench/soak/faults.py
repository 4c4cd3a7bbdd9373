"""Faults of a soak; each is a coroutine registered by a decorator."""

import asyncio
import collections.abc
import signal
import time

from bench.soak import environment as environments
from bench.soak import proxies
from bench.soak import replicas
from bramleyfork.core import registries

Fault = collections.abc.Callable[
    [environments.SoakEnvironment], collections.abc.Awaitable[None]
]
FAULTS: registries.Registry[Fault] = registries.Registry(kind="soak fault")

_RESTART_S = 0.3
_DRAIN_S = 3.2
_CRASHING_REPEATS = 24  # Requests within about 6 s.


async def _restart(
    environment: environments.SoakEnvironment, host: environments.Host
) -> None:
    await asyncio.sleep(_RESTART_S)
    environment.start_host(host)


@FAULTS.register("kill")
async def kill_host(environment: environments.SoakEnvironment) -> None:
    """Kills a host with SIGKILL and restarts it."""
    host = environment.random.choice(environment.hosts)
    host.record_fault_time()
    host.signal(signal.SIGKILL)
    host.process.wait()
    await _restart(environment, host)


@FAULTS.register("terminate")
async def terminate_host(environment: environments.SoakEnvironment) -> None:
    """Shuts a host down with SIGTERM and restarts it."""
    host = environment.random.choice(environment.hosts)
    host.record_fault_time()
    host.signal(signal.SIGTERM)
    process = host.process
    while process.poll() is None:
        await asyncio.sleep(0.05)
    await _restart(environment, host)


@FAULTS.register("pause")
async def pause_host(environment: environments.SoakEnvironment) -> None:
    """Pauses the process of a host for up to 2.5 s."""
    host = environment.random.choice(environment.hosts)
    host.record_fault_time()
    host.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(environment.random.uniform(0.2, 2.5))
    finally:
        host.signal(signal.SIGCONT)
        host.record_fault_time()


@FAULTS.register("store_restore")
async def restore_store(environment: environments.SoakEnvironment) -> None:
    """Lets the store come back from an older copy.

    What was written since the copy is written again within a second.
    """
    store = environment.store
    copy = store.copy()
    await asyncio.sleep(environment.random.uniform(0.5, 2.0))
    before = store.copy()
    store.restore(copy)
    environment.store_fault_times.append(time.monotonic())
    await asyncio.sleep(environment.random.uniform(0.1, 1.0))
    store.write_again(before, copy)
    environment.store_fault_times.append(time.monotonic())


@FAULTS.register("reload")
async def reload_host(environment: environments.SoakEnvironment) -> None:
    """Sends a host SIGHUP to reload its settings."""
    environment.random.choice(environment.hosts).signal(signal.SIGHUP)


@FAULTS.register("store_link")
async def impair_store_link(environment: environments.SoakEnvironment) -> None:
    """Impairs the connections of one host to the store."""
    host = environment.random.choice(environment.hosts)
    proxy = host.store_proxy
    proxy.mode = environment.random.choice(
        [proxies.DELAY, proxies.DROP_REPLIES, proxies.SILENT, proxies.REFUSE]
    )
    host.record_fault_time()
    if proxy.mode == proxies.REFUSE:
        proxy.reset()
    try:
        await asyncio.sleep(environment.random.uniform(0.5, 4.0))
    finally:
        proxy.mode = proxies.PASS
        proxy.reset()
        host.record_fault_time()


@FAULTS.register("store_outage")
async def stop_store(environment: environments.SoakEnvironment) -> None:
    """Makes the store reject or ignore all requests."""
    environment.store.outage = environment.random.choice(
        ["busy", "many", "reset", "silent"]
    )
    environment.store_fault_times.append(time.monotonic())
    try:
        await asyncio.sleep(environment.random.uniform(0.3, 3.0))
    finally:
        environment.store.outage = ""
        environment.store_fault_times.append(time.monotonic())


@FAULTS.register("store_history")
async def forget_history(environment: environments.SoakEnvironment) -> None:
    """Deletes the change history of the store."""
    environment.store_fault_times.append(time.monotonic())
    environment.store.forget_history()


@FAULTS.register("replica_link")
async def impair_replica_link(
    environment: environments.SoakEnvironment,
) -> None:
    """Impairs the connections of all hosts to one replica."""
    name = environment.random.choice(sorted(environment.replica_proxies))
    proxy = environment.replica_proxies[name]
    proxy.mode = environment.random.choice(
        [proxies.DELAY, proxies.DROP_REPLIES, proxies.SILENT, proxies.REFUSE]
    )
    try:
        await asyncio.sleep(environment.random.uniform(0.3, 2.5))
    finally:
        proxy.mode = proxies.PASS
        proxy.reset()


@FAULTS.register("slow_replica")
async def slow_replica(environment: environments.SoakEnvironment) -> None:
    """Raises the service time of a replica for up to 2 s."""
    replica = environment.random.choice(list(environment.replicas.values()))
    usual, replica.service_time_s = (
        replica.service_time_s,
        environment.random.uniform(0.1, 0.6),
    )
    await asyncio.sleep(environment.random.uniform(0.5, 2.0))
    replica.service_time_s = usual


@FAULTS.register("garble")
async def garble_replies(environment: environments.SoakEnvironment) -> None:
    """Makes a replica cut, repeat, unframe or drop 30 % of its replies."""
    replica = environment.random.choice(list(environment.replicas.values()))
    kind = environment.random.choice(["cut", "extra", "unframed", "lost"])

    def apply_fault(request, reply):
        del request
        if environment.random.random() > 0.3:
            return reply
        if kind == "lost":
            return None
        if kind == "cut":
            reply.truncate_after_bytes = environment.random.randrange(1, 150)
        elif kind == "unframed":
            reply.is_framed = False
            reply.is_reset = environment.random.random() < 0.5
        else:
            reply.extra = reply.encode()
        return reply

    replica.reply_fault = apply_fault
    await asyncio.sleep(environment.random.uniform(0.5, 2.5))
    replica.reply_fault = None


@FAULTS.register("crash_replica")
async def crash_replica(environment: environments.SoakEnvironment) -> None:
    """Crashes a replica and later starts a cold one in its place."""
    replica = environment.random.choice(list(environment.replicas.values()))
    await environment.stop_replica(replica)
    await asyncio.sleep(environment.random.uniform(0.2, 1.0))
    await environment.start_replica(replica.service, replica.zone, is_cold=True)
    await asyncio.sleep(environment.random.uniform(0.0, 1.0))
    environment.store.remove(f"servers/{replica.name}")


@FAULTS.register("drain_replica")
async def drain_replica(environment: environments.SoakEnvironment) -> None:
    """Starts a replica, then drains and stops another one."""
    replica = environment.random.choice(list(environment.replicas.values()))
    await environment.start_replica(replica.service, replica.zone, is_cold=True)
    await asyncio.sleep(2.0)
    if replica.name not in environment.replicas:
        return
    replica.closed_at = time.monotonic()
    environment.publish_replica(replica, "draining")
    await asyncio.sleep(_DRAIN_S)
    if replica.name in environment.replicas:
        environment.store.remove(f"servers/{replica.name}")
        await asyncio.sleep(0.5)
        await environment.stop_replica(replica)


@FAULTS.register("configure")
async def change_configuration(
    environment: environments.SoakEnvironment,
) -> None:
    """Publishes up to four versions within about a second."""
    for _ in range(environment.random.randint(1, 4)):
        environment.declare(environment.sets[-1])
        await asyncio.sleep(environment.random.uniform(0.0, 0.3))


@FAULTS.register("reshard")
async def reshard_index(environment: environments.SoakEnvironment) -> None:
    """Starts a new set of shards and publishes a gather that uses it."""
    mark = f"{len(environment.sets)}{environment.random.choice('abcdef')}"
    shards = tuple(f"{mark}-{n}" for n in range(environments.SHARDS))
    for shard in shards:
        for zone in list(environments.ZONES)[:2]:
            await environment.start_replica(shard, zone)
    await asyncio.sleep(1.0)
    environment.declare(shards)


@FAULTS.register("evacuate")
async def evacuate(environment: environments.SoakEnvironment) -> None:
    """Evacuates a zone and ends the evacuation after up to 5 s."""
    zone = environment.random.choice(list(environments.ZONES)[:2])
    if any(
        r.closed_at for r in environment.replicas.values() if r.zone == zone
    ):
        return
    environment.store.put(f"op/evacuate/{zone}", {})
    now = time.monotonic()
    taken = [r for r in environment.replicas.values() if r.zone == zone]
    for replica in taken:
        replica.closed_at = now
    await asyncio.sleep(environment.random.uniform(3.2, 5.0))
    for replica in taken:
        replica.closed_at = None
    environment.store.remove(f"op/evacuate/{zone}")


@FAULTS.register("crashing_request")
async def repeat_crashing_request(
    environment: environments.SoakEnvironment,
) -> None:
    """Sends a request again and again that ends each replica it reaches."""
    prefix = environment.random.choice(
        [environments.GATHER_PATH, environments.SEAT_PATH]
    )
    path = f"{prefix}crash-{len(environment.crashes)}"
    environment.crashes[path] = replicas.CrashingPath()
    for number in range(_CRASHING_REPEATS):
        host = environment.random.choice(environment.hosts)
        # The checks learn from the id which host the caller asked.
        request_id = f"{path[1:].replace('/', '-')}-{number}-{host.number}"
        environment.extra_ids.add(request_id)
        await _send(host, path, request_id)
        await asyncio.sleep(environment.random.uniform(0.1, 0.4))


async def _send(host: environments.Host, path: str, request_id: str) -> None:
    """Sends a request and waits for the head of its answer, if one comes."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host.ip, 8104)
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: {environments.HOST_NAME}\r\n"
                    f"X-Request-Id: {request_id}\r\n"
                    "X-Deadline-Ms: 800\r\n\r\n".encode()
                )
                await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return  # The host may be down.


@FAULTS.register("limit")
async def name_limit(environment: environments.SoakEnvironment) -> None:
    """Lets a replica name a limit of requests per second for up to 9 s."""
    replica = environment.random.choice(list(environment.replicas.values()))
    length_s = environment.random.uniform(5.0, 9.0)
    begin = time.monotonic()
    if replica.limits and replica.limits[-1][1] > begin - 1.0:
        return
    limit_per_s = round(environment.random.uniform(1.0, 10.0), 1)
    replica.limits.append((begin, begin + length_s, limit_per_s))
    await asyncio.sleep(length_s)
