"""Metrics of the daemon in the Prometheus text format."""

import collections
import collections.abc
import math
import re
import threading
import typing

import aioprometheus
from aioprometheus import renderer

from bramleyfork.core import blackboard
from bramleyfork.core import instruments
from bramleyfork.core import replies

# Finer around the latency target: 62 ms for 99 of 100 answers.
_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.05,
    0.062,
    0.08,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    math.inf,
)
_COVERAGE_BUCKETS = (0.0, 0.5, 0.9, 0.99, 0.999, 0.9999, 1.0, math.inf)

# Logs whose appends are counted, by a listener with one addition per append.
_PURPOSE_BY_LOG = {
    "platform_reads": "configuration",
    "listing_reads": "listing",
}
_CONTROL_LOGS = (
    "membership_out",
    "configuration_out",
    "listing_out",
    "targets_out",
    "quarantine_out",
)


class QueryMetrics:
    """Counts and latencies of answers to callers. Thread-safe.

    Attributes:
      registry: The metrics library's registry of these metrics.
    """

    __slots__ = ("registry", "_lock", "_queries", "_latency", "_coverage")

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._queries = aioprometheus.Counter(
            "bramleyfork_queries_total",
            "Answers to callers by code and verdict.",
            registry=self.registry,
        )
        self._latency = aioprometheus.Histogram(
            "bramleyfork_query_seconds",
            "Time from a request's arrival to its answer, seconds.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._coverage = aioprometheus.Histogram(
            "bramleyfork_query_coverage",
            "Covered share of the keys asked for, of queries that ran.",
            registry=self.registry,
            buckets=_COVERAGE_BUCKETS,
        )

    def observe(self, answer: replies.Answer, elapsed_s: float) -> None:
        """Records one answer.

        Args:
          answer: The answer.
          elapsed_s: Seconds since the request arrived.
        """
        labels = {"code": answer.code, "verdict": answer.verdict.value}
        with self._lock:
            self._queries.inc(labels)
            self._latency.observe({}, elapsed_s)
            if answer.verdict.value == "RAN":
                self._coverage.observe({}, float(answer.coverage))


class BoardMetrics:
    """Metrics that are computed from the blackboard on each request for them.

    Args:
      board: The blackboard of the process.
    """

    __slots__ = ("_board", "_append_counts")

    def __init__(self, *, board: blackboard.Blackboard):
        self._board = board
        self._append_counts: collections.Counter[str] = collections.Counter()
        for name in (*_PURPOSE_BY_LOG, *_CONTROL_LOGS):
            board.find_log(name).add_listener(self._count_append)

    def _count_append(self, section: str) -> None:
        self._append_counts[section] += 1

    def render(self, now: float) -> bytes:
        """Returns all metrics of the process in the Prometheus text format.

        Args:
          now: Current monotonic time, seconds.
        """
        current = self._board.find_table("instruments").get("current")
        registry = aioprometheus.Registry()
        self._add_configuration(registry)
        self._add_lease(registry, now)
        self._add_states(registry)
        self._add_appends(registry)
        bodies = [_render(registry)]
        if current is not None:
            counter_registry = aioprometheus.Registry()
            for component, counts in sorted(current.counters.items()):
                _add_counters(counter_registry, component, counts)
            bodies.append(_render(counter_registry))
            bodies.extend(_render(each) for each in current.registries)
        return b"".join(bodies)

    def _add_configuration(self, registry: aioprometheus.Registry) -> None:
        gauge = aioprometheus.Gauge(
            "bramleyfork_configuration_revision",
            "Revision in force and the one refused last.",
            registry=registry,
        )
        table = self._board.find_table("declaration")
        active = table.get("in_force")
        refused = table.get("refused")
        gauge.set(
            {"state": "in_force"}, active.declaration.revision if active else 0
        )
        if refused is not None and refused.revision is not None:
            gauge.set({"state": "refused"}, refused.revision)

    def _add_lease(self, registry: aioprometheus.Registry, now: float) -> None:
        lease = self._board.find_table("lease").get("current")
        gauge = aioprometheus.Gauge(
            "bramleyfork_lease_held",
            "Whether the host may start work on targets.",
            registry=registry,
        )
        gauge.set({}, int(lease is not None and now < lease.expires_at))

    def _add_states(self, registry: aioprometheus.Registry) -> None:
        for section, states in (
            ("targets", ("usable", "leaving", "out")),
            ("members", ("alive", "suspect", "leaving", "dead")),
        ):
            gauge = aioprometheus.Gauge(
                f"bramleyfork_{section}",
                f"Number of {section} by state.",
                registry=registry,
            )
            table = self._board.find_table(section)
            found = collections.Counter(r.state for r in table.list_records())
            for state in states:
                gauge.set({"state": state}, found[state])
        for section in ("routes", "quarantine"):
            gauge = aioprometheus.Gauge(
                f"bramleyfork_{section}",
                f"Number of records in the section {section}.",
                registry=registry,
            )
            gauge.set({}, len(self._board.find_table(section)))

    def _add_appends(self, registry: aioprometheus.Registry) -> None:
        reads = aioprometheus.Counter(
            "bramleyfork_platform_reads_total",
            "Orders to read the platform, by purpose.",
            registry=registry,
        )
        for name, purpose in _PURPOSE_BY_LOG.items():
            reads.set({"purpose": purpose}, self._append_counts[name])
        batches = aioprometheus.Counter(
            "bramleyfork_control_batches_total",
            "Batches of control messages handed to the peer transport.",
            registry=registry,
        )
        for name in _CONTROL_LOGS:
            writer = name.removesuffix("_out")
            batches.set({"controller": writer}, self._append_counts[name])


def _add_counters(
    registry: aioprometheus.Registry,
    component: str,
    counts: collections.abc.Mapping[str, instruments.Count],
) -> None:
    # The component may add a key at the same time; dict() copies atomically.
    for key, value in dict(counts).items():
        name = re.sub(
            "[^a-z0-9_]", "_", f"bramleyfork_{component}_{key}".lower()
        )
        counter = aioprometheus.Counter(
            f"{name}_total", f"Counted by {component}.", registry=registry
        )
        if isinstance(value, collections.abc.Mapping):
            for code, number in dict(value).items():
                counter.set({"code": code}, number)
        else:
            counter.set({}, value)


def _render(registry: typing.Any) -> bytes:
    content, _ = renderer.render(registry, [])
    return content
