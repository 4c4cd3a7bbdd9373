"""Runs soaks: ``python -m bench.soak --seeds 3``."""

import asyncio
import json
import pathlib
import time

from absl import app
from absl import flags

from bench.soak import callers as callers_module
from bench.soak import checks
from bench.soak import environment as environments
from bench.soak import faults

_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of soaks.", lower_bound=1)
_SEED = flags.DEFINE_integer(
    "seed", None, "First seed; the time of day if none."
)
_SECONDS = flags.DEFINE_float("seconds", 12.0, "Length of the faults.")
_FAULTS = flags.DEFINE_list("faults", [], "Faults to draw from; all if none.")
_NET = flags.DEFINE_integer("net", 88, "Second number of loopback addresses.")
_KEEP = flags.DEFINE_string("keep", "run/soak", "Folder for failed soaks.")

_CALLERS = 12
_GAP_S = (0.0, 1.2)  # Range of the time between the starts of two faults.
_RECOVERY_S = 6.0  # Load without new faults at the end of a soak.


class Report:
    """Result of a soak.

    Attributes:
      seed: Seed of faults and load.
      calls: Number of requests sent.
      answered: Number of requests answered with status 200.
      drawn: Names of the injected faults in order.
      findings: Violations found by the checks.
    """

    __slots__ = ("seed", "calls", "answered", "drawn", "findings")

    def __init__(
        self,
        *,
        seed: int,
        calls: int,
        answered: int,
        drawn: list[str],
        findings: list[str],
    ):
        self.seed = seed
        self.calls = calls
        self.answered = answered
        self.drawn = drawn
        self.findings = findings


async def run_soak(
    seed: int,
    seconds: float,
    names: list[str],
    *,
    net: int = 88,
    keep: str | None = None,
) -> Report:
    """Runs one soak and all checks.

    Args:
      seed: Seed of faults and load.
      seconds: Time during which faults start, in seconds.
      names: Names of the faults to draw from.
      net: Second number of the loopback addresses of the hosts.
      keep: Folder for report and logs of a soak with findings.
    """
    environment = environments.SoakEnvironment(seed=seed, net=net)
    callers = callers_module.Callers(environment=environment, count=_CALLERS)
    drawn: list[str] = []
    try:
        await environment.open()
        await environment.wait_until_ready()
        load = asyncio.create_task(callers.run(seconds + _RECOVERY_S))
        await _run_faults(environment, seconds, names, drawn)
        await load
    finally:
        await environment.close()
    findings = [
        f"{name}: {found}"
        for name, check in checks.CHECKS.list_items()
        for found in check(environment, callers.calls)
    ]
    if findings and keep:
        _save_findings(
            pathlib.Path(keep) / str(seed), environment, drawn, findings
        )
    return Report(
        seed=seed,
        calls=len(callers.calls),
        answered=sum(call.status == 200 for call in callers.calls),
        drawn=drawn,
        findings=findings,
    )


async def _run_faults(environment, seconds, names, drawn) -> None:
    """Starts random faults; adds their names to ``drawn``."""
    end = time.monotonic() + seconds
    running = set()
    while time.monotonic() < end:
        name = environment.random.choice(names)
        drawn.append(name)
        running.add(asyncio.create_task(faults.FAULTS.find(name)(environment)))
        await asyncio.sleep(environment.random.uniform(*_GAP_S))
    # Faults that wait for a process or a drain end within a few seconds. Others
    # are cancelled, as they could start a process after the environment closed.
    _, pending = await asyncio.wait(running, timeout=_RECOVERY_S - 2.0)
    for task in pending:
        task.cancel()
    for result in await asyncio.gather(*running, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


def _save_findings(folder: pathlib.Path, environment, drawn, findings) -> None:
    """Writes the findings and the logs of the hosts to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps({"faults": drawn, "broken": findings}, indent=1)
    (folder / "report.json").write_text(text)
    for name, log in environment.read_logs().items():
        (folder / f"{name}.log").write_text(log)


def main(argv: list[str]) -> int:
    """Runs the soaks; returns 1 if one has findings."""
    del argv
    names = _FAULTS.value or faults.FAULTS.list_names()
    first = _SEED.value
    if first is None:
        first = int(time.time())
    failed = 0
    for seed in range(first, first + _SEEDS.value):
        report = asyncio.run(
            run_soak(
                seed,
                _SECONDS.value,
                names,
                net=_NET.value,
                keep=_KEEP.value,
            )
        )
        failed += bool(report.findings)
        print(  # noqa: T201
            f"seed {seed}: {report.answered} of {report.calls} calls answered,"
            f" {len(report.drawn)} faults, {len(report.findings)} findings"
        )
        for line in report.findings[:10]:
            print(f"  {line}")  # noqa: T201
    return int(failed > 0)


if __name__ == "__main__":
    app.run(main)
