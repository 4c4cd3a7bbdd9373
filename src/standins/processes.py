"""Runs a stand-in as a process until SIGTERM.

The process reads a settings file and, once it listens, prints one line of
JSON, the ready line, with its addresses.
"""

import asyncio
import collections.abc
import json
import logging
import pathlib
import signal
import sys
import typing

from absl import flags

_SETTINGS = flags.DEFINE_string("settings", None, "JSON file of settings")

Document = dict[str, typing.Any]


class Program(typing.Protocol):
    """A stand-in that can be run as a process."""

    async def start(self) -> Document:
        """Listens on all addresses; returns the fields of the ready line."""

    async def stop(self) -> None:
        """Closes all listeners and connections."""


async def _serve(program: Program) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    ready = await program.start()
    sys.stdout.write(json.dumps({"ready": True, **ready}) + "\n")
    sys.stdout.flush()
    await stopped.wait()
    await program.stop()


def run(build_program: collections.abc.Callable[[Document], Program]) -> None:
    """Runs a program until SIGTERM or SIGINT.

    Args:
      build_program: Creates the program from the settings document. If it
        raises ValueError, the error is printed and the process exits with
        status 2.
    """
    flags.FLAGS(sys.argv)
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    if _SETTINGS.value is None:
        sys.exit("--settings FILE.json is required")
    text = pathlib.Path(_SETTINGS.value).read_text(encoding="utf-8")
    try:
        program = build_program(json.loads(text))
    except ValueError as error:
        sys.stderr.write(f"{_SETTINGS.value}: {error}\n")
        sys.exit(2)
    asyncio.run(_serve(program))
