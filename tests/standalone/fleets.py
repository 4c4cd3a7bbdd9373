"""A fleet of standalone host processes with stand-ins of their targets."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time

from standins.entry import http_stand_in
from standins.entry import replicas
from tests.entry import ports
from tests.standalone import files

HEADERS = {
    "request_id": "Request-Id",
    "expected_target": "Expected-Target",
    "stamp": "Stamp",
    "target": "Target",
    "warmup_ms": "Warmup-Ms",
}
CRASHING_PATH = "/find/crash"
RESTART_S = 0.7
_PROGRAM = (sys.executable, "-m", "bramleyfork.standalone.host")
_ADDRESS_KEYS = ("caller", "pages", "peer", "carrier")
_READY_TIMEOUT_S = 10.0


class Target(replicas.Replica):
    """Replica that ends whenever it begins the crashing request.

    Attributes:
      service: Name of its service.
      last_bytes: What it sends of its reply before it ends; None if the
        crashing request doesn't end it.
      arrivals: Monotonic time, path and expected target of each request.
      ends: Monotonic time of each end of its process.
    """

    def __init__(self, *, name, service, data_centre="north", last_bytes=b""):
        super().__init__(
            name=name, records=os.urandom(64), service_time_s=0.003
        )
        self.last_bytes = last_bytes
        self.headers = HEADERS
        self.service = service
        self.data_centre = data_centre
        self.arrivals = []
        self.ends = []

    async def _answer(self, request):
        if request.target != "/health":
            self.arrivals.append((time.monotonic(), request.target))
        if request.target != CRASHING_PATH or self.last_bytes is None:
            return await super()._answer(request)
        self.ends.append(time.monotonic())
        self.server.stop_listening()
        asyncio.get_running_loop().create_task(self._restart())
        if not self.last_bytes:
            await asyncio.sleep(RESTART_S)
        return http_stand_in.Reply(
            status=200,
            raw=self.last_bytes,
            truncate_after_bytes=len(self.last_bytes),
        )

    async def _restart(self):
        port = self.address[1]
        # The last bytes are sent before the connections close.
        await asyncio.sleep(0.001)
        await self.close()
        await asyncio.sleep(RESTART_S)
        await self.open(port)


class Fleet:
    """Running hosts and targets.

    Attributes:
      targets: The targets.
      caller_ports: Port for callers of each host.
      processes: Process of each host.
      logs: Path of each host's log.
    """

    def __init__(self, *, targets, folder):
        self.targets = targets
        self.caller_ports = []
        self.processes = []
        self.logs = []
        self._folder = folder
        self._commands = []

    async def open(self, *, route, data_centres):
        """Starts the targets and one host in each of the data centres."""
        target_ports = ports.find_ports(len(self.targets))
        for target, port in zip(self.targets, target_ports, strict=True):
            await target.open(port)
        services = sorted({target.service for target in self.targets})
        declaration = files.DECLARATION | {
            "services": [files.SERVICE | {"name": name} for name in services],
            "routes": [route],
            "targets": [
                files.TARGET
                | {
                    "name": target.name,
                    "service": target.service,
                    "address": f"127.0.0.1:{target.address[1]}",
                    "data_centre": target.data_centre,
                }
                for target in self.targets
            ],
        }
        (self._folder / "declaration.toml").write_text(
            files.write_toml(declaration)
        )
        found = [ports.find_ports(4) for _ in data_centres]
        seeds = [f"127.0.0.1:{host_ports[2]}" for host_ports in found]
        for index, data_centre in enumerate(data_centres):
            settings = files.SETTINGS | {
                f"{key}_address": f"127.0.0.1:{port}"
                for key, port in zip(_ADDRESS_KEYS, found[index], strict=True)
            }
            settings |= {
                "host": f"{data_centre}-{index + 1}",
                "data_centre": data_centre,
                "declaration_file": str(self._folder / "declaration.toml"),
                "seeds": seeds,
            }
            path = self._folder / f"host-{index}.toml"
            path.write_text(files.write_toml(settings))
            self.caller_ports.append(found[index][0])
            self.logs.append(self._folder / f"host-{index}.log")
            self._commands.append([*_PROGRAM, f"--entry_settings={path}"])
            self.processes.append(None)
            self.start_host(index)
        for host_ports in found:
            await _wait_until_ready(host_ports[1])

    def start_host(self, index):
        """Starts the process of a host, for the first time or again."""
        with open(self.logs[index], "ab") as log:
            self.processes[index] = subprocess.Popen(
                self._commands[index],
                stdout=log,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def kill_host(self, index):
        """Ends the process of a host without notice."""
        self.processes[index].kill()
        self.processes[index].wait()

    async def close(self):
        """Ends all hosts and targets."""
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            await asyncio.to_thread(process.wait, 10)
        for target in self.targets:
            await target.close()

    def list_arrivals(self, path):
        """Returns the times at which requests for a path reached targets."""
        return sorted(
            at
            for target in self.targets
            for at, found in target.arrivals
            if found == path
        )

    def list_ends(self):
        """Returns the times at which targets ended, in order."""
        return sorted(at for target in self.targets for at in target.ends)


@contextlib.asynccontextmanager
async def run_fleet(folder, *, targets, route, data_centres):
    """Yields a running fleet and ends it afterwards."""
    fleet = Fleet(targets=targets, folder=folder)
    try:
        await fleet.open(route=route, data_centres=data_centres)
        yield fleet
    finally:
        await fleet.close()


async def send(port, path, request_id, *, deadline_ms=700):
    """Sends a request on a new connection; returns its status, 0 without.

    Returns:
      The status and the headers, whose names are in lower case.
    """
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.3):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
                    f"Request-Id: {request_id}\r\n"
                    f"Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    lines = head.split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return int(lines[0].split(" ")[1]), headers


async def _wait_until_ready(port):
    end = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.transport.abort()
            if b" 200 " in line:
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise AssertionError(f"no ready host on port {port}")
