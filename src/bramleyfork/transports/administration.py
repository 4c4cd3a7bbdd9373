"""The read-only HTTP interface for operators: state pages and metrics."""

import collections.abc
import typing

import cherrypy

from bramleyfork.codecs import caller_messages
from bramleyfork.codecs import json_values
from bramleyfork.core import blackboard
from bramleyfork.core import registries
from bramleyfork.core import sections
from bramleyfork.core import transports
from bramleyfork.transports import metrics
from bramleyfork.transports import servers

_THREADS = 4  # For operators and one or two metrics scrapers.
_STOP_TIMEOUT_S = 2.0
_MAX_BODY_BYTES = 16 * 1024  # Requests for pages have no body.
_JSON_TYPE = "application/json"
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

# Builds the content of a page; the transport gives access to the blackboard,
# the settings and the clock.
Page = collections.abc.Callable[["AdministrationTransport"], typing.Any]
PAGES: registries.Registry[Page] = registries.Registry(kind="page")


@transports.register("administration_transport")
class AdministrationTransport(transports.Transport):
    """Serves operators on ``settings.administration_address``."""

    def __init__(self, **arguments: typing.Any):
        super().__init__(**arguments)
        self._metrics = metrics.BoardMetrics(board=self.board)
        self._server: servers.Server | None = None

    @property
    def address(self) -> str:
        """The address:port of the listener; available after ``start``."""
        return "{}:{}".format(*self._server.bind_addr[:2])

    def start(self) -> None:
        """Starts the server; returns once it listens."""
        self._server = servers.build_server(
            address=self.settings.administration_address,
            root=_build_tree(self),
            threads=_THREADS,
            max_body_bytes=_MAX_BODY_BYTES,
            budget=self.budget,
            overload_body=caller_messages.encode_document(
                {"code": "overloaded"}
            ),
        )
        self._server.start("administration")

    def stop(self) -> None:
        """Closes the listener and ends the threads."""
        if self._server is None:
            return
        self._server.shutdown_timeout = _STOP_TIMEOUT_S
        self._server.stop()

    def render_metrics(self) -> bytes:
        """Returns the metrics of the process in the Prometheus format."""
        return self._metrics.render(self.clock.read_monotonic())

    def get_table(self, name: str) -> blackboard.Table:
        """Returns a table of the blackboard."""
        return self.board.find_table(name)


class _ResourceNode:
    """A path segment in cherrypy's tree of resources."""


class _Resource:
    exposed = True
    __slots__ = ("_render", "_content_type")

    def __init__(
        self,
        build: collections.abc.Callable[[], bytes],
        content_type: str = _JSON_TYPE,
    ):
        self._render = build
        self._content_type = content_type

    def GET(self) -> bytes:  # noqa: N802 (cherrypy's name)
        """Returns the page; any other method than GET gives status 405."""
        # cherrypy's dispatcher calls this method for HEAD as well.
        if cherrypy.request.method != "GET":
            cherrypy.response.headers["Allow"] = "GET"
            raise cherrypy.HTTPError(405, "only GET is allowed")
        return servers.respond(200, self._render(), self._content_type)


def _build_tree(transport: AdministrationTransport) -> _ResourceNode:
    root = _ResourceNode()
    root.v1 = _ResourceNode()
    root.metrics = _Resource(transport.render_metrics, _METRICS_TYPE)
    for name, page in PAGES.list_items():
        setattr(root.v1, name, _Resource(_bind_page(transport, page)))
    return root


def _bind_page(
    transport: AdministrationTransport, page: Page
) -> collections.abc.Callable[[], bytes]:
    def build() -> bytes:
        return caller_messages.encode_document(
            json_values.to_json_value(page(transport))
        )

    return build


@PAGES.register("state")
def show_state(transport: AdministrationTransport) -> dict[str, typing.Any]:
    """Returns the phase, the lease, the revision and the section sizes."""
    now = transport.clock.read_monotonic()
    lease = transport.get_table("lease").get("current")
    active = transport.get_table("declaration").get("in_force")
    settings = transport.settings
    return {
        "host": settings.host,
        "data_centre": settings.data_centre,
        "incarnation": settings.incarnation,
        "now": now,
        "lifecycle": transport.get_table("lifecycle").get("current"),
        "lease": lease,
        "lease_held": lease is not None and now < lease.expires_at,
        "revision": active.declaration.revision if active else None,
        "digest": active.declaration.digest if active else None,
        "counts": {
            name: len(transport.get_table(name))
            for name, kind, _ in sections.SECTIONS
            if kind == sections.TABLE
        },
    }


@PAGES.register("configuration")
def show_configuration(
    transport: AdministrationTransport,
) -> dict[str, typing.Any]:
    """Returns the configuration in force and the one refused last."""
    found = transport.get_table("declaration").copy_records()
    active = found.pop("in_force", None)
    shown: dict[str, typing.Any] = {"in_force": None, "refused": None}
    if active is not None:
        declaration = active.declaration
        fields = {n: getattr(declaration, n) for n in declaration.__slots__}
        # The list is too long for this page in a large fleet; the page
        # "targets" shows it.
        fields["targets"] = len(fields["targets"])
        fields["targets_out"] = [
            target.name for target in declaration.targets.values() if target.out
        ]
        shown["in_force"] = fields | {
            "source": active.source,
            "in_force_at": active.in_force_at,
            "part_bytes": active.bodies,
        }
    return shown | {"now": transport.clock.read_monotonic()} | found


@PAGES.register("targets")
def show_targets(transport: AdministrationTransport) -> dict[str, typing.Any]:
    """Returns this host's view of the state of each target."""
    return _list_section(transport, "targets")


@PAGES.register("members")
def show_members(transport: AdministrationTransport) -> dict[str, typing.Any]:
    """Returns this host's view of the state of each host."""
    return _list_section(transport, "members")


@PAGES.register("decisions")
def show_decisions(
    transport: AdministrationTransport,
) -> dict[str, typing.Any]:
    """Returns recent routing and placement decisions, oldest first."""
    current = transport.get_table("instruments").get("current")
    return {"decisions": current.decisions.list_entries() if current else []}


def _list_section(
    transport: AdministrationTransport, section: str
) -> dict[str, typing.Any]:
    return {
        "now": transport.clock.read_monotonic(),
        section: transport.get_table(section).list_records(),
    }
