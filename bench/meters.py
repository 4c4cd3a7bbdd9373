"""Measures one run on a fleet.

Combines the samples of the callers with CPU counters of /proc, the journals
of the target stand-ins and the daemons' logs.
"""

import os
import statistics
import time
import typing

from bench import demo
from bench import fleet as fleet_module
from bench import load

Figures = dict[str, typing.Any]
_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_ANSWERED = frozenset({"ok", "partial"})


class Meter:
    """Compares the counters of a fleet's processes before and after a run.

    Creating a meter resets the journals of the target stand-ins and starts
    the measurement.

    Args:
      fleet: Running fleet to measure.
    """

    __slots__ = ("_fleet", "_started", "_cpu", "_machine", "_decisions")

    def __init__(self, *, fleet: fleet_module.Fleet):
        self._fleet = fleet
        for stand_in in fleet.target_processes.values():
            stand_in.control("reset")
        self._decisions = self._count_decisions()
        self._cpu = self._read_cpu()
        self._machine = _read_machine_ticks()
        self._started = time.monotonic()

    def finish(self, samples: list[load.QuerySample]) -> Figures:
        """Returns the figures of a run that has just ended.

        Args:
          samples: Results of all queries of the run.
        """
        elapsed_s = time.monotonic() - self._started
        cpu_s = {n: s - self._cpu[n] for n, s in self._read_cpu().items()}
        machine = _read_machine_ticks()
        busy, total = (
            b - a for a, b in zip(self._machine, machine, strict=True)
        )
        decisions = self._count_decisions()
        journals = self._fleet.read_journals().values()
        lookups = self._fleet.declaration.lookups
        needed = sum(len(lookups[s.lookup].services) for s in samples)
        seen = sum(sum(j["outcomes"].values()) for j in journals)
        return {
            **summarise(samples),
            "needed": needed,
            "seen": seen,
            "extra_load": seen / max(1, needed) - 1.0,
            "cold_violations": sum(len(j["cold_violations"]) for j in journals),
            "cpu_ms": 1000 * sum(cpu_s.values()) / max(1, needed),
            "daemon_busy": max(cpu_s.values()) / elapsed_s,
            "machine_busy": busy / max(1, total),
            **{n: decisions[n] - self._decisions[n] for n in decisions},
            "latencies": _group_latencies(samples),
            "lookups": _group_lookups(samples),
        }

    def _read_cpu(self) -> dict[str, float]:
        """Returns the CPU time used by each daemon so far, in seconds."""
        return {
            name: _read_process_cpu(daemon.process.pid)
            for name, daemon in self._fleet.daemons.items()
        }

    def _count_decisions(self) -> dict[str, int]:
        """Returns the numbers of hedges and retries in all daemon logs."""
        marks = {"hedges": '"segment hedged"', "retries": '"segment retried"'}
        texts = [d.log_path.read_text() for d in self._fleet.daemons.values()]
        return {
            name: sum(text.count(mark) for text in texts)
            for name, mark in marks.items()
        }


def summarise(samples: list[load.QuerySample]) -> Figures:
    """Returns latency percentiles, coverage and refusals of queries.

    A refused query has coverage 0 and is left out of the latencies.
    """
    latencies = [s.latency_s for s in samples if s.code in _ANSWERED]
    coverages = [s.coverage for s in samples]
    return {
        "queries": len(samples),
        "p50_ms": demo.compute_percentile_ms(latencies, 50),
        "p99_ms": demo.compute_percentile_ms(latencies, 99),
        "p999_ms": demo.compute_percentile_ms(latencies, 99.9),
        "coverage": statistics.fmean(coverages) if coverages else 0.0,
        "coverage_min": min(coverages, default=0.0),
        "complete": _compute_fraction(samples, {"ok"}),
        "refused": round(
            (1 - _compute_fraction(samples, _ANSWERED)) * len(samples)
        ),
    }


def _compute_fraction(
    samples: list[load.QuerySample], codes: typing.Collection
) -> float:
    """Returns the fraction of queries that were answered with ``codes``."""
    return sum(s.code in codes for s in samples) / max(1, len(samples))


def _group_latencies(samples: list[load.QuerySample]) -> dict[str, list[float]]:
    """Returns the latencies of answered queries by lookup, in ms."""
    grouped: dict[str, list[float]] = {}
    for sample in samples:
        if sample.code in _ANSWERED:
            row = grouped.setdefault(sample.lookup, [])
            row.append(round(1000 * sample.latency_s, 1))
    return grouped


def _group_lookups(samples: list[load.QuerySample]) -> dict[str, Figures]:
    """Returns a summary of the queries of each lookup."""
    names = sorted({sample.lookup for sample in samples})
    return {
        name: summarise([s for s in samples if s.lookup == name])
        for name in names
    }


def _read_process_cpu(pid: int) -> float:
    """Returns the CPU time of a process so far, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def _read_machine_ticks() -> tuple[int, int]:
    """Returns busy and total clock ticks, summed over all cores."""
    with open("/proc/stat") as file:
        ticks = [int(n) for n in file.readline().split()[1:9]]
    return sum(ticks) - ticks[3] - ticks[4], sum(ticks)
