"""Runs a deployment on one machine as child processes.

Starts the daemon of each host and the stand-ins of platform and targets.
"""

import json
import os
import pathlib
import tempfile
import time
import typing

import urllib3

from bench import daemons
from bramleyfork.configuration import declaration as declaration_module
from bramleyfork.configuration import manifests
from bramleyfork.core import declarations
from standins import launch

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
READY_TIMEOUT_S = 30.0
HOLDINGS = [[1, 1, 0, 65536]]

Document = dict[str, typing.Any]


class FleetError(Exception):
    """A deployment is not valid or a process did not get ready."""


class Deployment:
    """Declaration and host settings of an example, on other addresses.

    Args:
      name: Folder under ``examples``.
      net: Second number of all loopback addresses, so that several fleets
        can run on one machine.

    Attributes:
      parts: Text of each part of the declaration by key; may be changed
        before and after the start of a fleet.
      hosts: Text of the settings file of each host by name.
      revision: Latest revision that was built.
    """

    __slots__ = ("net", "parts", "hosts", "revision")

    def __init__(self, *, name: str, net: int):
        self.net = net
        folder = EXAMPLES / name
        self.parts = {
            path.stem: self._read_with_net(path)
            for path in sorted((folder / "declaration").glob("*.toml"))
            if path.stem != manifests.MANIFEST_KEY
        }
        self.hosts = {
            path.stem: self._read_with_net(path)
            for path in sorted((folder / "hosts").glob("*.toml"))
        }
        self.revision = 0

    def edit(self, key: str, old: str, new: str) -> None:
        """Replaces a text in a part of the declaration.

        Raises:
          FleetError: The part does not contain the text.
        """
        if old not in self.parts[key]:
            raise FleetError(f"part {key!r} has no text {old!r}")
        self.parts[key] = self.parts[key].replace(old, new)

    def build_values(self, revision: int | None = None) -> dict[str, str]:
        """Returns the parts and the manifest by key.

        Args:
          revision: Revision of the manifest; None for the next one.
        """
        self.revision = self.revision + 1 if revision is None else revision
        bodies = {key: text.encode() for key, text in self.parts.items()}
        manifest = manifests.build_manifest(bodies, revision=self.revision)
        return {**self.parts, manifests.MANIFEST_KEY: manifest.decode()}

    def read_declaration(self) -> declarations.Declaration:
        """Returns the declaration that the parts decode to.

        Raises:
          FleetError: The parts are not valid.
        """
        bodies = {key: text.encode() for key, text in self.parts.items()}
        manifest = manifests.build_manifest(bodies, revision=1)
        checked = declaration_module.check_declaration(
            {**bodies, manifests.MANIFEST_KEY: manifest}
        )
        if checked.is_error():
            raise FleetError("; ".join(p.describe() for p in checked.error))
        return checked.ok

    def add_host(self, name: str, *, like: str, ip: str) -> None:
        """Adds a host to the declaration.

        Args:
          name: Name of the new host.
          like: Declared host of the same data centre whose settings are used.
          ip: IP address of the new host without the first two numbers.
        """
        settings = self.hosts[like]
        own_ip = f"127.{self.net}.{ip}"
        rows = dict(
            row.split(" = ", 1) for row in settings.splitlines() if row.strip()
        )
        rows["host"] = json.dumps(name)
        for key in ("peer", "caller", "administration"):
            port = rows[f"{key}_address"].rpartition(":")[2]
            rows[f"{key}_address"] = f'"{own_ip}:{port}'
        self.hosts[name] = "".join(f"{k} = {v}\n" for k, v in rows.items())
        self.parts["fleet"] += "\n[[hosts]]\n" + "".join(
            f"{key} = {value}\n"
            for key, value in {"name": json.dumps(name), **rows}.items()
            if key in ("name", "data_centre", "peer_address", "caller_address")
        )

    def find_platform_address(self) -> str:
        """Returns the platform address of the host settings."""
        text = next(iter(self.hosts.values()))
        line = next(
            row for row in text.splitlines() if row.startswith("platform_")
        )
        return json.loads(line.partition("=")[2])

    def _read_with_net(self, path: pathlib.Path) -> str:
        return path.read_text().replace('"127.0.', f'"127.{self.net}.')


class Fleet:
    """Processes of the platform, the targets and the daemons of a deployment.

    As a context manager it starts all processes and stops them on exit.

    Args:
      deployment: Deployment to run.
      python_path: PYTHONPATH of the daemons; None inherits it.
      data_centre_latency_ms: One-way latency between a target and the hosts of
        other data centres.
      **target_fields: Settings of the target stand-ins, for all targets.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        python_path: str | None = None,
        data_centre_latency_ms: float = 0.0,
        **target_fields: typing.Any,
    ):
        self.deployment = deployment
        self.data_centre_latency_ms = data_centre_latency_ms
        self.python_path = python_path
        self.declaration = deployment.read_declaration()
        self.target_fields = target_fields
        self.daemons: dict[str, daemons.Daemon] = {}
        self.target_processes: dict[str, launch.StandIn] = {}
        self.platform: launch.StandIn | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="bramleyfork-")
        self._http = urllib3.PoolManager(maxsize=64, retries=False)

    def __enter__(self) -> typing.Self:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    @property
    def folder(self) -> pathlib.Path:
        """Folder of logs, settings and cut files.

        A cut file names the hosts whose messages a host discards.
        """
        return pathlib.Path(self._folder.name)

    def start(self) -> None:
        """Starts all processes and waits until every host is ready."""
        self.start_platform()
        for name in self.declaration.data_centres:
            self.start_targets(name)
        for name in self.deployment.hosts:
            self.start_daemon(name)
        for name in self.daemons:
            self.wait_ready(name)

    def start_platform(self) -> None:
        """Starts the platform with the next revision of the deployment."""
        values = self.folder / "values"
        values.mkdir()
        for key, text in self.deployment.build_values().items():
            (values / f"{key}").write_text(text)
        self.platform = launch.start_platform(
            launch.build_platform_document(
                values, address=self.deployment.find_platform_address()
            )
        )
        self.publish_listing()

    def publish_listing(self, **changes: Document) -> None:
        """Sets the target list of the platform.

        Args:
          **changes: Fields to override, by target.
        """
        rows = [
            {
                "name": name,
                "state": "live",
                "holdings": HOLDINGS,
                **changes.get(name, {}),
            }
            for name in self.declaration.targets
        ]
        self.platform.control("listing", targets=rows)

    def start_targets(self, data_centre: str) -> None:
        """Starts the process of the target stand-ins of a data centre."""
        rows = [
            self._build_target(target)
            for target in self.declaration.targets.values()
            if target.data_centre == data_centre
        ]
        if rows:
            self.target_processes[data_centre] = launch.start_targets(
                launch.build_targets_document(
                    rows, control=f"127.{self.deployment.net}.0.1:0"
                )
            )

    def start_daemon(self, name: str) -> daemons.Daemon:
        """Starts the daemon of a host."""
        daemon = daemons.Daemon(
            name=name,
            settings=self.deployment.hosts[name]
            + f"cut_file = {json.dumps(str(self._find_cut_file(name)))}\n",
            folder=self.folder,
            python_path=self.python_path,
        )
        self.daemons[name] = daemon
        return daemon

    def find_ip(self, host: str) -> str:
        """Returns the IP address that a host sends from."""
        return self.declaration.hosts[host].peer_address.rpartition(":")[0]

    def partition_host(
        self, host: str, *others: str, direction: str = "both"
    ) -> None:
        """Cuts a host off from other hosts.

        Args:
          host: Host that discards messages.
          *others: Hosts whose messages are discarded; if none are given, the
            partition ends.
          direction: "out", "in" or "both", as seen from ``host``.
        """
        path = self._find_cut_file(host)
        fresh = path.with_suffix(".new")
        fresh.write_text("".join(f"{direction} {name}\n" for name in others))
        fresh.replace(path)

    def _find_cut_file(self, host: str) -> pathlib.Path:
        return self.folder / f"{host}.cut"

    def wait_ready(
        self, name: str, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Waits until a host is ready.

        Returns:
          The time it took, in seconds.

        Raises:
          FleetError: The process has exited, or the timeout has passed.
        """
        address = self.declaration.hosts[name].caller_address
        started = time.monotonic()
        reason = "no answer"
        while time.monotonic() - started < timeout_s:
            if self.daemons[name].process.poll() is not None:
                break
            try:
                reply = self._http.request(
                    "GET", f"http://{address}/readyz", timeout=1.0
                )
            except urllib3.exceptions.HTTPError as error:
                reason = str(error)
            else:
                if reply.status == 200:
                    return time.monotonic() - started
                reason = reply.data.decode(errors="replace")
            time.sleep(0.05)
        log = self.daemons[name].log_path.read_text(errors="replace")
        raise FleetError(f"host {name!r} is not ready: {reason}\n{log[-3000:]}")

    def publish(self, revision: int | None = None) -> int:
        """Publishes the current parts; returns the revision."""
        values = self.deployment.build_values(revision)
        self.platform.control("publish", values=values)
        return self.deployment.revision

    def query(
        self, host: str, lookup: str, deadline_ms: int = 1000, **fields: object
    ) -> Document:
        """Sends a query to a host; returns the answer and its HTTP status.

        Raises:
          urllib3.exceptions.HTTPError: The host did not answer.
        """
        body = {"lookup": lookup, "deadline_ms": deadline_ms, **fields}
        address = self.declaration.hosts[host].caller_address
        reply = self._http.request(
            "POST",
            f"http://{address}/v1/query",
            body=json.dumps(body),
            timeout=deadline_ms / 1000 + 5.0,
        )
        return {**json.loads(reply.data), "status": reply.status}

    def place(
        self,
        host: str,
        data_centre: str = "",
        tickets: int = 0,
        caller: str = "",
    ) -> Document:
        """Returns the placement answer of a host and its HTTP status."""
        address = self.declaration.hosts[host].caller_address
        fields = {"tickets": str(tickets)} if tickets else {}
        if data_centre:
            fields["data_centre"] = data_centre
        reply = self._http.request(
            "GET",
            f"http://{address}/v1/placement",
            fields=fields,
            headers={"Caller-Name": caller} if caller else None,
            timeout=5.0,
        )
        return {**json.loads(reply.data), "status": reply.status}

    def find_administration(self, host: str) -> str:
        """Returns the administration address of a host."""
        text = self.deployment.hosts[host]
        line = next(
            row for row in text.splitlines() if row.startswith("administration")
        )
        return json.loads(line.partition("=")[2])

    def administer(self, host: str, path: str) -> Document:
        """Returns a JSON document of the administration interface of a host."""
        address = self.find_administration(host)
        reply = self._http.request(
            "GET", f"http://{address}{path}", timeout=5.0
        )
        return json.loads(reply.data)

    def read_journals(self) -> dict[str, Document]:
        """Returns the journal of every target by name."""
        journals: dict[str, Document] = {}
        for stand_in in self.target_processes.values():
            journals.update(stand_in.read("journal")["targets"])
        return journals

    def find_stand_in(self, target: str) -> launch.StandIn:
        """Returns the stand-in process that runs a target."""
        return self.target_processes[
            self.declaration.targets[target].data_centre
        ]

    def stop(self) -> None:
        """Stops all processes and deletes the folder.

        The folder stays if BRAMLEYFORK_KEEP_LOGS is set.
        """
        for daemon in self.daemons.values():
            daemon.kill()
        for stand_in in self.target_processes.values():
            stand_in.stop()
        if self.platform is not None:
            self.platform.stop()
        self._http.clear()
        if os.environ.get("BRAMLEYFORK_KEEP_LOGS"):
            self._folder._finalizer.detach()
            return
        self._folder.cleanup()

    def _build_target(self, target: declarations.Target) -> Document:
        service = self.declaration.services[target.service]
        # The queue of the stand-in has the declared length. A longer one would
        # hide that a host exceeds its share.
        fields = {
            "address": target.address,
            "slots": service.slots,
            "queue": service.queue,
            "connections": service.connections,
            "cold_in_flight": service.cold_in_flight,
            "cold_rate": service.cold_rate,
            "cold_period_s": service.cold_period_s,
            "holdings": HOLDINGS,
            "latency": self._build_latency(target),
        }
        return launch.build_target_settings(
            target.name, target.service, **{**fields, **self.target_fields}
        )

    def _build_latency(self, target: declarations.Target) -> dict[str, float]:
        """Returns the latency in ms by IP of hosts in other data centres."""
        if self.data_centre_latency_ms <= 0:
            return {}
        return {
            host.peer_address.rpartition(":")[0]: self.data_centre_latency_ms
            for host in self.declaration.hosts.values()
            if host.data_centre != target.data_centre
        }
