"""Reads CPU, memory and control traffic of a fleet's daemons.

CPU and memory come from /proc, traffic from each host's metrics page.
"""

import collections.abc
import concurrent.futures
import os
import pathlib
import re
import time

import urllib3

from bench import fleet as fleet_module
from bramleyfork.core import records

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_THREADS = 8  # Concurrent requests; more would load the benchmark itself.
_TRAFFIC_PATTERN = re.compile(
    r"^bramleyfork_peer_transport_(\w+)_total\{code=\"(\w+)\"\} (\S+)$", re.M
)
_DATA_KINDS = frozenset({"subrequest", "subreply", "cancel"})

COUNTS = ("messages_in", "messages_out", "bytes_in", "bytes_out")


class UsageSample(records.Record):
    """Counters of all running hosts at one time.

    Attributes:
      at: Monotonic seconds.
      cpu_s: CPU time used so far by host, seconds.
      memory_bytes: Resident memory by host.
      traffic: Control traffic of all hosts so far, by counter and message
        kind.
      platform: Calls counted by the platform stand-in, by kind.
    """

    __slots__ = ("at", "cpu_s", "memory_bytes", "traffic", "platform")

    def __init__(
        self,
        *,
        at: float,
        cpu_s: dict[str, float],
        memory_bytes: dict[str, int],
        traffic: dict[str, dict[str, float]],
        platform: dict[str, int],
    ):
        self.at = at
        self.cpu_s = cpu_s
        self.memory_bytes = memory_bytes
        self.traffic = traffic
        self.platform = platform


def query_hosts(
    query: collections.abc.Callable[[str], object], hosts: list[str]
) -> dict[str, object]:
    """Calls ``query`` for each host with limited concurrency.

    Returns:
      The results by host.
    """
    with concurrent.futures.ThreadPoolExecutor(_THREADS) as pool:
        return dict(zip(hosts, pool.map(query, hosts), strict=True))


def read_cpu(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def read_memory(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def take_sample(
    fleet: fleet_module.Fleet, *, closing: bool = False
) -> UsageSample:
    """Returns the current counters of all running hosts.

    Args:
      fleet: The fleet to measure.
      closing: Whether the sample ends a measurement. Reading the metrics pages
        costs the hosts CPU time, so the order of reads keeps that outside the
        measured interval.
    """
    if closing:
        at, cpu_s, memory_bytes = _read_processes(fleet)
        traffic = _sum_traffic(fleet)
    else:
        traffic = _sum_traffic(fleet)
        at, cpu_s, memory_bytes = _read_processes(fleet)
    return UsageSample(
        at=at,
        cpu_s=cpu_s,
        memory_bytes=memory_bytes,
        traffic=traffic,
        platform=fleet.platform.read("calls")["by_kind"],
    )


def compare_samples(first: UsageSample, last: UsageSample) -> dict[str, float]:
    """Returns CPU, memory and rates per host between two samples."""
    seconds, hosts = last.at - first.at, len(last.cpu_s)
    cpu_s = [last.cpu_s[name] - first.cpu_s[name] for name in last.cpu_s]
    rates = {
        "cpu_percent": 100 * sum(cpu_s) / seconds / hosts,
        "cpu_percent_highest": 100 * max(cpu_s) / seconds,
        "memory_mb": sum(last.memory_bytes.values()) / hosts / 1e6,
        "memory_mb_highest": max(last.memory_bytes.values()) / 1e6,
    }
    for name in COUNTS:
        rates[f"{name}_per_s"] = _sum_difference(
            first.traffic[name], last.traffic[name]
        ) / (seconds * hosts)
    rates["platform_calls_per_s"] = (
        _sum_difference(first.platform, last.platform) / seconds
    )
    return rates


def split_traffic(first: UsageSample, last: UsageSample) -> dict[str, float]:
    """Returns bytes sent per second and host, by message kind."""
    scale = (last.at - first.at) * len(last.cpu_s)
    before, after = first.traffic["bytes_out"], last.traffic["bytes_out"]
    rates = {k: (v - before.get(k, 0)) / scale for k, v in after.items()}
    return {kind: rate for kind, rate in rates.items() if rate}


def _read_processes(
    fleet: fleet_module.Fleet,
) -> tuple[float, dict[str, float], dict[str, int]]:
    pids = {name: d.process.pid for name, d in fleet.daemons.items()}
    return (
        time.monotonic(),
        {name: read_cpu(pid) for name, pid in pids.items()},
        {name: read_memory(pid) for name, pid in pids.items()},
    )


def _sum_traffic(fleet: fleet_module.Fleet) -> dict[str, dict[str, float]]:
    http = urllib3.PoolManager(maxsize=_THREADS, retries=False)
    found = query_hosts(
        lambda name: _read_traffic(http, fleet, name), list(fleet.daemons)
    )
    http.clear()
    total: dict[str, dict[str, float]] = {name: {} for name in COUNTS}
    for counts in found.values():
        for name, kind, value in counts:
            total[name][kind] = total[name].get(kind, 0) + value
    return total


def _sum_difference(before: dict[str, float], after: dict[str, float]) -> float:
    return sum(after.values()) - sum(before.values())


def _read_traffic(
    http: urllib3.PoolManager, fleet: fleet_module.Fleet, name: str
) -> list[tuple[str, str, float]]:
    address = fleet.find_administration(name)
    text = http.request("GET", f"http://{address}/metrics", timeout=10.0).data
    return [
        (count, kind, float(value))
        for count, kind, value in _TRAFFIC_PATTERN.findall(text.decode())
        if count in COUNTS and kind not in _DATA_KINDS
    ]
