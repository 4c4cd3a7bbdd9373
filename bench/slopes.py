"""Measures the cost of the control plane per host over the fleet size.

    python -m bench.slopes --sizes 3,6,12,24,48 --net 80 --label baseline

Writes a report in JSON and Markdown to bench/out/. A run of all sizes takes
about 8 minutes, needs about 4 GB and starts at most 48 daemons at once.
"""

import datetime
import json
import pathlib
import random
import signal
import statistics
import sys
import time
import typing

from absl import app
from absl import flags
import urllib3

from bench import fits
from bench import fleet as fleet_module
from bench import generated
from bench import process_usage

_SIZES = flags.DEFINE_list("sizes", ["3", "6", "12", "24", "48"], "Host counts")
_NET = flags.DEFINE_integer("net", 80, "Second number of all addresses")
_LABEL = flags.DEFINE_string("label", "slopes", "Name of the report's files")

OUT = pathlib.Path(__file__).parent / "out"
_MAX_HOSTS = 48  # Daemons at once; each takes about 60 MB.
_IDLE_S = 15.0
_CHANGES = 8  # Publications while CPU time is measured.
_CHANGE_S = 2.0
_PUBLICATIONS = 10  # Publications whose propagation is timed.
_KILLS = 2
_TIMEOUT_S = 30.0  # Timeout of wait_for_all.
_POLL_S = 0.02  # Between two polls of the hosts that are not done.

Row = dict[str, typing.Any]


class Timing(typing.NamedTuple):
    """Time until a change had reached all hosts.

    Attributes:
      seconds: From the change to the first poll that found it on all hosts.
      resolution_s: Longest interval between two polls, seconds.
    """

    seconds: float
    resolution_s: float


def wait_for_all(
    fleet: fleet_module.Fleet,
    hosts: list[str],
    path: str,
    is_done: typing.Callable[[str, Row], bool],
    started: float,
) -> Timing:
    """Polls hosts until each has reached a state.

    Args:
      fleet: Running fleet.
      hosts: Names of the hosts to wait for.
      path: Path of the administration page to poll.
      is_done: Gets the name of a host and the page; returns whether the host
        has reached the state.
      started: Monotonic time of the change.

    Raises:
      fleet_module.FleetError: Not all hosts reached the state within
        _TIMEOUT_S.
    """
    missing, longest, last = list(hosts), 0.0, time.monotonic()
    while True:
        documents = process_usage.query_hosts(
            lambda name: fleet.administer(name, path), missing
        )
        now = time.monotonic()
        longest, last = max(longest, now - last), now
        missing = [n for n in missing if not is_done(n, documents[n])]
        if not missing:
            return Timing(now - started, longest)
        if now - started > _TIMEOUT_S:
            raise fleet_module.FleetError(
                f"{path} of {missing} did not change within the time limit"
            )
        time.sleep(_POLL_S)


def start_fleet(fleet: fleet_module.Fleet) -> Row:
    """Starts platform and daemons; returns time and platform calls."""
    fleet.start_platform()
    started = time.monotonic()
    for name in fleet.deployment.hosts:
        fleet.start_daemon(name)
    for name in fleet.daemons:
        fleet.wait_ready(name, timeout_s=60.0)
    ready_s = time.monotonic() - started
    hosts = list(fleet.daemons)
    wait_for_all(
        fleet,
        hosts,
        "/v1/members",
        lambda _, page: _count_alive(page) == len(hosts),
        time.monotonic(),
    )
    calls = fleet.platform.read("calls")
    return {
        "start_ready_s": ready_s,
        "start_platform_calls": calls["total"],
        "start_platform_calls_highest_per_s": max(
            calls["by_second"].values()
            if isinstance(calls["by_second"], dict)
            else [count for _, count in calls["by_second"]]
        ),
    }


def measure_idle(fleet: fleet_module.Fleet) -> Row:
    """Returns the cost of the control plane while nothing changes."""
    time.sleep(5.0)  # Member updates of the start are still spreading.
    first = process_usage.take_sample(fleet)
    time.sleep(_IDLE_S)
    last = process_usage.take_sample(fleet, closing=True)
    rates = process_usage.compare_samples(first, last)
    return {
        **{f"rest_{name}": value for name, value in rates.items()},
        "rest_bytes_out_by_kind": process_usage.split_traffic(first, last),
    }


def measure_change(fleet: fleet_module.Fleet) -> Row:
    """Returns the cost of the control plane at a revision every 2 s."""
    first = process_usage.take_sample(fleet)
    for _ in range(_CHANGES):
        fleet.deployment.change()
        fleet.publish()
        time.sleep(_CHANGE_S)
    last = process_usage.take_sample(fleet, closing=True)
    rates = process_usage.compare_samples(first, last)
    return {
        **{f"change_{name}": value for name, value in rates.items()},
        "change_bytes_out_by_kind": process_usage.split_traffic(first, last),
    }


def time_publications(fleet: fleet_module.Fleet) -> Row:
    """Returns how long revisions took to be in force on all hosts."""
    timings = []
    for _ in range(_PUBLICATIONS):
        fleet.deployment.change()
        started = time.monotonic()
        revision = fleet.publish()
        timings.append(
            wait_for_all(
                fleet,
                list(fleet.daemons),
                "/v1/state",
                lambda _, page, wanted=revision: page["revision"] >= wanted,
                started,
            )
        )
        time.sleep(0.5)
    seconds = sorted(t.seconds for t in timings)
    return {
        "in_force_median_s": statistics.median(seconds),
        "in_force_highest_s": seconds[-1],
        "in_force_resolution_s": max(t.resolution_s for t in timings),
        "in_force_all_s": seconds,
    }


def time_losses(fleet: fleet_module.Fleet) -> Row:
    """Returns how long all hosts took to detect a kill and a restart."""
    dead, back, resolution = [], [], 0.0
    names = random.Random(len(fleet.daemons)).sample(
        list(fleet.daemons), _KILLS
    )
    for lost in names:
        others = [name for name in fleet.daemons if name != lost]
        started = time.monotonic()
        fleet.daemons[lost].send_signal(signal.SIGKILL)
        timing = wait_for_all(
            fleet,
            others,
            "/v1/members",
            lambda _, page, host=lost: _find_state(page, host) == "dead",
            started,
        )
        dead.append(timing.seconds)
        resolution = max(resolution, timing.resolution_s)
        fleet.daemons[lost].kill()
        started = time.monotonic()
        fleet.start_daemon(lost)
        fleet.wait_ready(lost)
        timing = wait_for_all(
            fleet,
            others,
            "/v1/members",
            lambda _, page, host=lost: _find_state(page, host) == "alive",
            started,
        )
        back.append(timing.seconds)
        resolution = max(resolution, timing.resolution_s)
    return {
        "dead_highest_s": max(dead),
        "dead_all_s": dead,
        "alive_again_highest_s": max(back),
        "alive_again_all_s": back,
        "loss_resolution_s": resolution,
    }


def measure_size(count: int, net: int) -> Row:
    """Returns all figures at one host count.

    Args:
      count: Number of hosts.
      net: Second number of the loopback addresses.
    """
    deployment = generated.GeneratedDeployment(count=count, net=net)
    fleet = fleet_module.Fleet(deployment=deployment)
    row: Row = {"hosts": count}
    try:
        for measure in (
            start_fleet,
            measure_idle,
            measure_change,
            time_publications,
            time_losses,
        ):
            row.update(measure(fleet))
    except (
        fleet_module.FleetError,
        urllib3.exceptions.HTTPError,
        OSError,
    ) as error:
        # Figures measured before the error stay in the report.
        row["error"] = f"{type(error).__name__}: {str(error)[:2000]}"
    finally:
        fleet.stop()
    return row


def _count_alive(page: Row) -> int:
    return sum(member["state"] == "alive" for member in page["members"])


def _find_state(page: Row, host: str) -> str:
    found = [m["state"] for m in page["members"] if m["host"] == host]
    return found[0] if found else "unknown"


def main(argv: list[str]) -> int:
    """Measures all sizes and writes the report."""
    del argv
    sizes = sorted({int(size) for size in _SIZES.value})
    if sizes[0] < 3 or sizes[-1] > _MAX_HOSTS:
        raise app.UsageError(f"sizes must be in 3..{_MAX_HOSTS}: {sizes}")
    report = {
        "started": datetime.datetime.now(datetime.UTC).isoformat(),
        "command": "python -m bench.slopes " + " ".join(sys.argv[1:]),
        "rows": [],
    }
    OUT.mkdir(exist_ok=True)
    for size in sizes:
        report["rows"].append(measure_size(size, _NET.value))
        report["fits"] = fits.fit_rows(report["rows"], "hosts")
        path = OUT / f"{_LABEL.value}.json"
        path.write_text(json.dumps(report, indent=2))
        text = fits.render_table(report, "hosts")
        path.with_suffix(".md").write_text(text)
    print(text)  # noqa: T201
    return int(any("error" in row for row in report["rows"]))


if __name__ == "__main__":
    app.run(main)
