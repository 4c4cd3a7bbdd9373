"""Demonstration: a data centre is taken out of service and brought back.

Runs the deployment of Torno Norte under load. Run with ``make demo``. The last
line of the output is a JSON object.
"""

import collections
import json
import sys
import threading
import time
import typing

import urllib3

from bench import checks
from bench import fleet as fleet_module
from bramleyfork.core import declarations

_NET = 90  # Second number of the loopback addresses.
_SECONDS = 16.0  # Duration of the load.
_OUT_AT_S = 4.0
_BACK_AT_S = 10.0
# Time after publishing from which a data centre that is out must get no new
# requests.
_OUT_BOUND_S = 4.0
_CALLERS = 3
_DATA_CENTRE = "zaragoza"
_PAUSE_S = 0.2  # Between the queries of one caller.
# One query in this many is a kiln pickup, and one is a seat hold.
_QUERY_CYCLE = 10


class Tally:
    """Results of all callers; the lock guards every attribute."""

    __slots__ = ("lock", "codes", "latencies", "wrong", "coverages", "holds")

    def __init__(self):
        self.lock = threading.Lock()
        self.codes: collections.Counter[str] = collections.Counter()
        self.latencies: list[float] = []
        self.wrong: list[str] = []
        self.coverages: list[float] = []
        self.holds: dict[str, str] = {}

    def add(
        self,
        answer: dict[str, typing.Any],
        seconds: float,
        errors: list[str],
    ) -> None:
        """Adds one answer.

        Args:
          answer: Answer of the host.
          seconds: Latency in seconds.
          errors: What is wrong in the answer.
        """
        with self.lock:
            self.codes[answer["code"]] += 1
            self.latencies.append(seconds)
            self.wrong.extend(errors)
            if answer["verdict"] == "RAN":
                self.coverages.append(answer["coverage"])


class Caller:
    """Sends queries to the host that its latest placement answer names.

    Args:
      number: Number of the caller; determines its name and data centre.
      fleet: Fleet to query.
      tally: Results of all callers.
      stopped: Event that ends the caller.
    """

    __slots__ = (
        "name",
        "_centre",
        "_fleet",
        "_tally",
        "_stopped",
        "_hosts",
        "_expires_at",
        "_number",
    )

    def __init__(
        self,
        *,
        number: int,
        fleet: fleet_module.Fleet,
        tally: Tally,
        stopped: threading.Event,
    ):
        centres = sorted(fleet.declaration.data_centres)
        self.name = f"studio-{number}"
        self._centre = centres[number % len(centres)]
        self._fleet = fleet
        self._tally = tally
        self._stopped = stopped
        self._hosts: list[str] = sorted(fleet.declaration.hosts)
        self._expires_at = 0.0
        self._number = 0

    def run(self) -> None:
        """Sends queries until ``stopped`` is set."""
        while not self._stopped.wait(_PAUSE_S):
            self._number += 1
            self._refresh_placement()
            kind = self._number % _QUERY_CYCLE
            if kind == 0:
                self._hold_seat()
            elif kind == 1:
                self._ask("kiln-pickup", key=self._number * 1024 % 65536)
            else:
                self._ask("availability")

    def _refresh_placement(self) -> None:
        if time.monotonic() < self._expires_at:
            return
        for host in list(self._hosts):
            try:
                placed = self._fleet.place(host, self._centre)
            except urllib3.exceptions.HTTPError:
                continue
            if placed["status"] == 200:
                self._hosts = [row["host"] for row in placed["hosts"]]
                lifetime_s = placed["lifetime_ms"] / 1000
                self._expires_at = time.monotonic() + lifetime_s
                return
        self._hosts = sorted(self._fleet.declaration.hosts)

    def _ask(self, lookup: str, **fields: typing.Any) -> None:
        started = time.monotonic()
        day = self._number % 7
        try:
            answer = self._fleet.query(
                self._hosts[0], lookup, parameters=f"day={day}", **fields
            )
        except urllib3.exceptions.HTTPError:
            self._expires_at = 0.0
            return
        seconds = time.monotonic() - started
        declared = self._fleet.declaration.lookups[lookup]
        errors = checks.find_answer_errors(answer, declared, fields.get("key"))
        self._tally.add(answer, seconds, errors)

    def _hold_seat(self) -> None:
        placed = self._fleet.place(self._hosts[0], self._centre, tickets=1)
        if not placed.get("tickets"):
            return
        holder = f"{self.name}-{self._number}"
        host = placed["hosts"][0]["host"]
        answer = self._fleet.query(
            host,
            "seat-hold",
            key=self._number * 1024 % 65536,
            parameters=holder,
            ticket=placed["tickets"][0],
        )
        with self._tally.lock:
            self._tally.codes[f"hold_{answer['code']}"] += 1
            self._tally.holds[holder] = answer["verdict"]


def run_load(
    fleet: fleet_module.Fleet, tally: Tally
) -> tuple[float, list[threading.Thread]]:
    """Runs the callers while a data centre is taken out and brought back.

    Returns:
      Unix times at which the data centre was published as out and as back.
    """
    stopped = threading.Event()
    callers = [
        Caller(number=n, fleet=fleet, tally=tally, stopped=stopped)
        for n in range(_CALLERS)
    ]
    threads = [threading.Thread(target=c.run, daemon=True) for c in callers]
    for thread in threads:
        thread.start()
    time.sleep(_OUT_AT_S)
    set_data_centre_out(fleet, _DATA_CENTRE, out=True)
    out_at = time.time()
    print_progress(f"{_DATA_CENTRE} is out")
    time.sleep(_BACK_AT_S - _OUT_AT_S)
    back_at = time.time()
    set_data_centre_out(fleet, _DATA_CENTRE, out=False)
    print_progress(f"{_DATA_CENTRE} is back")
    time.sleep(_SECONDS - _BACK_AT_S)
    stopped.set()
    for thread in threads:
        thread.join(10.0)
    return out_at, back_at


def set_data_centre_out(
    fleet: fleet_module.Fleet, name: str, *, out: bool
) -> int:
    """Publishes a data centre as out or in service; returns the revision."""
    plain = f'name = "{name}"\n'
    marked = f'name = "{name}"\nout = true\n'
    deployment = fleet.deployment
    if out:
        deployment.edit("fleet", plain, marked)
    else:
        deployment.edit("fleet", marked, plain)
    return fleet.publish()


def count_late_work(
    journals: dict[str, typing.Any],
    targets: dict[str, declarations.Target],
    since: float,
    until: float,
) -> int:
    """Returns how many requests reached the data centre in a time span.

    Args:
      journals: Journals of all targets by name.
      targets: Declared targets by name.
      since: Start of the time span, Unix time.
      until: End of the time span, Unix time.
    """
    return sum(
        1
        for name, journal in journals.items()
        if targets[name].data_centre == _DATA_CENTRE
        for attempt in journal["attempts"]
        if since <= attempt["arrival"] < until
    )


def count_double_holds(journals: dict[str, typing.Any]) -> int:
    """Returns how many seat holds ran more than once on all targets."""
    runs: collections.Counter[str] = collections.Counter()
    for journal in journals.values():
        for write in journal["writes"]:
            runs[write["parameters"]] += write["count"]
    return sum(1 for count in runs.values() if count > 1)


def compute_percentile_ms(values: list[float], percentile: float) -> float:
    """Returns a percentile in milliseconds; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percentile / 100))
    return round(1000 * ordered[index], 1)


def print_progress(text: str) -> None:
    """Prints a line with the time of day."""
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)  # noqa: T201


def main() -> int:
    """Runs the demonstration; returns 1 if an answer or a run was wrong."""
    deployment = fleet_module.Deployment(name="torno-norte", net=_NET)
    tally = Tally()
    started = time.monotonic()
    print_progress("starting platform, targets and six hosts")
    with fleet_module.Fleet(deployment=deployment, service_ms=4.0) as fleet:
        ready_s = time.monotonic() - started
        print_progress(f"all hosts are ready after {ready_s:.1f} s")
        out_at, back_at = run_load(fleet, tally)
        journals = fleet.read_journals()
        targets = fleet.declaration.targets
    late = count_late_work(journals, targets, out_at + _OUT_BOUND_S, back_at)
    doubled = count_double_holds(journals)
    refused = sum(
        n
        for c, n in tally.codes.items()
        if c not in ("ok", "partial") and not c.startswith("hold_")
    )
    for error in tally.wrong[:10]:
        print_progress(f"wrong: {error}")
    result = {
        "queries": len(tally.latencies),
        "complete": tally.codes["ok"],
        "partial": tally.codes["partial"],
        "refused": refused,
        "wrong": len(tally.wrong),
        "p50_ms": compute_percentile_ms(tally.latencies, 50),
        "p99_ms": compute_percentile_ms(tally.latencies, 99),
        "coverage_min": round(min(tally.coverages, default=0.0), 4),
        "work_after_out": late,
        "holds": sum(
            n for c, n in tally.codes.items() if c.startswith("hold_")
        ),
        "holds_run_twice": doubled,
        "ready_s": round(ready_s, 1),
    }
    print(json.dumps(result))  # noqa: T201
    return 1 if tally.wrong or late or doubled or not tally.codes["ok"] else 0


if __name__ == "__main__":
    sys.exit(main())
