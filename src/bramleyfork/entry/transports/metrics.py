"""HTTP server for the metrics and the state of a host, for operators."""

import asyncio
import importlib
import json
import typing

from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry import metrics
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import http_server

_PREFIX = "bramleyfork_"
_TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)
_JSON = ((b"Content-Type", b"application/json"),)


@components.register(
    components.TRANSPORTS,
    "metrics",
    passive_reads=(
        "members",
        "usable",
        "listed_targets",
        "evacuations",
        "route_table",
        "feed_state",
        "lifecycle",
    ),
)
class MetricsServer(components.Component):
    """Serves ``/metrics`` to Prometheus and ``/state`` to operators."""

    __slots__ = ("_server",)

    def start(self) -> None:
        """Sets up state before the first step."""
        self._server = http_server.HttpServer(
            handle=self._handle_request, resources=self.context.connections
        )

    async def open(self) -> None:
        """Listens on the metrics address, if the settings have one."""
        if self.context.settings.metrics_address is not None:
            await self._server.open(self.context.settings.metrics_address)

    def close(self) -> None:
        """Closes the listener and connections."""
        self._server.close()

    def _handle_request(
        self, http_request: http_requests.HttpRequest
    ) -> tuple[int, exchanges.Headers, bytes]:
        path = http_request.url.partition(b"?")[0]
        if path == b"/metrics":
            return 200, _TEXT, self._render_metrics()
        if path == b"/state":
            return 200, _JSON, json.dumps(self._describe_state()).encode()
        return 404, (), b""

    # Metrics.

    def _render_metrics(self) -> bytes:
        # Imported on first use: the library takes more than a megabyte of
        # memory, which a host without monitoring doesn't need.
        library = importlib.import_module("aioprometheus")
        renderer = importlib.import_module("aioprometheus.renderer")
        registry = library.Registry()
        _add_counters(library, registry, self.context.metrics)
        _add_gauges(library, registry, self._collect_gauges())
        content, _ = renderer.render(registry, [])
        return content + _render_histograms(self.context.metrics)

    def _collect_gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges, by name without prefix."""
        feed = self.get_table("feed_state").get("current")
        table = self.get_table("route_table").get("current")
        usable = self.get_table("usable").copy_records()
        synced_at = feed.synced_at if feed else 0.0
        return {
            "configuration_version": table.version if table else 0,
            "feed_era": feed.era if feed else 0,
            "feed_revision": feed.revision if feed else 0,
            "feed_is_lost": int(feed is None or feed.is_lost),
            "feed_age_seconds": asyncio.get_running_loop().time() - synced_at
            if feed
            else -1,
            "hosts": len(self.get_table("members")),
            "targets_listed": len(self.get_table("listed_targets")),
            "targets_usable": sum(len(t) for t in usable.values()),
            "services_without_target": sum(not t for t in usable.values()),
            "data_centres_evacuated": len(self.get_table("evacuations")),
            **self._collect_connection_gauges(),
        }

    def _collect_connection_gauges(self) -> dict[str, float]:
        """Returns what connections of clients make the process hold."""
        budget = self.context.connections.budget
        return {
            "connections": budget.connection_count,
            "connection_limit": budget.connection_limit,
            "connection_bytes": budget.held_bytes,
            "connection_bytes_limit": budget.memory_bytes,
            "connections_evicted_for_memory": budget.counters["memory"],
            "connections_evicted_for_descriptors": budget.counters[
                "descriptors"
            ],
        }

    # State.

    def _describe_state(self) -> dict[str, typing.Any]:
        """Returns the members, targets and gauges of this host for JSON."""
        phase = self.get_table("lifecycle").get("current")
        usable = self.get_table("usable").copy_records()
        return {
            "host": self.context.settings.host,
            "incarnation": self.context.incarnation,
            "phase": phase.phase if phase else None,
            **self._collect_gauges(),
            "evacuated": sorted(self.get_table("evacuations").copy_records()),
            "members": [
                {
                    "host": member.update.host,
                    "state": member.update.state,
                    "data_centre": member.update.data_centre,
                    "incarnation": member.update.incarnation,
                }
                for member in self.get_table("members").list_records()
            ],
            "services": {
                service: [target.target for target in targets]
                for service, targets in sorted(usable.items())
            },
        }


def _add_counters(library, registry, host_metrics: metrics.Metrics) -> None:
    counters: dict[str, typing.Any] = {}
    for (name, label), value in sorted(host_metrics.counters.items()):
        counter = counters.get(name)
        if counter is None:
            counter = counters[name] = library.Counter(
                f"{_PREFIX}{name}_total",
                f"Counted as {name}.",
                registry=registry,
            )
        counter.set({"outcome": label} if label else {}, value)


def _add_gauges(library, registry, values: dict[str, float]) -> None:
    for name, value in values.items():
        gauge = library.Gauge(
            f"{_PREFIX}{name}", f"Current {name}.", registry=registry
        )
        gauge.set({}, value)


def _render_histograms(host_metrics: metrics.Metrics) -> bytes:
    """Returns the histograms in the text format of Prometheus.

    The histograms of the library accept single observations only, not counts
    per bucket.
    """
    lines = []
    for name, histogram in sorted(host_metrics.histograms.items()):
        full = _PREFIX + name
        lines.append(f"# HELP {full} Observed {name}.")
        lines.append(f"# TYPE {full} histogram")
        total = 0
        bounds = [*map(str, metrics.BUCKETS), "+Inf"]
        for bound, count in zip(bounds, histogram.counts, strict=True):
            total += count
            lines.append(f'{full}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{full}_sum {histogram.sum_s}")
        lines.append(f"{full}_count {histogram.total}")
    return "\n".join([*lines, ""]).encode()
