"""The two programs as processes on loopback, each with its listeners."""

import asyncio
import contextlib
import os
import resource
import subprocess
import sys
import time

from standins.entry import replicas
from tests.crowds import clients
from tests.entry import ports
from tests.standalone import files

_READY_TIMEOUT_S = 15.0
_ENTRY_HEADERS = {
    "request_id": "Request-Id",
    "expected_target": "Expected-Target",
    "stamp": "Stamp",
    "target": "Target",
    "warmup_ms": "Warmup-Ms",
}
ANSWER_BYTES = 200_000
_ENTRY_REQUEST = (
    b"GET /find/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ordinary\r\n"
    b"Deadline-Ms: 4000\r\n\r\n"
)


class Program:
    """A running process and how to reach it.

    Attributes:
      addresses: IP address and port of each listener by name.
      ordinary: Listener and request that any client may send.
      process: The process.
    """

    def __init__(self, *, arguments, log, addresses, ordinary, descriptors):
        self.addresses = addresses
        self.ordinary = ordinary
        with open(log, "ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        if descriptors is not None:
            resource.prlimit(
                self.process.pid,
                resource.RLIMIT_NOFILE,
                (descriptors, descriptors),
            )

    def is_alive(self):
        """Returns whether the process has not ended."""
        return self.process.poll() is None

    def read_peak_memory(self):
        """Returns the largest resident memory so far, in bytes."""
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        raise AssertionError("no VmHWM")

    def count_descriptors(self):
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def ask(self):
        """Returns the status of the answer to one ordinary request."""
        listener, request = self.ordinary
        return await clients.ask(self.addresses[listener], request)

    async def wait_until_ready(self):
        """Waits until an ordinary request is answered."""
        end = time.monotonic() + _READY_TIMEOUT_S
        listener, request = self.ordinary
        while time.monotonic() < end:
            status = await clients.ask(
                self.addresses[listener], request, patience_s=1.0, tries=1
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the program is not ready")

    async def stop(self):
        """Ends the process."""
        self.process.kill()
        await asyncio.to_thread(self.process.wait)


@contextlib.asynccontextmanager
async def run_entry(folder, *, descriptors=None, is_awaited=True):
    """Yields an entry host with one target."""
    found = ports.find_ports(6)
    target = replicas.Replica(
        name="s1a", records=b"r" * ANSWER_BYTES, headers=_ENTRY_HEADERS
    )
    await target.open(found[5])
    names = ("caller", "pages", "peer", "carrier", "metrics")
    addresses = {
        name: ("127.0.0.1", port)
        for name, port in zip(names, found, strict=False)
    }
    route = files.drop(files.ROUTE, "shards", "record_limit") | {
        "services": ["s1"],
        "timeout_s": 20.0,
        "aim_s": 2.0,
    }
    declaration = files.DECLARATION | {
        "routes": [route],
        "targets": [files.TARGET | {"address": f"127.0.0.1:{found[5]}"}],
    }
    (folder / "declaration.toml").write_text(files.write_toml(declaration))
    settings = files.SETTINGS | {
        "declaration_file": str(folder / "declaration.toml"),
        "seeds": [f"127.0.0.1:{addresses['peer'][1]}"],
    }
    for name, (ip, port) in addresses.items():
        settings[f"{name}_address"] = f"{ip}:{port}"
    path = folder / "host.toml"
    path.write_text(files.write_toml(settings))
    program = Program(
        arguments=[
            "-m",
            "bramleyfork.standalone.host",
            f"--entry_settings={path}",
        ],
        log=folder / "host.log",
        addresses=addresses,
        ordinary=("caller", _ENTRY_REQUEST),
        descriptors=descriptors,
    )
    try:
        if is_awaited:
            await program.wait_until_ready()
        yield program
    finally:
        await program.stop()
        await target.close()


@contextlib.asynccontextmanager
async def run_daemon(folder, *, descriptors=None, is_awaited=True):
    """Yields a daemon, which answers health checks without a configuration."""
    found = ports.find_ports(4)
    names = ("caller", "administration", "peer")
    addresses = {
        name: ("127.0.0.1", port)
        for name, port in zip(names, found, strict=False)
    }
    settings = {
        "deployment": "crowds",
        "host": "north-1",
        "data_centre": "north",
        "platform_address": f"127.0.0.1:{found[3]}",
    }
    for name, (ip, port) in addresses.items():
        settings[f"{name}_address"] = f"{ip}:{port}"
    path = folder / "daemon.toml"
    path.write_text(files.write_toml(settings))
    program = Program(
        arguments=["-m", "bramleyfork.daemon", f"--settings={path}"],
        log=folder / "daemon.log",
        addresses=addresses,
        ordinary=("caller", b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"),
        descriptors=descriptors,
    )
    try:
        if is_awaited:
            await program.wait_until_ready()
        yield program
    finally:
        await program.stop()


RUNNERS = {"entry": run_entry, "daemon": run_daemon}
ORDINARY_AT = {
    ("entry", "pages"): b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n",
    ("entry", "metrics"): b"GET /state HTTP/1.1\r\nHost: h\r\n\r\n",
    ("daemon", "administration"): b"GET /v1/state HTTP/1.1\r\nHost: h\r\n\r\n",
}
