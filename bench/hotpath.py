"""Measures CPU time per sub-request of the daemons and query latency.

Run with ``python -m bench.hotpath`` from the root of the repository;
``--other=PATH`` names the ``src`` of another checkout for a paired comparison.
"""

import concurrent.futures
import json
import os
import pathlib
import re
import statistics
import time
import typing

from absl import app
from absl import flags

from bench import checks
from bench import fleet as fleet_module

_OTHER = flags.DEFINE_string(
    "other", None, "The src folder of another checkout to compare with."
)
_PAIRS = flags.DEFINE_integer(
    "pairs", 5, "Measured phases of each tree.", lower_bound=1, upper_bound=50
)
_QUERIES = flags.DEFINE_integer(
    "queries",
    40,
    "Queries per caller and phase.",
    lower_bound=1,
    upper_bound=2000,
)
_CALLERS = flags.DEFINE_integer(
    "callers", 3, "Concurrent callers.", lower_bound=1, upper_bound=50
)
_NET = flags.DEFINE_integer(
    "net", 60, "Second number of the addresses; the other tree takes the next."
)
_THREADS = flags.DEFINE_bool(
    "threads", False, "Also report CPU per kind of thread."
)

_LOOKUP = "availability"
_RECORD_STRIDE = 8192  # Eight records per reply.
_SERVICE_MS = 4.0
# Per caller; fills latency windows, connection pools and caches.
_WARMUP_QUERIES = 20
_DEADLINE_MS = 2000  # Longest deadline that the example allows.
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SOURCE = pathlib.Path(__file__).parent.parent / "src"
_HOOKS = pathlib.Path(__file__).parent / "hooks"

Usage = dict[str, float]


class Tree:
    """One source tree with its fleet and its measurements.

    Attributes:
      name: "this" or "other".
      fleet: Fleet that runs the tree.
      phases: Figures of each load phase.
      latencies: Latency of each query, seconds.
      incomplete: Number of answers in load phases that were not "ok".
      threads: CPU seconds per kind of thread, over all load phases.
    """

    __slots__ = (
        "name",
        "fleet",
        "phases",
        "latencies",
        "incomplete",
        "threads",
    )

    def __init__(self, *, name: str, source: pathlib.Path, net: int):
        paths = [str(_HOOKS)] if _THREADS.value else []
        self.name = name
        self.fleet = fleet_module.Fleet(
            deployment=fleet_module.Deployment(name="torno-norte", net=net),
            python_path=os.pathsep.join([*paths, str(source)]),
            record_stride=_RECORD_STRIDE,
            service_ms=_SERVICE_MS,
        )
        self.phases: list[dict[str, float]] = []
        self.latencies: list[float] = []
        self.incomplete = 0
        self.threads: Usage = {}

    def list_processes(self) -> list[int]:
        """Returns the process ids of the daemons."""
        return [d.process.pid for d in self.fleet.daemons.values()]


def read_usage(processes: list[int]) -> Usage:
    """Returns user and system CPU seconds, summed over processes."""
    total = {"user": 0.0, "system": 0.0}
    for process in processes:
        user, system, _ = _read_times(pathlib.Path(f"/proc/{process}"))
        total["user"] += user
        total["system"] += system
    return total


def read_threads(processes: list[int]) -> Usage:
    """Returns CPU seconds by kind of thread, summed over processes.

    The kind is the name of the thread up to its number.
    """
    total: Usage = {}
    for process in processes:
        for path in pathlib.Path(f"/proc/{process}/task").iterdir():
            try:
                user, system, name = _read_times(path)
            except OSError:
                continue  # The thread has exited.
            kind = re.sub(r"[-_ (]*[0-9].*$", "", name)
            total[kind] = total.get(kind, 0.0) + user + system
    return total


def _read_times(path: pathlib.Path) -> tuple[float, float, str]:
    """Returns user and system CPU seconds and the name of a task."""
    name, _, rest = (path / "stat").read_text().rpartition(")")
    fields = rest.split()
    user, system = int(fields[11]), int(fields[12])
    return user / _TICKS_PER_S, system / _TICKS_PER_S, name.partition("(")[2]


def run_queries(tree: Tree, count: int) -> list[float]:
    """Runs ``count`` queries per caller; returns their latencies in seconds.

    Raises:
      FleetError: An answer is wrong.
    """
    hosts = sorted(tree.fleet.daemons)
    lookup = tree.fleet.declaration.lookups[_LOOKUP]

    def call(number: int) -> list[float]:
        host = hosts[number * len(hosts) // _CALLERS.value % len(hosts)]
        latencies = []
        for _ in range(count):
            started = time.monotonic()
            answer = tree.fleet.query(
                host, _LOOKUP, _DEADLINE_MS, parameters="day=1"
            )
            latencies.append(time.monotonic() - started)
            errors = checks.find_answer_errors(
                answer, lookup, stride=_RECORD_STRIDE
            )
            if errors:
                raise fleet_module.FleetError("; ".join(errors))
            if answer["code"] != "ok":
                tree.incomplete += 1
        return latencies

    with concurrent.futures.ThreadPoolExecutor(_CALLERS.value) as pool:
        parts = list(pool.map(call, range(_CALLERS.value)))
    return [seconds for part in parts for seconds in part]


def measure_phase(loaded: Tree) -> None:
    """Measures a fleet under load, minus an idle phase of equal length."""
    processes = loaded.list_processes()
    services = len(loaded.fleet.declaration.lookups[_LOOKUP].services)
    threads = read_threads(processes)
    before = read_usage(processes)
    started = time.monotonic()
    latencies = run_queries(loaded, _QUERIES.value)
    elapsed_s = time.monotonic() - started
    middle = read_usage(processes)
    for kind, seconds in read_threads(processes).items():
        used = seconds - threads.get(kind, 0.0)
        loaded.threads[kind] = loaded.threads.get(kind, 0.0) + used
    time.sleep(elapsed_s)
    after = read_usage(processes)
    net = {
        kind: (middle[kind] - before[kind]) - (after[kind] - middle[kind])
        for kind in before
    }
    loaded.latencies.extend(latencies)
    count = len(latencies)
    loaded.phases.append(
        {
            "query_us": sum(net.values()) / count * 1e6,
            "subrequest_us": sum(net.values()) / count / services * 1e6,
            "user_us": net["user"] / count / services * 1e6,
            "system_us": net["system"] / count / services * 1e6,
            "p50_ms": compute_quantile_ms(latencies, 0.50),
            "p99_ms": compute_quantile_ms(latencies, 0.99),
        }
    )


def compute_quantile_ms(latencies: list[float], quantile: float) -> float:
    """Returns a quantile of latencies in seconds, in milliseconds."""
    ordered = sorted(latencies)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] * 1000


def summarise(tree: Tree) -> dict[str, typing.Any]:
    """Returns medians over the phases of a tree and its CPU by thread kind."""
    summary: dict[str, typing.Any] = {
        key: round(statistics.median(p[key] for p in tree.phases), 1)
        for key in tree.phases[0]
    }
    summary["incomplete"] = tree.incomplete
    summary["p50_ms"] = round(compute_quantile_ms(tree.latencies, 0.50), 1)
    summary["p99_ms"] = round(compute_quantile_ms(tree.latencies, 0.99), 1)
    if _THREADS.value:
        services = len(tree.fleet.declaration.lookups[_LOOKUP].services)
        subrequests = len(tree.latencies) * services
        summary["subrequest_us_by_thread"] = {
            kind: round(seconds / subrequests * 1e6, 1)
            for kind, seconds in sorted(
                tree.threads.items(), key=lambda row: -row[1]
            )
        }
    return summary


def compare(this: Tree, other: Tree) -> dict[str, typing.Any]:
    """Returns ratios of this tree to the other, per phase and as medians."""
    compared: dict[str, typing.Any] = {}
    for key in ("subrequest_us", "p50_ms", "p99_ms"):
        ratios = [
            round(a[key] / b[key], 3)
            for a, b in zip(this.phases, other.phases, strict=True)
        ]
        compared[f"{key}_ratios"] = ratios
        compared[f"{key}_ratio"] = round(statistics.median(ratios), 3)
    return compared


def run(trees: list[Tree]) -> dict[str, typing.Any]:
    """Measures running fleets in alternation; returns the report."""
    for tree in trees:
        run_queries(tree, _WARMUP_QUERIES)
        tree.incomplete = 0
    for number in range(_PAIRS.value):
        # The order alternates so that machine drift favours neither tree.
        for tree in trees if number % 2 == 0 else reversed(trees):
            measure_phase(tree)
    result = {tree.name: summarise(tree) for tree in trees}
    if len(trees) > 1:
        result["compared"] = compare(*trees)
    return result


def main(argv: list[str]) -> None:
    """Measures one or two trees and prints a JSON object."""
    del argv
    trees = [Tree(name="this", source=_SOURCE, net=_NET.value)]
    if _OTHER.value is not None:
        source = pathlib.Path(_OTHER.value).resolve()
        trees.append(Tree(name="other", source=source, net=_NET.value + 1))
    try:
        for tree in trees:
            tree.fleet.start()
        result = run(trees)
    finally:
        for tree in trees:
            tree.fleet.stop()
    print(json.dumps(result))  # noqa: T201


if __name__ == "__main__":
    app.run(main)
