"""Measures CPU time and memory of decisions and codecs at large sizes.

    python -m bench.growth --only declaration --largest 68000 --label after

Each size of each measurement runs in its own child process, so that earlier
sizes don't add to its memory. Writes JSON and Markdown to bench/out/.
"""

import collections.abc
import datetime
import json
import multiprocessing
import pathlib
import sys
import threading
import time
import typing

from absl import app
from absl import flags
import msgpack

from bench import fits
from bench import growth_inputs as inputs
from bramleyfork.codecs import frames
from bramleyfork.codecs import listings as listing_codec
from bramleyfork.configuration import declaration as declaration_module
from bramleyfork.core import messages
from bramleyfork.core import ranges
from bramleyfork.core import registries
from bramleyfork.core import requests
from bramleyfork.decisions import listings
from bramleyfork.decisions import membership
from bramleyfork.decisions import shares
from bramleyfork.decisions import snapshots

_ONLY = flags.DEFINE_list("only", [], "Measurements to make; all if empty")
_LARGEST = flags.DEFINE_integer("largest", 68_000, "Largest size to measure")
_LABEL = flags.DEFINE_string("label", "growth", "Name of the report's files")

_OUT = pathlib.Path(__file__).parent / "out"
_TIMEOUT_S = 240.0  # Timeout of one size; larger ones are then skipped.
_LOSSES_A_DAY, _RESTARTS_A_DAY = 260, 3800
_DAY_S = 86400.0
_TICK_S = 0.005  # Sleep of the thread that measures wake-up delays.

Measure = collections.abc.Callable[[int], dict[str, float]]
# Each entry holds what the size counts, the sizes and the function of a size.
MEASUREMENTS: registries.Registry[tuple[str, tuple[int, ...], Measure]] = (
    registries.Registry(kind="measurement")
)


def measures(
    name: str, size: str, sizes: tuple[int, ...]
) -> collections.abc.Callable[[Measure], Measure]:
    """Returns a decorator that registers a measurement.

    Args:
      name: Name of the measurement.
      size: What the size counts, such as "hosts".
      sizes: Sizes to measure.
    """

    def decorate(measure: Measure) -> Measure:
        MEASUREMENTS.register(name)((size, sizes, measure))
        return measure

    return decorate


def _time_call(action: collections.abc.Callable[[], object], count: int = 1):
    """Returns the CPU seconds of a call, averaged, and its result."""
    started = time.process_time()
    for _ in range(count):
        result = action()
    return (time.process_time() - started) / count, result


def _count_hosts(targets: int) -> int:
    return max(10, min(6700, targets // 10))


@measures("check", "targets", (100, 1000, 10_000, 68_000))
def measure_check(targets: int) -> dict[str, float]:
    """Checks a declaration, then one with a small part changed."""
    hosts = _count_hosts(targets)
    bodies = inputs.build_bodies(targets=targets, hosts=hosts)
    changed = inputs.build_bodies(
        targets=targets, hosts=hosts, revision=2, note="changed"
    )
    before = inputs.read_memory()
    check = declaration_module.check_declaration
    first_s, first = _time_call(lambda: check(bodies))
    used_bytes = inputs.read_memory() - before
    second_s, second = _time_call(lambda: check(changed))
    used_bytes_both = inputs.read_memory() - before
    assert first.is_ok()
    assert second.is_ok()
    return {
        "part_bytes": sum(len(body) for body in bodies.values()),
        "parts": len(bodies),
        "first_check_s": first_s,
        "check_after_change_s": second_s,
        "memory_mb": used_bytes / 1e6,
        "memory_of_two_revisions_mb": used_bytes_both / 1e6,
    }


def _watch_delays(stopped: threading.Event, delays: list[float]) -> None:
    while not stopped.is_set():
        due = time.monotonic() + _TICK_S
        time.sleep(_TICK_S)
        delays.append(time.monotonic() - due)


@measures("delay", "targets", (100, 1000, 10_000, 68_000))
def measure_delay(targets: int) -> dict[str, float]:
    """Measures how late another thread wakes while a check runs."""
    sys.setswitchinterval(0.002)  # The daemon sets the same value.
    hosts = _count_hosts(targets)
    row: dict[str, float] = {}
    kept = []
    for revision in (1, 2, 3):
        bodies = inputs.build_bodies(
            targets=targets, hosts=hosts, revision=revision, note=str(revision)
        )
        stopped, delays = threading.Event(), []
        watch = threading.Thread(target=_watch_delays, args=(stopped, delays))
        watch.start()
        time.sleep(0.1)
        kept.append(declaration_module.check_declaration(bodies).ok)
        stopped.set()
        watch.join()
        row[f"revision_{revision}_highest_delay_ms"] = max(delays) * 1000
        row[f"revision_{revision}_late_200_ms"] = sum(d > 0.2 for d in delays)
    return row


@measures("rank", "hosts", (10, 100, 1000, 6700))
def measure_rank(hosts: int) -> dict[str, float]:
    """Ranks the hosts as owners of one target."""
    bodies = inputs.build_bodies(targets=200, hosts=hosts)
    declaration = declaration_module.check_declaration(bodies).ok
    names = list(declaration.targets.values())[:20]
    seconds, _ = _time_call(
        lambda: [shares.rank_hosts(t, declaration) for t in names]
    )
    return {
        "rank_one_target_ms": seconds / len(names) * 1000,
        "rank_68000_targets_s_extrapolated": seconds / len(names) * 68_000,
    }


@measures("declaration", "targets", (100, 1000, 10_000, 68_000))
def measure_declaration(targets: int) -> dict[str, float]:
    """Puts a declaration in force in every controller, then changed ones."""
    hosts = _count_hosts(targets)
    before = inputs.read_memory()
    harness = inputs.ControllerHarness()
    row: dict[str, float] = {}
    cases = {"first": 0, "change": 0, "host_added": 1}
    for revision, (case, added) in enumerate(cases.items(), start=1):
        bodies = inputs.build_bodies(
            targets=targets, hosts=hosts + added, revision=revision, note=case
        )
        row[f"{case}_configuration_s"] = harness.publish(bodies)
        del bodies
        for name in harness.controllers:
            if name != "configuration":
                row[f"{case}_{name}_s"] = harness.step(name)
        row[f"{case}_memory_mb"] = (inputs.read_memory() - before) / 1e6
    return row


@measures("plan", "services", (10, 100, 1000))
def measure_plan(services: int) -> dict[str, float]:
    """Plans a query over all services, 68 replicas each.

    Each replica holds a quarter of the key space.
    """
    snapshot = requests.Snapshot(index_version=41, map_version=7)
    step = ranges.KEY_SPACE // 4
    holdings = {
        f"shard-{service:05}": {
            f"shard-{service:05}-{replica:02}": (
                requests.Holding(
                    snapshot=snapshot,
                    key_range=ranges.KeyRange(
                        low=replica % 4 * step, high=(replica % 4 + 1) * step
                    ),
                ),
            )
            for replica in range(inputs.REPLICAS)
        }
        for service in range(services)
    }
    seconds, plan = _time_call(
        lambda: snapshots.plan_query(holdings, frozenset())
    )
    return {"plan_ms": seconds * 1000, "segments": len(plan.segments)}


def _build_fleet(hosts: int) -> inputs.ControllerHarness:
    harness = inputs.ControllerHarness()
    harness.publish(inputs.build_bodies(targets=100, hosts=hosts))
    updates = inputs.list_updates(hosts)
    for begin in range(0, hosts, membership.UPDATES_PER_MESSAGE):
        chosen = updates[begin : begin + membership.UPDATES_PER_MESSAGE]
        harness.receive(chosen[0].host, _build_ping(tuple(chosen)))
    for name in harness.controllers:
        harness.step(name)
    harness.now += 1.0
    for name in harness.controllers:
        harness.step(name)
    return harness


def _build_ping(updates: tuple[messages.MemberUpdate, ...]) -> messages.Ping:
    return messages.Ping(
        to=inputs.name_host(0),
        sequence=1,
        revision=0,
        digest="",
        updates=updates,
    )


@measures("message", "hosts", (10, 100, 1000, 6700))
def measure_message(hosts: int) -> dict[str, float]:
    """Steps every controller for one ping without new updates."""
    harness = _build_fleet(hosts)
    updates = inputs.list_updates(hosts)
    cpu_s = dict.fromkeys(harness.controllers, 0.0)
    count = 100
    for turn in range(count):
        harness.now += 0.01
        sender = updates[1 + turn % (hosts - 1)]
        harness.receive(sender.host, _build_ping((sender,)))
        for name in harness.controllers:
            cpu_s[name] += harness.step(name)
    row = {f"{name}_us": s / count * 1e6 for name, s in cpu_s.items()}
    return row | {"all_us": sum(row.values())}


@measures("churn", "hosts", (10, 100, 1000, 6700))
def measure_churn(hosts: int) -> dict[str, float]:
    """Measures CPU and traffic of the losses and restarts of a day.

    Their number is proportional to the size of the fleet.
    """
    harness = _build_fleet(hosts)
    updates = inputs.list_updates(hosts)
    count = min(100, hosts - 1)
    cpu_s = dict.fromkeys(harness.controllers, 0.0)
    for turn in range(count):
        changed = updates[1 + turn]
        # A loss gives the states suspect and dead, a restart a new incarnation.
        for state, incarnation_step in (
            ("suspect", 0),
            ("dead", 0),
            ("alive", 5000),
        ):
            member_update = changed.replace(
                state=state, incarnation=changed.incarnation + incarnation_step
            )
            harness.now += 0.3
            harness.receive(updates[-1].host, _build_ping((member_update,)))
            for name in harness.controllers:
                cpu_s[name] += harness.step(name)
    total = sum(cpu_s.values()) / count
    events = (_LOSSES_A_DAY + _RESTARTS_A_DAY) * hosts / 6700
    sends = membership.compute_send_limit(hosts)
    size = len(frames.FrameEncoder().encode(_build_ping((member_update,)), 0.0))
    empty = len(frames.FrameEncoder().encode(_build_ping(()), 0.0))
    return {
        "one_loss_and_return_ms": total * 1000,
        "day_cpu_s": total * events,
        "day_cpu_percent": total * events / _DAY_S * 100,
        "sends_of_a_piece_of_news": sends,
        "update_bytes": size - empty,
        # Three updates per event.
        "day_bytes_out_per_s": 3 * events * sends * (size - empty) / _DAY_S,
    }


@measures("tables", "hosts", (10, 100, 1000, 6700))
def measure_tables(hosts: int) -> dict[str, float]:
    """Measures the memory of a member table and the bytes to send it."""
    encoder = frames.FrameEncoder()
    before = inputs.read_memory()
    updates = inputs.list_updates(hosts)
    members = {}
    for update in updates:
        members[update.host] = membership.merge_update(
            None, update, 0.0, direct=True
        )
    del updates
    used_bytes = inputs.read_memory() - before
    batches = membership.build_update_batches(members)
    return {
        "memory_mb": used_bytes / 1e6,
        "messages_to_a_new_process": len(batches),
        "bytes_to_a_new_process": sum(
            len(encoder.encode(_build_ping(batch), 0.0)) for batch in batches
        ),
    }


@measures("listing", "targets", (100, 1000, 10_000, 68_000))
def measure_listing(targets: int) -> dict[str, float]:
    """Decodes a target list and compares it with its predecessor."""
    body = inputs.build_listing(targets)
    before = inputs.read_memory()
    decode_s, decoded = _time_call(lambda: listing_codec.decode_listing(body))
    used_bytes = inputs.read_memory() - before
    rows = decoded.ok
    present = {row.target: row for row in rows}
    again = listing_codec.decode_listing(body).ok
    compare_s, changed = _time_call(
        lambda: listings.find_changed(present, again)
    )
    assert not changed
    packed = msgpack.packb([[r.target, r.state] for r in rows])
    return {
        "body_bytes": len(body),
        "packed_bytes_without_holdings": len(packed),
        "decode_s": decode_s,
        "compare_s": compare_s,
        "memory_mb": used_bytes / 1e6,
    }


def run_one(name: str, size: int) -> dict[str, typing.Any]:
    """Measures one size in a child process; returns its row."""
    size_name, _, measure = MEASUREMENTS.find(name)
    return {size_name: size, **measure(size)}


def run_measurement(name: str, largest: int) -> dict[str, typing.Any]:
    """Runs one measurement at all its sizes; returns the report.

    Args:
      name: Name of the measurement.
      largest: Largest size to measure.
    """
    size_name, sizes, _ = MEASUREMENTS.find(name)
    rows: list[dict[str, typing.Any]] = []
    context = multiprocessing.get_context("spawn")
    for size in sizes:
        if size > largest:
            continue
        with context.Pool(1) as pool:
            pending = pool.apply_async(run_one, (name, size))
            try:
                rows.append(pending.get(_TIMEOUT_S))
            except multiprocessing.TimeoutError:
                rows.append({size_name: size, "error": f"over {_TIMEOUT_S} s"})
                break
    return {
        "started": datetime.datetime.now(datetime.UTC).isoformat(),
        "command": f"python -m bench.growth --only {name}",
        "rows": rows,
        "fits": fits.fit_rows(rows, size_name),
    }


def main(argv: list[str]) -> int:
    """Runs the measurements and writes the report after each."""
    del argv
    names = _ONLY.value or MEASUREMENTS.list_names()
    _OUT.mkdir(exist_ok=True)
    reports, texts = {}, []
    for name in names:
        reports[name] = run_measurement(name, _LARGEST.value)
        size_name = MEASUREMENTS.find(name)[0]
        texts.append(f"## {name}\n\n")
        texts.append(fits.render_table(reports[name], size_name) + "\n")
        path = _OUT / f"{_LABEL.value}.json"
        path.write_text(json.dumps(reports, indent=2))
        path.with_suffix(".md").write_text("".join(texts))
        sys.stdout.write("".join(texts[-2:]))
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    app.run(main)
