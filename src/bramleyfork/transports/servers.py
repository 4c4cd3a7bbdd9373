"""HTTP server for CherryPy applications.

Requests are read whole on an event loop, so that a client that sends slowly
occupies no thread, and are then served by a bounded number of threads.
"""

import asyncio
import collections
import collections.abc
import json
import threading
import typing

import cherrypy

from bramleyfork.listeners import budgets
from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import limits
from bramleyfork.listeners import resources
from bramleyfork.listeners import server_connections
from bramleyfork.listeners import sockets
from bramleyfork.listeners import timeouts
from bramleyfork.transports import wsgi_workers

# Timeout for the head of a request, and again for its body.
_REQUEST_READ_S = 5.0
_KEEP_ALIVE_S = 30.0  # Idle connections are closed after this time.
_MAX_HEAD_BYTES = 16 * 1024  # Request line and headers.
_LINGER_BYTES = 1024 * 1024  # Dropped after a refusal.
_START_TIMEOUT_S = 10.0
# Interval at which a server that stops checks for requests in progress.
_STOP_CHECK_INTERVAL_S = 0.01
_STOP_TIMEOUT_S = 2.0  # For sending the last responses.
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)
_REFUSAL_CODES = {408: "deadline_past", 413: "too_large", 503: "overloaded"}
_REFUSAL_DETAILS = {
    408: "the request did not arrive in full before the timeout",
    413: "the body exceeds the limit",
    431: "the head exceeds the limit",
    503: "no room for more requests on this host",
}


class Server:
    """An HTTP server for a WSGI application.

    Args:
      address: IP address and port to listen on; for port 0 a free one is used.
      application: The application.
      threads: Number of requests that are served at the same time.
      max_body_bytes: Maximum size of a request's body.
      overload_body: JSON body of the answer 503 when too many requests are
        queued.
      budget: Budget of the process; None for one of its own.
      refusals: Counter of refusals that others read; None for a new one.

    Attributes:
      bind_addr: IP address and port of the listener.
      limits: Limits on requests and connections.
      time_limits: Time limits of connections.
      resources: What all connections of its event loop share.
      is_closing: Whether connections are closed after their next response.
      linger_bytes: Bytes that are read and dropped after a refusal.
      shutdown_timeout: Seconds that ``stop`` waits for requests in progress.
      refusals: Requests that were refused before they were read whole, by
        status.
    """

    __slots__ = (
        "bind_addr",
        "limits",
        "time_limits",
        "resources",
        "is_closing",
        "linger_bytes",
        "shutdown_timeout",
        "refusals",
        "_overload_body",
        "_workers",
        "_connections",
        "_in_progress",
        "_loop",
        "_stopping",
        "_started",
        "_error",
        "_thread",
    )

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: wsgi_workers.Application,
        threads: int,
        max_body_bytes: int,
        overload_body: bytes,
        budget: budgets.ConnectionBudget | None,
        refusals: collections.Counter[str] | None = None,
    ):
        self.bind_addr = address
        self.limits = limits.CallerLimits(
            header_bytes=_MAX_HEAD_BYTES, body_bytes=max_body_bytes
        )
        self.time_limits = timeouts.TimeLimits(
            header_s=_REQUEST_READ_S,
            body_s=_REQUEST_READ_S,
            idle_s=_KEEP_ALIVE_S,
        )
        self.resources = resources.LoopResources(
            budget=budget or budgets.build_budget()
        )
        self.is_closing = False
        self.linger_bytes = _LINGER_BYTES
        self.shutdown_timeout = 0.0
        self.refusals = collections.Counter() if refusals is None else refusals
        self._overload_body = overload_body
        self._workers = wsgi_workers.Workers(
            application=application, threads=threads, address=address
        )
        self._connections: set[server_connections.ServerConnection] = set()
        self._in_progress = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._started = threading.Event()
        self._error: BaseException | None = None
        self._thread: threading.Thread | None = None

    def start(self, name: str) -> None:
        """Starts the threads; returns once the server listens.

        Args:
          name: Name of the threads.

        Raises:
          OSError: The address can't be bound.
          TimeoutError: The listener did not start in time.
        """
        self._workers.start(name)
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._thread.start()
        if not self._started.wait(_START_TIMEOUT_S):
            raise TimeoutError(
                f"listener on {self.bind_addr!r} did not start in time"
            )
        if self._error is not None:
            raise self._error

    def stop(self) -> None:
        """Closes the listener, waits for requests in progress and ends.

        It waits for ``shutdown_timeout`` seconds at most.
        """
        if self._thread is None or not self._thread.is_alive():
            return
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(self.shutdown_timeout + _STOP_TIMEOUT_S)
        self._workers.stop()

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except OSError as error:
            self._error = error
        finally:
            self._started.set()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        server = await sockets.open_server(
            lambda: server_connections.ServerConnection(
                handler=self, loop=loop
            ),
            self.bind_addr,
        )
        self.bind_addr = server.sockets[0].getsockname()[:2]
        self._stopping = asyncio.Event()
        self._loop = loop
        self._started.set()
        while not self._stopping.is_set():
            timeouts.check_connections(
                self._connections, self.time_limits, loop.time()
            )
            try:
                async with asyncio.timeout(timeouts.CHECK_INTERVAL_S):
                    await self._stopping.wait()
            except TimeoutError:
                continue
        self.is_closing = True
        server.close()
        await self._wait_for_requests(loop.time() + self.shutdown_timeout)

    async def _wait_for_requests(self, deadline_at: float) -> None:
        loop = asyncio.get_running_loop()
        while self._in_progress and loop.time() < deadline_at:
            await asyncio.sleep(_STOP_CHECK_INTERVAL_S)
        for connection in list(self._connections):
            connection.close()
        # Lets the connections send what is buffered.
        end_at = loop.time() + _STOP_TIMEOUT_S
        while self._connections and loop.time() < end_at:
            await asyncio.sleep(_STOP_CHECK_INTERVAL_S)

    # Called by connections.

    def add_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Adds a new connection."""
        self._connections.add(connection)

    def remove_connection(
        self, connection: server_connections.ServerConnection
    ) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def handle_request(
        self,
        connection: server_connections.ServerConnection,
        http_request: http_requests.HttpRequest,
    ) -> None:
        """Passes a request to a thread; refuses it if too many wait."""

        def send(response: wsgi_workers.WsgiResponse) -> None:
            self._loop.call_soon_threadsafe(self._respond, connection, response)

        work = wsgi_workers.Work(
            request=http_request, remote=connection.caller, on_response=send
        )
        if self._workers.try_add(work):
            self._in_progress += 1
            return
        http_request.keeps_alive = False
        connection.respond(503, _JSON_HEADERS, self._overload_body)

    def build_refusal(self, status: int) -> tuple[http_heads.Headers, bytes]:
        """Returns headers and body of the refusal of an incomplete request."""
        self.refusals[str(status)] += 1
        body = {
            "code": _REFUSAL_CODES.get(status, "malformed"),
            "verdict": "NOT_RUN",
            "detail": _REFUSAL_DETAILS.get(status, "the request is malformed"),
        }
        headers = (*_JSON_HEADERS, *http_heads.build_refusal_headers(status))
        return headers, json.dumps(body, separators=(",", ":")).encode()

    def _respond(
        self,
        connection: server_connections.ServerConnection,
        response: wsgi_workers.WsgiResponse,
    ) -> None:
        self._in_progress -= 1
        connection.respond(response.status, response.headers, response.body)


def build_server(
    *,
    address: str,
    root: typing.Any,
    threads: int,
    max_body_bytes: int,
    overload_body: bytes,
    budget: budgets.ConnectionBudget | None,
    refusals: collections.Counter[str] | None = None,
) -> Server:
    """Returns a server, not started, for the resources under ``root``.

    Args:
      address: address:port to listen on.
      root: Tree of resources for cherrypy's method dispatcher.
      threads: Number of requests that are served at the same time.
      max_body_bytes: Maximum size of a request's body.
      overload_body: JSON body of the answer 503 when the queue is full.
      budget: Budget of the process; None for one of its own.
      refusals: Counter of refusals that others read; None for a new one.
    """
    name, _, port = address.rpartition(":")
    return Server(
        address=(name.strip("[]"), int(port)),
        application=build_application(root),
        threads=threads,
        max_body_bytes=max_body_bytes,
        overload_body=overload_body,
        budget=budget,
        refusals=refusals,
    )


def build_application(root: typing.Any) -> cherrypy.Application:
    """Returns a CherryPy application that reports errors as JSON."""
    cherrypy.log.screen = False
    application = cherrypy.Application(
        root,
        "",
        {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                # These tools are on by default, but bodies here are bytes and
                # paths are exact.
                "tools.encode.on": False,
                "tools.log_headers.on": False,
                "tools.trailing_slash.on": False,
                "error_page.default": _encode_error,
            }
        },
    )
    # Formatting a line of the access log costs more than the rest of the
    # request.
    application.log.access = lambda: None
    return application


def _encode_error(
    *, status: str, message: str, traceback: str, version: str
) -> bytes:
    codes = {"404": "not_found", "405": "not_allowed", "413": "too_large"}
    number = status[:3]
    code = codes.get(number, "malformed" if number < "500" else "fault")
    # An internal error may be raised after the query was passed to routing, so
    # it does not prove that the query did not run.
    verdict = "NOT_RUN" if number < "500" else "MAY_HAVE_RUN"
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(
        {"code": code, "verdict": verdict, "detail": message}
    ).encode("utf-8")


def close_after_answer() -> None:
    """Closes the current request's connection after its answer."""
    environ = cherrypy.request.wsgi_environ
    environ[wsgi_workers.REQUEST_KEY].keeps_alive = False


def get_arrival_time() -> float:
    """Returns when the current request began to arrive, monotonic seconds."""
    environ = cherrypy.request.wsgi_environ
    return environ[wsgi_workers.REQUEST_KEY].received_at


def respond(status: int, body: bytes, content_type: str) -> bytes:
    """Sets status and content type of the current answer; returns the body."""
    response = cherrypy.response
    response.status = status
    response.headers["Content-Type"] = content_type
    return body
