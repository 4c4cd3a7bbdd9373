"""Compares routing policies on scaled deployments.

Run ``python -m bench.policies``. Two fleets that differ in their declaration
(or, with --against, in the version of the daemon) run at the same time. Each
load is sent to one fleet and then to the other, in alternating order. The
report is written to bench/out/policies.json and bench/out/policies.md.
"""

import json
import os
import pathlib
import signal
import sys
import time
import typing

from absl import app
from absl import flags

from bench import cases
from bench import demo
from bench import fleet as fleet_module
from bench import load
from bench import meters
from bench import tables
from bramleyfork.core import registries

_PART = flags.DEFINE_float("part", 0.2, "Part of the services that is kept.")
_PAIRS = flags.DEFINE_integer("pairs", 5, "Pairs of runs per case.")
_NET = flags.DEFINE_integer("net", 70, "First of two address numbers.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrival times.")
_DEPLOYMENTS = flags.DEFINE_list(
    "deployments", ["torno-norte", "waagner"], "Examples to measure."
)
_CASES = flags.DEFINE_list("cases", [], "Cases to measure; all by default.")
_COMPARISONS = flags.DEFINE_list(
    "comparisons", ["policies", "strategy"], "Pairs of variants."
)
_AGAINST = flags.DEFINE_string(
    "against", "", "Source folder of an earlier version of the product."
)
_OUT = flags.DEFINE_string("out", "bench/out/policies", "Report's path.")

# Owners treat a target as cold until they have its first report, so the fleets
# first get a low load.
_FIRST_WARM_S = 6.0
_FIRST_RATE = 5.0


class Comparison:
    """Two variants of a deployment; figures are ratios of chosen to plain.

    Attributes:
      plain: Changes to the deployment of the first fleet.
      chosen: Changes to the deployment of the second fleet.
      cases: Names of the cases to measure; all if empty.
    """

    __slots__ = ("plain", "chosen", "cases")

    def __init__(
        self,
        *,
        plain: typing.Callable[[fleet_module.Deployment], object],
        chosen: typing.Callable[[fleet_module.Deployment], object],
        cases: tuple[str, ...] = (),
    ):
        self.plain = plain
        self.chosen = chosen
        self.cases = cases


COMPARISONS: registries.Registry[Comparison] = registries.Registry(
    kind="comparison"
)


def keep(deployment: fleet_module.Deployment) -> None:
    """Keeps the policies of the example, which are the defaults."""
    del deployment


def use_plain(deployment: fleet_module.Deployment) -> None:
    """Declares random replica selection without hedges and retries."""
    deployment.edit(
        "fleet",
        "hedge_percentile = 95.0",
        'hedge_percentile = 0.0\nreplica_policy = "random"\n'
        "hedge_budget = 0.0\nretry_budget = 0.0",
    )


def raise_cold_limit(deployment: fleet_module.Deployment) -> None:
    """Raises the cold limit so that each of six hosts gets a share of it.

    With the examples' limit of 2 the share of each host is 0 under strategy
    "direct", and no target ever becomes warm.
    """
    deployment.edit("services", "cold_in_flight = 2", "cold_in_flight = 6")


def use_direct(deployment: fleet_module.Deployment) -> None:
    """Declares the strategy "direct", where all hosts have equal shares."""
    raise_cold_limit(deployment)
    deployment.edit(
        "fleet",
        "hedge_percentile = 95.0",
        'hedge_percentile = 95.0\nstrategy = "direct"',
    )


COMPARISONS.register("policies")(Comparison(plain=use_plain, chosen=keep))
COMPARISONS.register("strategy")(
    Comparison(
        plain=use_direct,
        chosen=raise_cold_limit,
        cases=("calm", "straggler", "cold restart", "overload"),
    )
)
COMPARISONS.register("versions")(Comparison(plain=keep, chosen=keep))


class Bench:
    """Runs one comparison on two fleets of a deployment.

    Args:
      name: Name of the deployment.
      comparison: Name of the comparison.
    """

    __slots__ = ("name", "comparison", "load_reference", "fleets", "rows")

    def __init__(self, *, name: str, comparison: str):
        self.name = name
        self.comparison = comparison
        chosen = COMPARISONS.find(comparison)
        self.fleets: dict[str, fleet_module.Fleet] = {}
        self.rows: list[dict[str, typing.Any]] = []
        for number, variant in enumerate(("plain", "chosen")):
            deployment = cases.build_deployment(
                name, _NET.value + number, _PART.value
            )
            getattr(chosen, variant)(deployment)
            earlier = variant == "plain" and comparison == "versions"
            self.fleets[variant] = cases.build_fleet(
                deployment,
                name,
                pathlib.Path(_AGAINST.value).resolve() if earlier else None,
            )
            self.load_reference = cases.compute_load_reference(deployment)

    def run(self) -> list[dict[str, typing.Any]]:
        """Starts the fleets, measures all cases and stops the fleets."""
        with self.fleets["plain"], self.fleets["chosen"]:
            for fleet in self.fleets.values():
                self._warm_up(
                    fleet,
                    {self.load_reference.wide: _FIRST_RATE},
                    _FIRST_WARM_S,
                )
            for case in self._list_cases():
                for pair in range(_PAIRS.value):
                    self._run_pair(case, pair)
        return self.rows

    def _list_cases(self) -> list[cases.Case]:
        wanted = _CASES.value or cases.CASES.list_names()
        limit = COMPARISONS.find(self.comparison).cases
        return [
            cases.CASES.find(name)
            for name in wanted
            if not limit or name in limit
        ]

    def _run_pair(self, case: cases.Case, pair: int) -> None:
        order = ["plain", "chosen"]
        if pair % 2:
            order.reverse()
        for variant in order:
            figures = self._measure(case, self.fleets[variant], pair)
            self.rows.append(
                {
                    "deployment": self.name,
                    "comparison": self.comparison,
                    "case": case.name,
                    "pair": pair,
                    "variant": variant,
                    **figures,
                }
            )
            shown = {k: v for k, v in figures.items() if k != "latencies"}
            demo.print_progress(f"{self.name} {case.name} {variant} {shown}")

    def _measure(
        self, case: cases.Case, fleet: fleet_module.Fleet, pair: int
    ) -> meters.Figures:
        rates = case.list_rates(self.load_reference)
        seed = 1000 * _SEED.value + pair
        if case.prepare is not None:
            case.prepare(fleet)
        # The warm-up stays below the capacity of one replica of a service.
        warm_rates = {
            n: min(r, self.load_reference.capacity / 5)
            for n, r in rates.items()
        }
        self._warm_up(fleet, warm_rates, case.warm_s, seed + 500)
        schedule = load.build_schedule(rates, case.seconds, seed)
        meter = meters.Meter(fleet=fleet)
        samples = self._build_callers(fleet).run(schedule, case.plan(fleet))
        return meter.finish(samples)

    def _build_callers(self, fleet: fleet_module.Fleet) -> load.OpenLoopCallers:
        deadline_ms = cases.find_deadline_ms()
        return load.OpenLoopCallers(fleet=fleet, deadline_ms=deadline_ms)

    def _warm_up(
        self,
        fleet: fleet_module.Fleet,
        rates: dict[str, float],
        seconds: float,
        seed: int = 0,
    ) -> None:
        schedule = load.build_schedule(rates, seconds, seed)
        self._build_callers(fleet).run(schedule)


def main(arguments: list[str]) -> None:
    """Runs the comparisons and writes the report."""
    del arguments
    # Exits through the context managers, which stop the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.time()
    load_before = os.getloadavg()
    rows = []
    for name in _DEPLOYMENTS.value:
        for comparison in _COMPARISONS.value:
            rows += Bench(name=name, comparison=comparison).run()
    report = {
        "started": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(started)),
        "seconds": round(time.time() - started),
        "load_average": [load_before, os.getloadavg()],
        "part": _PART.value,
        "pairs": _PAIRS.value,
        "seed": _SEED.value,
        "time_scale": cases.TIME_SCALE.value,
        "rows": rows,
    }
    out = pathlib.Path(_OUT.value)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.with_suffix(".json").write_text(json.dumps(report, indent=1))
    text = tables.build_report(report)
    out.with_suffix(".md").write_text(text)
    print(text)  # noqa: T201


if __name__ == "__main__":
    sys.exit(app.run(main))
