"""Environment of a soak: store, replicas, proxies and host processes."""

import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from bench.soak import proxies
from bench.soak import replicas
from standins.entry import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"north": "left", "south": "right", "east": "far"}
SHARDS = 6
HOSTS = 3
TOP = 4
MIN_SHARD_RATIO = 0.5
GATHER_PATH = "/find/"
SEAT_PATH = "/seat/"
HOST_NAME = "soak.example"
_PORTS = {"front": 8104, "ready": 8108, "control": 8106, "directory": 8100}
_WARMUP_S = 1.5
_HEARTBEAT_S = 1.2


class Host:
    """One host process and its proxy to the store."""

    def __init__(self, *, number: int, ip: str, zone: str):
        self.number = number
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.store_proxy: proxies.Proxy | None = None
        self.settings = ""
        self.log = ""
        # Monotonic times at which faults on the host begin and end.
        self.fault_times: list[float] = []

    def record_fault_time(self) -> None:
        """Records that a fault on the host begins or ends now."""
        self.fault_times.append(time.monotonic())

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class SoakEnvironment:
    """Store, replicas, proxies and hosts of a soak.

    Args:
      seed: Seed of faults and load.
      net: Second number of the loopback addresses, so that several soaks can
        run on one machine.
    """

    def __init__(self, *, seed: int, net: int):
        self.random = random.Random(seed)
        self.store = stores.Store()
        self.version = 1
        self.sets: list[tuple[str, ...]] = []
        self.replicas: dict[str, replicas.SoakReplica] = {}
        self.replica_proxies: dict[str, proxies.Proxy] = {}
        self.all_replicas: list[replicas.SoakReplica] = []
        self.hosts: list[Host] = []
        self.crashes: dict[str, replicas.CrashingPath] = {}
        self.extra_ids: set[str] = set()
        self.store_fault_times: list[float] = []
        self._net = net
        self._last_number = 0
        self._is_closed = False
        self._folder = tempfile.TemporaryDirectory(prefix="soak-")

    async def open(self) -> None:
        """Starts the store, the replicas and the host processes."""
        await self.store.open()
        for index in range(SHARDS):
            for zone in list(ZONES)[:2]:
                await self.start_replica(f"part{index}", zone)
        for zone in ZONES:
            await self.start_replica("seats", zone)
        self.declare(tuple(f"part{index}" for index in range(SHARDS)))
        for number in range(HOSTS):
            await self._prepare_host(number)
        for host in self.hosts:
            self.start_host(host)

    async def close(self) -> None:
        """Stops all processes, proxies and stand-ins."""
        self._is_closed = True
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()
            await host.store_proxy.close()
        for proxy in self.replica_proxies.values():
            await proxy.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()

    def read_logs(self) -> dict[str, str]:
        """Returns the hosts' logs by name."""
        return {
            f"host-{host.number}": pathlib.Path(host.log).read_text(
                errors="replace"
            )
            for host in self.hosts
        }

    async def start_replica(
        self, service: str, zone: str, *, is_cold: bool = False
    ) -> replicas.SoakReplica:
        """Starts a replica and writes its entry to the store.

        Args:
          service: Name of the service.
          zone: Name of the zone.
          is_cold: Whether it needs a warm-up of _WARMUP_S.
        """
        self._last_number += 1
        name = f"i-{self._last_number:03}"
        replica = replicas.SoakReplica(
            name=name, service=service, zone=zone, crashes=self.crashes
        )
        if is_cold:
            replica.cold_until = time.monotonic() + _WARMUP_S
        await replica.open()
        proxy = proxies.Proxy(
            host="127.0.0.1", target=replica.address, rng=self.random
        )
        await proxy.open()
        self.replicas[name] = replica
        self.replica_proxies[name] = proxy
        self.all_replicas.append(replica)
        self.publish_replica(replica)
        return replica

    def publish_replica(
        self, replica: replicas.SoakReplica, state: str = "ready"
    ) -> None:
        """Writes the entry of a replica to the store."""
        left = max(0.0, replica.cold_until - time.monotonic())
        address = self.replica_proxies[replica.name].address
        self.store.put(
            f"servers/{replica.name}",
            {
                "service": replica.service,
                "address": "{}:{}".format(*address),
                "zone": replica.zone,
                "version": "v1",
                "slots": 2,
                "state": state,
                "warmup_left_ms": int(left * 1000),
                "sequence": 1,
                "born": self._last_number,
            },
        )

    async def stop_replica(self, replica: replicas.SoakReplica) -> None:
        """Stops a replica and its proxy without a drain."""
        self.replicas.pop(replica.name, None)
        await self.replica_proxies.pop(replica.name).close()
        await replica.close()

    def declare(self, shards: tuple[str, ...]) -> None:
        """Publishes a new version whose gather uses these shards."""
        self.version += self.random.randint(1, 3)
        if shards not in self.sets:
            self.sets.append(shards)
        common = {
            "host": HOST_NAME,
            "timeout_ms": 900,
            "priority": 1,
            "max_attempts": 2,
            "allowed_regions": [],
        }
        services = [*shards, "seats"]
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    common
                    | {
                        "name": "find",
                        "prefix": GATHER_PATH,
                        "route_type": "safe",
                        "target_latency_ms": 120,
                        "gather": list(shards),
                        "top_k": TOP,
                        "min_shard_ratio": MIN_SHARD_RATIO,
                    },
                    common
                    | {
                        "name": "seat",
                        "prefix": SEAT_PATH,
                        "route_type": "unsafe",
                        "target_latency_ms": 300,
                        "service": "seats",
                    },
                ],
                "services": [
                    {
                        "name": name,
                        "health_path": "/health",
                        "max_connections": 25,
                        "protocol": "h1",
                        "tls": False,
                        "warmup_s": _WARMUP_S,
                        "warmup_per_s": 0.0,
                    }
                    for name in services
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 65536,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    async def _prepare_host(self, number: int) -> None:
        zone = list(ZONES)[number % len(ZONES)]
        ip = f"127.{self._net}.{number + 1}.1"
        host = Host(number=number, ip=ip, zone=zone)
        host.store_proxy = proxies.Proxy(
            host="127.0.0.1", target=self.store.address, rng=self.random
        )
        await host.store_proxy.open()
        folder = pathlib.Path(self._folder.name)
        host.settings = str(folder / f"host-{number}.json")
        host.log = str(folder / f"host-{number}.log")
        seeds = [f"127.{self._net}.{n + 1}.1:8106" for n in range(HOSTS)]
        fields = {
            "node": f"host-{number}",
            "ip": ip,
            "zone": zone,
            "zones": ZONES,
            "listen": {name: f"{ip}:{port}" for name, port in _PORTS.items()},
            "internal_ports": [7380, 7395],
            "seeds": seeds,
            "limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 100},
            "bounds": {
                "grace_s": 6,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 52,
                "retry_window_s": 10,
                "ttl_max_s": 5,
            },
            "platform": {"address": "{}:{}".format(*host.store_proxy.address)},
        }
        pathlib.Path(host.settings).write_text(json.dumps(fields))
        self.hosts.append(host)

    def start_host(self, host: Host) -> None:
        """Starts the process of a host; its log is appended to one file."""
        is_running = host.process is not None and host.process.poll() is None
        if self._is_closed or is_running:
            return  # Two concurrent faults may both start the host.
        host.record_fault_time()
        with open(host.log, "ab") as log:
            host.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "host.py")],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "BRAMLEYFORK_SETTINGS": host.settings,
                },
            )

    async def wait_until_ready(self, limit_s: float = 10.0) -> None:
        """Waits until every host is ready.

        Raises:
          TimeoutError: A host was not ready within ``limit_s``.
        """
        end = time.monotonic() + limit_s
        for host in self.hosts:
            while not await is_ready(host):
                if time.monotonic() > end:
                    raise TimeoutError(
                        f"host-{host.number} was not ready in time"
                    )
                await asyncio.sleep(0.05)


async def is_ready(host: Host) -> bool:
    """Returns whether the readiness check of a host returns 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                host.ip, _PORTS["ready"]
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False
