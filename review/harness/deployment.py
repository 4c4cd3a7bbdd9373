"""Starts host processes as the deploy file says, beside stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "src"))

from standins.entry import store as stores  # noqa: E402

HOST_NAME = "review.example"
ZONES = {"bilbao": "pais-vasco", "zaragoza": "aragon", "oviedo": "asturias"}
METRICS_PORT = 9464  # As the deploy file says.
# Bounds of the small deployments' pages.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 52,
    "warmup_overrun": 1.5,
    "warmup_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
_SERVED = ("front", "ready", "control", "directory", "peer", "carrier")


def _end_on_signal(number, frame):
    """Ends the case in order, so that no host process stays behind."""
    del number, frame
    sys.exit(2)


signal.signal(signal.SIGTERM, _end_on_signal)


class Host:
    """A machine of the system and its process."""

    def __init__(self, *, name, ip, zone, ports, settings, log):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = ports
        self.settings = settings
        self.log = log
        self.process = None

    @property
    def front(self):
        """Address for clients."""
        return self.ip, self.ports["front"]

    def send_signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_cpu_s(self):
        """Returns the processor time of the process in seconds."""
        path = pathlib.Path(f"/proc/{self.process.pid}/stat")
        fields = path.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Deployment:
    """The platform's store, replicas and host processes.

    Attributes:
      store: The stand-in of the platform's store.
      replicas: Stand-ins of the replicas.
      hosts: The machines of the system.
    """

    def __init__(self, *, host_count=3):
        self.store = stores.Store()
        self.replicas = []
        self.hosts = []
        self._host_count = host_count
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._version = 0

    async def open(self, replicas, routes):
        """Starts store, replicas and hosts; returns once all are ready."""
        await self.store.open()
        for replica in replicas:
            await self.add_replica(replica)
        self.put_config(routes)
        self._prepare_hosts()
        for host in self.hosts:
            self.start_host(host)
        await self.wait_until_ready()

    async def close(self):
        """Ends the host processes and the stand-ins."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        self._folder.cleanup()

    async def add_replica(self, replica):
        """Starts a replica and registers it in the store."""
        await replica.open()
        self.replicas.append(replica)
        self.store.put(f"servers/{replica.name}", replica.build_entry())

    def put_config(self, routes):
        """Writes the next version of the configuration."""
        self._version += 3
        services = set()
        for route in routes:
            services.update(route.get("gather", ()) or [route["service"]])
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "health_path": "/health",
                        "max_connections": 96,
                        "protocol": "h1",
                        "tls": False,
                        "warmup_s": 3.0,
                        "warmup_per_s": 0.0,
                    }
                    for name in sorted(services)
                ],
                "limits": LIMITS,
            },
        )

    def start_host(self, host):
        """Starts the process of a machine with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRAMLEYFORK_SETTINGS"] = host.settings
        with open(host.log, "ab") as log:
            host.process = subprocess.Popen(
                role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, limit_s=15.0):
        """Waits until every host answers its readiness check with 200.

        Raises:
          TimeoutError: A host was not ready in time.
        """
        end = time.monotonic() + limit_s
        for host in self.hosts:
            while not await is_ready(host):
                if time.monotonic() > end:
                    raise TimeoutError(f"{host.name} was not ready in time")
                await asyncio.sleep(0.05)

    def read_log(self, host):
        """Returns what a host has logged, as decoded lines."""
        lines = []
        for line in pathlib.Path(host.log).read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"message": line})
        return lines

    def _prepare_hosts(self):
        ips = _find_free_ips(self._host_count)
        ports = dict(zip(_SERVED, _find_free_ports(ips, len(_SERVED)), strict=True))
        zones = list(ZONES)
        for number, ip in enumerate(ips):
            name = f"front-{number + 1}"
            folder = pathlib.Path(self._folder.name)
            settings = folder / f"{name}.json"
            zone = zones[number % len(zones)]
            settings.write_text(
                json.dumps(self._build_settings(name, ip, zone, ips, ports))
            )
            self.hosts.append(
                Host(
                    name=name,
                    ip=ip,
                    zone=zone,
                    ports=ports,
                    settings=str(settings),
                    log=str(folder / f"{name}.log"),
                )
            )

    def _build_settings(self, name, ip, zone, ips, ports):
        served = ("front", "ready", "control", "directory")
        return {
            "node": name,
            "role": "host",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {each: f"{ip}:{ports[each]}" for each in served},
            "internal_ports": [ports["peer"], ports["carrier"]],
            "seeds": [f"{each}:{ports['control']}" for each in ips[:3]],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": [],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": BOUNDS,
            "platform": {
                "address": "{}:{}".format(*self.store.address),
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }


async def is_ready(host):
    """Returns whether a host answers its readiness check with 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                host.ip, host.ports["ready"]
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


def _find_free_ips(count):
    """Returns loopback addresses on which the metrics port is free."""
    for _ in range(200):
        net = random.randint(20, 250)
        third = random.randint(1, 250)
        ips = [f"127.{net}.{third}.{number + 1}" for number in range(count)]
        if all(_is_free(ip, METRICS_PORT) for ip in ips):
            return ips
    raise RuntimeError("no free loopback addresses")


def _find_free_ports(ips, count):
    """Returns ports that are free on all addresses, for TCP and UDP."""
    found = []
    while len(found) < count:
        port = random.randint(10000, 30000)
        if port not in found and all(_is_free(ip, port) for ip in ips):
            found.append(port)
    return found


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def build_route(name, prefix, **fields):
    """Returns a route of the configuration with the usual fields."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "route_type": "safe",
        "timeout_ms": 2500,
        "target_latency_ms": 441,
        "priority": 2,
        "max_attempts": 2,
        "allowed_regions": [],
    } | fields
