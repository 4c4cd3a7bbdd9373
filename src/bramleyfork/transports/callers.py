"""The HTTP interface for callers: queries, placement, health and readiness."""

import collections
import itertools
import logging
import math
import threading
import typing

import cherrypy

from bramleyfork.codecs import caller_messages
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import transports
from bramleyfork.core import verdicts
from bramleyfork.decisions import answers
from bramleyfork.decisions import placement
from bramleyfork.decisions import readiness
from bramleyfork.decisions import tickets
from bramleyfork.listeners import budgets
from bramleyfork.transports import metrics
from bramleyfork.transports import servers

_LOG = logging.getLogger(__name__)
_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

# Wait beyond a query's deadline. Routing answers at the deadline at the latest,
# and the answer still has to pass through the blackboard.
_ANSWER_GRACE_S = 0.1
_DISPATCH_WAIT_S = 0.5  # Longest time until the dispatcher notices a stop.
_STOP_GRACE_S = 1.0  # Beyond the longest deadline, for writing answers.
_MAX_TICKETS = 32  # In one placement answer.
_MAX_CALLER_CHARS = 100  # Longer names of callers are cut off.
_JSON_TYPE = "application/json"


class PendingQuery:
    """A query whose thread waits for the answer.

    Attributes:
      event: Set when the answer has arrived.
      answer: The answer, or None before it arrives.
    """

    __slots__ = ("event", "answer")

    def __init__(self):
        self.event = threading.Event()
        self.answer: replies.Answer | None = None


@transports.register("caller_transport")
class CallerTransport(transports.Transport):
    """Serves callers on ``settings.caller_address``.

    Each query is written to the section "queries" and its thread waits until
    the routing controller has written the answer to "answers".

    Attributes:
      metrics: Counts and latencies of the answers.
      counters: Requests that were refused before they were read whole, by
        status, and evicted connections of all listeners, by reason.
    """

    def __init__(self, **arguments: typing.Any):
        super().__init__(**arguments)
        self._queries = self.board.grant_writer("queries", self.name)
        self._answers = self.board.find_log("answers").open_cursor()
        self._pending_queries: dict[str, PendingQuery] = {}
        self._query_numbers = itertools.count(1)
        self._ticket_numbers = itertools.count(1)
        self.metrics = metrics.QueryMetrics()
        self.budget = self.budget or budgets.build_budget()
        # Updated in place by the server and the budget.
        self.counters: dict[str, collections.Counter[str]] = {
            "refused_requests": collections.Counter(),
            "evicted_connections": self.budget.counters,
        }
        self._stopping = threading.Event()
        self._server: servers.Server | None = None
        self._dispatcher: threading.Thread | None = None

    @property
    def address(self) -> str:
        """The address:port of the listener; available after ``start``."""
        return "{}:{}".format(*self._server.bind_addr[:2])

    def start(self) -> None:
        """Starts the server; returns once it listens."""
        self._server = servers.build_server(
            address=self.settings.caller_address,
            root=_build_tree(self),
            threads=self.settings.caller_threads,
            max_body_bytes=caller_messages.MAX_BODY_BYTES,
            budget=self.budget,
            refusals=self.counters["refused_requests"],
            overload_body=caller_messages.encode_answer(
                answers.build_refusal(
                    "",
                    "overloaded",
                    detail="too many requests wait on this host",
                )
            ),
        )
        dispatcher = threading.Thread(
            target=self._dispatch_answers, name="answers", daemon=True
        )
        dispatcher.start()
        self._dispatcher = dispatcher
        self._server.start("callers")

    def stop(self) -> None:
        """Closes the listener and waits for the queries in flight.

        The wait is bounded by the longest deadline plus ``_STOP_GRACE_S``.
        """
        if self._server is None:
            return
        active = self.find_active_declaration()
        max_deadline_s = (
            active.declaration.longest_deadline_s if active else 0.0
        )
        self._server.shutdown_timeout = max_deadline_s + _STOP_GRACE_S
        self._server.stop()
        self._stopping.set()
        self._dispatcher.join(2 * _DISPATCH_WAIT_S)

    def _dispatch_answers(self) -> None:
        while not self._stopping.is_set():
            answer = self._answers.wait_for_record(_DISPATCH_WAIT_S)
            if answer is None:
                continue
            pending = self._pending_queries.pop(answer.query_id, None)
            if pending is None:
                _LOG.debug(
                    "answer without a pending query dropped",
                    extra={"query_id": answer.query_id},
                )
                continue
            pending.answer = answer
            pending.event.set()

    def find_active_declaration(self) -> declarations.ActiveDeclaration | None:
        """Returns the configuration in force, or None before the first one."""
        return self.board.find_table("declaration").get("in_force")

    def find_lifecycle(self) -> fleet.Lifecycle | None:
        """Returns the lifecycle phase of the process, or None if not set."""
        return self.board.find_table("lifecycle").get("current")

    def create_query_id(self) -> str:
        """Returns a query id that is unique across hosts and restarts."""
        settings = self.settings
        number = next(self._query_numbers)
        return f"{settings.host}-{settings.incarnation:x}-{number:x}"

    def execute_query(self, query: requests.Query) -> replies.Answer:
        """Passes a query to routing and waits for its answer.

        Without an answer shortly after the deadline, it returns a refusal with
        the code "no_answer" and the verdict MAY_HAVE_RUN.
        """
        pending = PendingQuery()
        self._pending_queries[query.query_id] = pending
        self._queries.append(query)
        wait_s = query.deadline + _ANSWER_GRACE_S - self.clock.read_monotonic()
        pending.event.wait(max(0.0, wait_s))
        if pending.answer is None:
            self._pending_queries.pop(query.query_id, None)
        # The answer may have arrived between the end of the wait and the
        # removal.
        return pending.answer or answers.build_refusal(
            query.query_id,
            "no_answer",
            detail="the query was not answered by its deadline",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )

    def issue_tickets(self, number: int, lifetime_s: float) -> list[str]:
        """Returns new tickets that are valid at this process only.

        Args:
          number: Number of tickets.
          lifetime_s: Seconds until they expire.
        """
        expires_at = self.clock.read_monotonic() + lifetime_s
        return [
            tickets.issue_ticket(
                self.settings.ticket_key,
                self.settings.host,
                self.settings.incarnation,
                next(self._ticket_numbers),
                math.floor(expires_at * 1000),
            )
            for _ in range(number)
        ]


class _ResourceNode:
    """A path segment in cherrypy's tree of resources."""

    __slots__ = ("v1", "query", "placement", "healthz", "readyz")


def _build_tree(transport: CallerTransport) -> _ResourceNode:
    root = _ResourceNode()
    root.v1 = _ResourceNode()
    root.v1.query = _QueryResource(transport)
    root.v1.placement = _PlacementResource(transport)
    root.healthz = _HealthResource()
    root.readyz = _ReadinessResource(transport)
    return root


class _QueryResource:
    exposed = True
    __slots__ = ("_transport",)

    def __init__(self, transport: CallerTransport):
        self._transport = transport

    def POST(self, **unused: str) -> bytes:  # noqa: N802 (cherrypy's name)
        """Decodes, executes and answers a query."""
        transport = self._transport
        received_at = servers.get_arrival_time()
        answer = self._answer_query(received_at)
        transport.metrics.observe(
            answer, transport.clock.read_monotonic() - received_at
        )
        lifecycle = transport.find_lifecycle()
        if lifecycle is not None and lifecycle.phase in ("leaving", "stopped"):
            servers.close_after_answer()
        return servers.respond(
            caller_messages.find_status(answer.code, answer.verdict),
            caller_messages.encode_answer(answer),
            _JSON_TYPE,
        )

    def _answer_query(self, received_at: float) -> replies.Answer:
        transport = self._transport
        query_id = transport.create_query_id()
        active = transport.find_active_declaration()
        if active is None:
            return answers.build_refusal(
                query_id, "starting", detail="no configuration is in force yet"
            )
        lifecycle = transport.find_lifecycle()
        if lifecycle is not None and lifecycle.phase == "stopped":
            return answers.build_refusal(
                query_id, "stopped", detail="the host has stopped"
            )
        decoded = caller_messages.decode_query(
            cherrypy.request.rfile.read(),
            query_id=query_id,
            caller=_get_caller_name(),
            received_at=received_at,
            longest_deadline_s=active.declaration.longest_deadline_s,
        )
        if decoded.is_error():
            return answers.build_refusal(
                query_id, decoded.error.code, detail=decoded.error.detail
            )
        if transport.clock.read_monotonic() >= decoded.ok.deadline:
            return answers.build_refusal(
                query_id,
                "deadline_past",
                detail="the deadline passed before routing",
            )
        return transport.execute_query(decoded.ok)


class _PlacementResource:
    exposed = True
    __slots__ = ("_transport",)

    def __init__(self, transport: CallerTransport):
        self._transport = transport

    def GET(self, **options: str) -> bytes:  # noqa: N802 (cherrypy's name)
        """Returns the hosts that a caller should use, in order of preference.

        Options in the query string: ``data_centre`` of the caller (that of this
        host if not given) and ``tickets``, the number of tickets to issue.
        """
        number = options.pop("tickets", "0")
        data_centre = options.pop(
            "data_centre", self._transport.settings.data_centre
        )
        if options or not isinstance(data_centre, str):
            return _reject_option("valid options: data_centre, tickets")
        valid = isinstance(number, str) and number.isascii()
        if not valid or not number.isdigit() or len(number) > 4:
            return _reject_option(f"tickets is {number!r}, must be a number")
        if int(number) > _MAX_TICKETS:
            return _reject_option(
                f"tickets is {number!r}, must be at most {_MAX_TICKETS}"
            )
        return self._answer_placement(data_centre, int(number))

    def _answer_placement(self, data_centre: str, number: int) -> bytes:
        transport = self._transport
        own_host = transport.settings.host
        caller = _get_caller_name()
        view = transport.board.find_table("placement").get("current")
        hosts = (
            placement.order_hosts(
                view,
                data_centre,
                caller,
                own_host=own_host,
                prefer_own=number > 0,
            )
            if view
            else []
        )
        issued = []
        if hosts and hosts[0].name == own_host:
            issued = transport.issue_tickets(number, view.lifetime_s)
        _DECISION_LOG.info(
            "caller placed",
            extra={
                "caller": caller,
                "data_centre": data_centre,
                "hosts": [host.name for host in hosts],
                "tickets": len(issued),
            },
        )
        if not hosts:
            body = caller_messages.encode_document({"code": "no_hosts"})
            return servers.respond(503, body, _JSON_TYPE)
        body = caller_messages.encode_document(
            {
                "hosts": placement.describe_hosts(hosts),
                "lifetime_ms": round(view.lifetime_s * 1000),
                "tickets": issued,
            }
        )
        return servers.respond(200, body, _JSON_TYPE)


class _HealthResource:
    exposed = True
    __slots__ = ()

    def GET(self) -> bytes:  # noqa: N802 (cherrypy's name)
        """Answers 200 as long as the process runs."""
        return servers.respond(200, b'{"status":"ok"}', _JSON_TYPE)


class _ReadinessResource:
    exposed = True
    __slots__ = ("_transport",)

    def __init__(self, transport: CallerTransport):
        self._transport = transport

    def GET(self) -> bytes:  # noqa: N802 (cherrypy's name)
        """Answers 200 if the host can serve queries, otherwise 503."""
        reason = self._find_unready_reason()
        body = caller_messages.encode_document(
            {"status": "unready" if reason else "ready", "reason": reason}
        )
        return servers.respond(503 if reason else 200, body, _JSON_TYPE)

    def _find_unready_reason(self) -> str:
        transport = self._transport
        return readiness.find_unready_reason(
            lifecycle=transport.find_lifecycle(),
            active=transport.find_active_declaration(),
            lease=transport.board.find_table("lease").get("current"),
            now=transport.clock.read_monotonic(),
        )


def _reject_option(detail: str) -> bytes:
    body = caller_messages.encode_document(
        {"code": "malformed", "detail": detail}
    )
    return servers.respond(400, body, _JSON_TYPE)


def _get_caller_name() -> str:
    name = cherrypy.request.headers.get("Caller-Name", "")
    return name[:_MAX_CALLER_CHARS] or cherrypy.request.remote.ip
