"""Builds declarations, target lists and controllers for bench.growth."""

import gc
import hashlib
import json
import os
import time

from bench import process_usage
from bramleyfork import controllers as controller_package
from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings as settings_module
from bramleyfork.core import blackboard
from bramleyfork.core import controllers
from bramleyfork.core import messages
from bramleyfork.core import module_loading
from bramleyfork.core import platform_calls
from bramleyfork.core import sections
from bramleyfork.transports import configuration_checker

REGIONS = 5
DATA_CENTRES = 16
REPLICAS = 68  # Targets per service in the largest planned deployment.
_PART_BYTES = 900_000  # Stays below the platform's size limit of a value.

_TARGET = """
[[targets]]
name = "{name}"
service = "{service}"
data_centre = "{centre}"
address = "{ip}:9000"
"""
_HOST = """
[[hosts]]
name = "{name}"
data_centre = "{centre}"
peer_address = "{ip}:7000"
caller_address = "{ip}:8080"
"""
_SERVICE = """
[[services]]
name = "{name}"
slots = 2
queue = 4
connections = 25
"""
_LOOKUPS = """
[[lookups]]
name = "availability"
services = ["shard-*"]
# {note}
"""


def name_centre(number: int) -> str:
    """Returns the data centre of a host or target number."""
    return f"dc-{number % DATA_CENTRES:02}"


def name_host(number: int) -> str:
    """Returns the name of a host."""
    return f"{name_centre(number)}-host-{number:05}"


def name_target(number: int) -> str:
    """Returns the name of a target."""
    return f"shard-{number // REPLICAS:05}-{number % REPLICAS:02}"


def build_bodies(
    *, targets: int, hosts: int, revision: int = 1, note: str = ""
) -> dict[str, bytes]:
    """Returns manifest and parts of a declaration by key.

    Args:
      targets: Number of targets; each service has REPLICAS of them.
      hosts: Number of hosts.
      revision: Revision of the manifest.
      note: Text of a comment in the smallest part; changes its digest.
    """
    services = (targets + REPLICAS - 1) // REPLICAS
    tables = {
        "hosts": [
            _HOST.format(
                name=name_host(n), centre=name_centre(n), ip=_build_ip(1, n)
            )
            for n in range(hosts)
        ],
        "services": [
            _SERVICE.format(name=f"shard-{n:05}") for n in range(services)
        ],
        "targets": [
            _TARGET.format(
                name=name_target(n),
                service=f"shard-{n // REPLICAS:05}",
                centre=name_centre(n),
                ip=_build_ip(8, n),
            )
            for n in range(targets)
        ],
    }
    parts = {
        "fleet": _build_head().encode(),
        "lookups": _LOOKUPS.format(note=note).encode(),
    }
    for table, rows in tables.items():
        parts.update(_split_parts(table, rows))
    return parts | {
        manifests.MANIFEST_KEY: manifests.build_manifest(
            parts, revision=revision
        )
    }


def build_listing(targets: int) -> bytes:
    """Returns a target list in the JSON format of the platform."""
    rows = [
        {
            "name": name_target(n),
            "state": "live",
            "holdings": [[41, 7, 0, 65536]],
        }
        for n in range(targets)
    ]
    return json.dumps({"targets": rows}, separators=(",", ":")).encode()


def list_updates(hosts: int) -> list[messages.MemberUpdate]:
    """Returns member updates that report all hosts as alive."""
    return [
        messages.MemberUpdate(
            host=name_host(number),
            incarnation=1_796_000_000_000 + number,
            state="alive",
            load=0.25,
            leased=True,
        )
        for number in range(hosts)
    ]


def read_memory() -> int:
    """Returns the resident memory of this process in bytes.

    Collects garbage first.
    """
    gc.collect()
    return process_usage.read_memory(os.getpid())


class ControllerHarness:
    """All controllers of one host on one blackboard.

    The benchmark sets the time, writes inputs and steps the controllers.
    """

    def __init__(self):
        module_loading.import_modules(controller_package)
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.settings = settings_module.Settings(
            deployment="grown",
            host=name_host(0),
            data_centre=name_centre(0),
            incarnation=1_796_000_000_000,
            peer_address="127.0.0.1:7000",
            caller_address="127.0.0.1:8080",
            administration_address="127.0.0.1:8081",
            platform_address="127.0.0.1:9000",
        )
        self.controllers = {
            name: controller_class(board=self.board, settings=self.settings)
            for name, controller_class in controllers.CONTROLLERS.list_items()
        }
        grant = self.board.grant_writer
        self.results = grant("platform_results", "platform_transport")
        self.control = grant("peer_control", "peer_transport")
        self.checked = grant("check_results", "checker")
        self.now = 1000.0

    def step(self, name: str) -> float:
        """Steps one controller; returns its CPU time in seconds."""
        started = time.process_time()
        self.controllers[name].step(self.now)
        return time.process_time() - started

    def publish(self, bodies: dict[str, bytes]) -> float:
        """Puts a declaration in force; returns the CPU time in seconds.

        Only the time of the configuration controller counts, as the daemon
        checks declarations in another thread.

        Raises:
          RuntimeError: The declaration was not accepted.
        """
        reads = self.board.find_log("platform_reads").open_cursor()
        checks = self.board.find_log("checks").open_cursor()
        revision = manifests.read_manifest(
            bodies[manifests.MANIFEST_KEY]
        ).ok.revision
        cpu_s = 0.0
        self._deliver_result(
            "/v1/watch/manifest", bodies[manifests.MANIFEST_KEY]
        )
        for _ in range(6):
            cpu_s += self.step("configuration")
            for read in reads.read_new_records():
                key = read.path.removeprefix("/v1/values/")
                if key != read.path:
                    self._deliver_result(read.path, bodies[key])
            for check in checks.read_new_records():
                self.checked.append(
                    configuration_checker.run_check(check, "grown")
                )
            active = self.board.find_table("declaration").get("in_force")
            if active and active.declaration.revision == revision:
                return cpu_s
        raise RuntimeError(f"revision {revision} is not in force")

    def receive(self, sender: str, message: object) -> None:
        """Delivers a control message from another host."""
        self.control.append(
            messages.Received(
                sender=sender, received_at=self.now, message=message
            )
        )

    def _deliver_result(self, path: str, body: bytes) -> None:
        self.results.append(
            platform_calls.PlatformResult(
                purpose="configuration",
                path=path,
                sent_at=self.now,
                received_at=self.now,
                status=200,
                etag=hashlib.sha256(body).hexdigest(),
                body=body,
            )
        )


def _build_head() -> str:
    return '[deployment]\nname = "grown"\n' + "".join(
        f'[[data_centres]]\nname = "{name_centre(n)}"\n'
        f'region = "region-{n % REGIONS}"\n'
        for n in range(DATA_CENTRES)
    )


def _split_parts(table: str, rows: list[str]) -> dict[str, bytes]:
    """Returns parts of at most about _PART_BYTES that hold the rows."""
    parts: dict[str, bytes] = {}
    kept_rows, size = [], 0
    for row in rows:
        if size + len(row) > _PART_BYTES:
            parts[f"{table}-{len(parts)}"] = "".join(kept_rows).encode()
            kept_rows, size = [], 0
        kept_rows.append(row)
        size += len(row)
    parts[f"{table}-{len(parts)}"] = "".join(kept_rows).encode()
    return parts


def _build_ip(net: int, number: int) -> str:
    return f"10.{net + number // 65536}.{number // 256 % 256}.{number % 256}"
