"""CherryPy applications on cheroot servers without CherryPy's engine."""

import contextlib
import io
import json
import queue
import socket
import threading
import time
import typing

import cheroot.makefile
import cheroot.server
import cheroot.wsgi
import cherrypy

from bramleyfork.core import clocks

_REQUEST_READ_S = 5.0  # Whole request, head and body, from its first byte.
_KEEP_ALIVE_S = 30  # Seconds an idle connection is kept.
_MAX_IDLE_CONNECTIONS = 1000  # More are closed after their answer.
_MAX_HEAD_BYTES = 16 * 1024  # Bytes of request line and headers.
_BACKLOG = 512  # Connections the kernel holds before they are accepted.
# Requests waiting for a thread, per thread. What waits longer than that is
# better refused, because most deadlines are under a second.
_MAX_QUEUED_PER_THREAD = 2


class _DeadlineSocket(socket.SocketIO):
    """Reads from a socket until a point in time.

    cheroot's own timeout covers each read, so that a peer that sends a byte
    now and then could keep a thread for hours.
    """

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.deadline = time.monotonic() + _REQUEST_READ_S

    def readinto(self, buffer: typing.Any) -> int | None:
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(remaining_s)
        try:
            return super().readinto(buffer)
        finally:
            self._sock.settimeout(_REQUEST_READ_S)


class _DeadlineReader(cheroot.makefile.StreamReader):
    """cheroot's reader over a _TimedSocket."""

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(sock, "rb", size)
        self._raw = _DeadlineSocket(sock)

    def reset_deadline(self) -> None:
        self.raw.deadline = time.monotonic() + _REQUEST_READ_S


class _Connection(cheroot.server.HTTPConnection):
    """A connection that limits the time of each request's arrival."""

    def __init__(self, server: typing.Any, sock: socket.socket, *_: typing.Any):
        super().__init__(server, sock)
        self.rfile.close()
        self.rfile = _DeadlineReader(sock, io.DEFAULT_BUFFER_SIZE)
        self.is_new = True
        self.ready_at = 0.0

    def communicate(self) -> bool:
        self.rfile.reset_deadline()
        return super().communicate()


class _Gateway(cheroot.wsgi.Gateway_10):
    """Hands the request object to the application."""

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ["bramleyfork.request"] = self.req
        return environ


class Server(cheroot.wsgi.Server):
    """A cheroot server that bounds connections and waiting requests."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = _MAX_IDLE_CONNECTIONS
    max_request_header_size = _MAX_HEAD_BYTES
    clock: clocks.Clock
    overload_body = b"{}"

    def process_conn(self, conn: typing.Any) -> None:
        """Queues a connection that has data to read.

        cheroot would give a new connection to a thread before anything has
        arrived, so that silent connections could hold all threads.
        """
        if conn.is_new:
            conn.is_new = False
            if self.can_add_keepalive_connection:
                self.put_conn(conn)
            else:
                conn.close()
            return
        conn.ready_at = self.clock.read_monotonic()
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def _refuse(self, conn: typing.Any) -> None:
        """Answers 503 from the accepting thread, without waiting.

        What has arrived is read first, as closing a socket with unread data
        resets the connection before the peer has seen the answer.
        """
        head = (
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(self.overload_body)}\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            conn.socket.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                conn.socket.recv(_MAX_HEAD_BYTES + io.DEFAULT_BUFFER_SIZE)
            conn.socket.send(head.encode("ascii") + self.overload_body)
        conn.close()


def build_server(
    *,
    address: str,
    root: typing.Any,
    threads: int,
    clock: clocks.Clock,
    overload_body: bytes,
) -> Server:
    """Returns a server for the resources under ``root``.

    Args:
      address: address:port to listen on.
      root: Tree of resources for cherrypy's method dispatcher.
      threads: Requests served at once.
      clock: Source of monotonic time.
      overload_body: JSON that a request gets when too many wait.
    """
    name, _, port = address.rpartition(":")
    server = Server(
        (name.strip("[]"), int(port)),
        build_application(root),
        numthreads=threads,
        server_name="bramleyfork",
        request_queue_size=_BACKLOG,
        timeout=_KEEP_ALIVE_S,
        accepted_queue_size=threads * _MAX_QUEUED_PER_THREAD,
        accepted_queue_timeout=0,
    )
    server.gateway = _Gateway
    server.clock = clock
    server.overload_body = overload_body
    return server


def build_application(root: typing.Any) -> cherrypy.Application:
    """Returns a CherryPy application that answers errors in JSON."""
    cherrypy.log.screen = False
    application = cherrypy.Application(
        root,
        "",
        {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                # On by default; bodies here are bytes and paths are exact.
                "tools.encode.on": False,
                "tools.log_headers.on": False,
                "tools.trailing_slash.on": False,
                "error_page.default": _encode_error,
            }
        },
    )
    # One formatted line per request would cost more than the rest of it.
    application.log.access = lambda: None
    return application


def _encode_error(
    *, status: str, message: str, traceback: str, version: str
) -> bytes:
    codes = {"404": "not_found", "405": "not_allowed", "413": "too_large"}
    number = status[:3]
    code = codes.get(number, "malformed" if number < "500" else "fault")
    # An error raised after the query was handed over is not proof of not run.
    verdict = "NOT_RUN" if number < "500" else "MAY_HAVE_RUN"
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(
        {"code": code, "verdict": verdict, "detail": message}
    ).encode("utf-8")


def start_server(server: Server, name: str) -> threading.Thread:
    """Binds the server and serves in a thread; returns the thread."""
    server.prepare()
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    return thread


def close_after_answer() -> None:
    """Closes the current request's connection after its answer."""
    environ = cherrypy.request.wsgi_environ
    environ["bramleyfork.request"].close_connection = True


def get_arrival_time() -> float:
    """Returns when the current request began to arrive, monotonic seconds."""
    environ = cherrypy.request.wsgi_environ
    return environ["bramleyfork.request"].conn.ready_at


def respond(status: int, body: bytes, content_type: str) -> bytes:
    """Sets status and type of the current answer; returns its body."""
    response = cherrypy.response
    response.status = status
    response.headers["Content-Type"] = content_type
    return body
