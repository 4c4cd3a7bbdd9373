"""HTTP server for CherryPy applications, on cheroot without CherryPy's engine.

It bounds idle connections, queued requests and the time in which a request
must arrive.
"""

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

# Timeout for a whole request, head and body, from its first byte.
_REQUEST_READ_S = 5.0
_KEEP_ALIVE_S = 30  # Idle connections are closed after this time.
_MAX_IDLE_CONNECTIONS = 1000  # Further ones are closed after their answer.
_MAX_HEAD_BYTES = 16 * 1024  # Request line and headers.
_BACKLOG = 512  # Connections that the kernel queues before they are accepted.
# Requests queued per thread. Most deadlines are under a second, so a request
# that would have to wait longer is refused at once.
_MAX_QUEUED_PER_THREAD = 2


class _DeadlineSocket(socket.SocketIO):
    """A socket whose reads share one deadline.

    cheroot's timeout applies to each read, so a client that sends single bytes
    slowly could occupy a thread for hours.

    Attributes:
      deadline: Time after which reads raise TimeoutError, monotonic seconds.
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
    """cheroot's stream reader on a socket with a deadline."""

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(sock, "rb", size)
        self._raw = _DeadlineSocket(sock)

    def reset_deadline(self) -> None:
        self.raw.deadline = time.monotonic() + _REQUEST_READ_S


class _Connection(cheroot.server.HTTPConnection):
    """A connection with a timeout for the arrival of each request.

    Attributes:
      is_new: Whether it has not been passed to ``Server.process_conn`` yet.
      ready_at: When the current request began to arrive, monotonic seconds.
    """

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
    """Passes cheroot's request object to the application."""

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ["bramleyfork.request"] = self.req
        return environ


class Server(cheroot.wsgi.Server):
    """A cheroot server that bounds idle connections and queued requests."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = _MAX_IDLE_CONNECTIONS
    max_request_header_size = _MAX_HEAD_BYTES
    clock: clocks.Clock
    overload_body = b"{}"

    def process_conn(self, conn: typing.Any) -> None:
        """Queues a connection that has data to read; called by cheroot.

        cheroot would pass a new connection to a thread before any data has
        arrived, so that silent connections could occupy all threads.
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
        """Sends status 503 from the accepting thread, without blocking.

        Arrived data is read first, because closing a socket with unread data
        resets the connection before the client has received the answer.
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
    """Returns a server, not started, for the resources under ``root``.

    Args:
      address: address:port to listen on.
      root: Tree of resources for cherrypy's method dispatcher.
      threads: Number of requests that are served at the same time.
      clock: Source of monotonic time.
      overload_body: JSON body of the answer 503 when the queue is full.
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


def start_server(server: Server, name: str) -> threading.Thread:
    """Binds the server and serves in a new daemon thread.

    Args:
      server: The server.
      name: Name of the thread.

    Returns:
      The thread.
    """
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
    """Sets status and content type of the current answer; returns the body."""
    response = cherrypy.response
    response.status = status
    response.headers["Content-Type"] = content_type
    return body
