"""Starts and stops stand-in processes from tests and benchmarks."""

import json
import pathlib
import select
import subprocess
import sys
import tempfile
import typing

import urllib3

READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 5.0

Document = dict[str, typing.Any]


class LaunchError(Exception):
    """A stand-in did not become ready, or a control call failed."""


def build_target_settings(
    name: str, service: str, **fields: typing.Any
) -> Document:
    """Returns the settings of one target.

    The fields are those of ``target.settings.TargetSettings``.
    """
    return {"name": name, "service": service, **fields}


def build_targets_document(
    targets: list[Document],
    control: str = "127.0.0.1:0",
    **defaults: typing.Any,
) -> Document:
    """Returns the settings document of the target program.

    Args:
      targets: Settings of each target, from ``build_target_settings``.
      control: address:port on which control calls to any target are served.
      **defaults: Values of fields that a target does not set.
    """
    return {"control": control, "defaults": defaults, "targets": targets}


def build_platform_document(
    folder: str | pathlib.Path,
    address: str = "127.0.0.1:0",
    **fields: typing.Any,
) -> Document:
    """Returns the settings document of the platform program.

    The fields are those of ``platform.platform_records.PlatformSettings``.
    """
    return {"address": address, "folder": str(folder), **fields}


class StandIn:
    """A running stand-in process; a context manager that stops it.

    Args:
      program: "target" or "platform".
      settings: The settings document.

    Raises:
      LaunchError: The process is not ready within ``READY_TIMEOUT_S``.

    Attributes:
      ready: Fields of the ready line, with the addresses.
    """

    __slots__ = ("ready", "_process", "_folder", "_http")

    def __init__(self, *, program: str, settings: Document):
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self._folder = tempfile.TemporaryDirectory(prefix="standins-")
        path = pathlib.Path(self._folder.name, "settings.json")
        path.write_text(json.dumps(settings), encoding="utf-8")
        self._process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{program}", "--settings", path],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            self.ready = self._wait_until_ready()
        except BaseException:
            self.stop()
            raise

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def control(
        self, name: str, *, target: str = "", **body: object
    ) -> Document:
        """Makes a control call and returns the reply.

        Args:
          name: Name of the call.
          target: Name of a target of the target program; empty for all.
          **body: Fields of the JSON body.

        Raises:
          LaunchError: The stand-in refused the call.
        """
        return self._send_control_request(
            "POST", name, target, json.dumps(body)
        )

    def read(self, name: str, *, target: str = "") -> Document:
        """Returns the document of a read-only control call.

        Args:
          name: Name of the call, such as "journal" of the target program or
            "calls" of the platform program.
          target: Name of a target of the target program; empty for all.
        """
        return self._send_control_request("GET", name, target, None)

    def stop(self) -> int:
        """Ends the process and returns its exit status.

        The process is killed if it has not ended after ``STOP_TIMEOUT_S``.
        """
        self._process.terminate()
        try:
            status = self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            status = self._process.wait()
        self._process.stdout.close()
        self._http.clear()
        self._folder.cleanup()
        return status

    def _wait_until_ready(self) -> Document:
        readable, _, _ = select.select(
            [self._process.stdout], [], [], READY_TIMEOUT_S
        )
        line = self._process.stdout.readline() if readable else ""
        if not line:
            raise LaunchError(
                f"stand-in {self._process.pid} is not ready after"
                f" {READY_TIMEOUT_S} s or has ended; see its standard error"
            )
        return json.loads(line)

    def _send_control_request(
        self, method: str, name: str, target: str, body: str | None
    ) -> Document:
        query = f"?target={target}" if target else ""
        url = f"http://{self.ready['control']}/control/{name}{query}"
        reply = self._http.request(method, url, body=body)
        if reply.status != 200:
            raise LaunchError(
                f"{method} {url} failed with {reply.status}: {reply.data!r}"
            )
        return json.loads(reply.data)


def start_targets(settings: Document) -> StandIn:
    """Starts the target program and waits until it listens."""
    return StandIn(program="target", settings=settings)


def start_platform(settings: Document) -> StandIn:
    """Starts the platform program and waits until it listens."""
    return StandIn(program="platform", settings=settings)
