"""Starts the program of deploy/system.toml on loopback, with a platform.

The platform writes the settings files, starts the processes, ends one whose
memory exceeds ``memory_mb`` (DEPLOY.md, "Memory and descriptors"), and starts a
process again that has ended.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import resource
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from review.support import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
MEMORY_MB = 300
DESCRIPTORS = 4100
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 1.0
ZONES = {"bilbao": "pais-vasco", "zaragoza": "aragon", "oviedo": "asturias"}
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
HOST_NAME = "pupu76.example"


class CannotRun(Exception):
    """The case can't run on this machine; the script exits with 2."""


class Record:
    """Writes record.txt with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        at = time.monotonic() - self._start
        self._file.write(f"{at:8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Host:
    """One machine and its process."""

    def __init__(self, name, zone, ip, ports):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.process = None
        self.settings_path = None
        self.log_path = None
        self.ends = []  # Why its processes ended.
        self.peak_bytes = 0
        self.started_at = 0.0
        self.is_kept_down = False

    @property
    def front(self):
        return self.ip, self.ports["front"]


class Deployment:
    """A small fleet, its store and its replicas.

    Args:
      record: Takes what happens.
      hosts: Number of machines, spread over the zones.
    """

    def __init__(self, record, *, hosts=3, page_limit=500):
        self.record = record
        self.store = store_module.Store(page_limit)
        self.replicas = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = random.SystemRandom().randrange(20, 250)
        sub = random.SystemRandom().randrange(1, 250)
        self.store_ip = f"127.{net}.{sub}.250"
        self.replica_ip = f"127.{net}.{sub}.240"
        zones = list(ZONES)
        ports = {
            "front": 8104,
            "ready": 8108,
            "control": 8106,
            "directory": 8100,
        }
        self.hosts = [
            Host(
                f"front-{zones[i % 3]}-{i // 3 + 1}",
                zones[i % 3],
                f"127.{net}.{sub}.{i + 10}",
                ports,
            )
            for i in range(hosts)
        ]
        self.version = 0
        self._children = []
        self._tasks = []
        self._is_stopping = False

    async def open(self, replicas, routes, services):
        """Starts store, replicas and processes."""
        raise_descriptor_limit()
        try:
            await self.store.open(self.store_ip)
            self.replicas = replicas
            born = int(time.time() * 1000)
            for replica in replicas:
                await replica.open(self.replica_ip, born)
        except OSError as error:
            raise CannotRun(f"no loopback address or port: {error}") from error
        self.routes, self.services = routes, services
        for replica in replicas:
            self.put_replica(replica)
        self.put_configuration()
        for host in self.hosts:
            self._write_settings(host, is_first=True)
            self._start(host)
            self._write_settings(host, is_first=False)
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            *(asyncio.ensure_future(self._guard(h)) for h in self.hosts),
        ]

    def put_replica(self, replica):
        return self.store.put(f"servers/{replica.name}", replica.build_entry())

    def put_configuration(self):
        """Writes the configuration with the next version."""
        self.version += 7
        return self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": self.services,
                "limits": LIMITS,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                if replica.state != "gone":
                    self.put_replica(replica)

    def _write_settings(self, host, *, is_first):
        listen = {n: f"{host.ip}:{p}" for n, p in host.ports.items()}
        fields = {
            "node": host.name,
            "role": "host",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": host.ip,
            "zone": host.zone,
            "region": ZONES[host.zone],
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [7380, 7395],
            "seeds": [f"{h.ip}:{h.ports['control']}" for h in self.hosts[:3]],
            "bootstrap": is_first,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": DESCRIPTORS,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
                "places",
                "platform",
            ],
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
        path = self.folder / f"{host.name}.json"
        path.write_text(json.dumps(fields))
        host.settings_path = path

    def _start(self, host):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["host"]["run"])
        environment = {
            n: os.environ[n]
            for n in ("PATH", "HOME", "LANG")
            if n in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRAMLEYFORK_SETTINGS"] = str(host.settings_path)
        host.log_path = self.folder / f"{host.name}.log"
        with open(host.log_path, "ab") as log:
            host.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        host.started_at = time.monotonic()
        self.record.write(
            f"platform starts {host.name}, process {host.process.pid}"
        )

    async def _guard(self, host):
        """Ends a process over its memory; starts one again that has ended."""
        while True:
            await asyncio.sleep(0.005)
            process = host.process
            if process.poll() is None:
                held = read_memory(process.pid, "VmRSS")
                host.peak_bytes = max(host.peak_bytes, held)
                if held <= MEMORY_MB * 1_000_000:
                    continue
                process.send_signal(signal.SIGKILL)
                await asyncio.to_thread(process.wait)
                why = f"over its memory: {held / 1e6:.0f} MB of {MEMORY_MB}"
            else:
                why = f"ended with {process.returncode}"
            if self._is_stopping or host.is_kept_down:
                return
            host.ends.append(why)
            self.record.write(f"process of {host.name} ended: {why}")
            await asyncio.sleep(RESTART_DELAY_S)
            self._start(host)

    async def start_child(self, *arguments):
        """Starts a program of the case that reads and writes lines."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            *map(str, arguments),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._children.append(child)
        return child

    async def wait_until_ready(self, limit_s=25.0):
        """Waits for a 200 of each machine's readiness check."""
        for host in self.hosts:
            end = time.monotonic() + limit_s
            while (
                await ask_status(host.ip, host.ports["ready"], b"/readiness")
                != 200
            ):
                if time.monotonic() > end or host.ends:
                    raise CannotRun(f"{host.name} doesn't become ready")
                await asyncio.sleep(0.1)
            self.record.write(f"{host.name} is ready")

    async def close(self, keep_logs=False):
        """Ends all processes."""
        self._is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for child in self._children:
            if child.returncode is None:
                child.kill()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def raise_descriptor_limit():
    """Gives the processes the descriptors that their settings name."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        raise CannotRun(f"only {hard} descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))


def read_memory(pid, field):
    """Returns VmRSS or VmHWM of a process in bytes; 0 if it has ended."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        with open(f"/proc/{pid}/status") as status:
            for line in status:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024
    return 0


async def ask_status(ip, port, path, limit_s=1.0):
    """Returns the status of a GET; 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError, EOFError, ValueError):
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(b"GET %s HTTP/1.1\r\nHost: ready\r\n\r\n" % path)
                line = await reader.readuntil(b"\r\n")
                return int(line.split(b" ")[1])
            finally:
                writer.transport.abort()
    return 0


class Answer:
    """What a client got: a status (0: none), header fields and the body."""

    def __init__(self, status, headers, body, note=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.note = note


async def ask(
    address, path, request_id, deadline_ms, *, method=b"GET", body=b""
):
    """Sends one request of a well-behaved client on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                % (method, path, HOST_NAME.encode(), request_id, deadline_ms)
            )
            if body:
                head += b"Content-Length: %d\r\n" % len(body)
            writer.write(head + b"\r\n" + body)
            lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            status = int(lines[0].split(b" ")[1])
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(b":")
                headers[name.lower()] = value.strip()
            length = int(headers.get(b"content-length", 0))
            return Answer(status, headers, await reader.readexactly(length))
    except (OSError, EOFError, TimeoutError, ValueError, IndexError) as error:
        return Answer(0, {}, b"", type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


def build_route(
    prefix, *, service=None, gather=None, timeout_ms, target_ms, **others
):
    """Returns a route as the operator writes it."""
    route = {
        "name": "r" + prefix.strip("/"),
        "host": HOST_NAME,
        "prefix": prefix,
        "route_type": "safe",
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "max_attempts": 2,
        "allowed_regions": [],
    }
    if gather:
        route |= {"gather": gather, "top_k": 20, "min_shard_ratio": 0.89}
    else:
        route["service"] = service
    return route | others


def build_service(name, max_connections):
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": max_connections,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 0.0,
    }


def run_case(main):
    """Runs a case; ends with its verdict, or with 2 if it couldn't run.

    A SIGTERM ends it early, with its processes.
    """

    async def run():
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await task

    try:
        code = asyncio.run(run())
    except CannotRun as error:
        print(f"couldn't run: {error}")
        code = 2
    except asyncio.CancelledError:
        print("couldn't run: out of time")
        code = 2
    sys.exit(code)
