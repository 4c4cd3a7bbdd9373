"""Runs the daemon of one host as a child process."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

Document = dict[str, typing.Any]


class Daemon:
    """Daemon process of one host; started on construction.

    Args:
      name: Name of the host.
      settings: Text of its settings file.
      folder: Folder for its settings file and its log.
      python_path: PYTHONPATH of the process; None inherits it.
    """

    __slots__ = ("name", "settings_path", "log_path", "process", "log")

    def __init__(
        self,
        *,
        name: str,
        settings: str,
        folder: pathlib.Path,
        python_path: str | None = None,
    ):
        self.name = name
        self.settings_path = folder / f"{name}.toml"
        self.settings_path.write_text(settings)
        self.log_path = folder / f"{name}.log"
        self.log = self.log_path.open("ab")
        environment = dict(os.environ)
        if python_path is not None:
            environment["PYTHONPATH"] = python_path
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bramleyfork.daemon",
                "--settings",
                str(self.settings_path),
            ],
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env=environment,
        )

    def send_signal(self, number: int) -> None:
        """Sends a signal such as SIGSTOP to the process."""
        self.process.send_signal(number)

    def kill(self, timeout_s: float = 5.0) -> int:
        """Kills the process, also a stopped one; returns its exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        status = self.process.wait(timeout_s)
        self.log.close()
        return status

    def read_log(self) -> list[Document]:
        """Returns the JSON log entries written so far."""
        entries = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                entries.append(json.loads(line))
        return entries
