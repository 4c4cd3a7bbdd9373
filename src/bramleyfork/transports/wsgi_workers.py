"""Threads that run a WSGI application."""

import collections.abc
import io
import logging
import queue
import sys
import threading
import typing
import urllib.parse

from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests

_LOG = logging.getLogger(__name__)

# Requests queued per thread. Most deadlines are under a second, so a request
# that would have to wait longer is refused at once.
_MAX_QUEUED_PER_THREAD = 2
# Key of a request's ``HttpRequest`` in its WSGI environment.
REQUEST_KEY = "bramleyfork.request"

Application = collections.abc.Callable[
    [dict[str, typing.Any], collections.abc.Callable[..., None]],
    collections.abc.Iterable[bytes],
]


class WsgiResponse:
    """The response of an application to one request.

    Attributes:
      status: Status code.
      headers: Names and values of its header fields.
      body: Whole body.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        *,
        status: int,
        headers: http_heads.Headers = (),
        body: bytes = b"",
    ):
        self.status = status
        self.headers = headers
        self.body = body


class Work:
    """A request for the application.

    Attributes:
      request: The request, which has been read whole.
      remote: IP address of the client.
      on_response: Called with the response in a thread of the workers.
    """

    __slots__ = ("request", "remote", "on_response")

    def __init__(
        self,
        *,
        request: http_requests.HttpRequest,
        remote: str,
        on_response: collections.abc.Callable[[WsgiResponse], None],
    ):
        self.request = request
        self.remote = remote
        self.on_response = on_response


class Workers:
    """Threads that run a WSGI application.

    Args:
      application: The application.
      threads: Number of requests that are served at the same time.
      address: IP address and port of the listener.
    """

    __slots__ = ("_application", "_threads", "_address", "_queue")

    def __init__(
        self,
        *,
        application: Application,
        threads: int,
        address: tuple[str, int],
    ):
        self._application = application
        self._threads = threads
        self._address = address
        self._queue: queue.Queue[Work | None] = queue.Queue(
            threads * _MAX_QUEUED_PER_THREAD
        )

    def start(self, name: str) -> None:
        """Starts the threads.

        Args:
          name: Prefix of their names.
        """
        for number in range(self._threads):
            threading.Thread(
                target=self._run, name=f"{name}-{number}", daemon=True
            ).start()

    def stop(self) -> None:
        """Lets each thread end after its request; queued ones are dropped."""
        while True:
            try:
                self._queue.get_nowait()
            except queue.Empty:
                break
        for _ in range(self._threads):
            try:
                self._queue.put_nowait(None)
            except queue.Full:
                return  # A thread that ends puts it back for the others.

    def try_add(self, work: Work) -> bool:
        """Queues a request; returns False if too many are queued."""
        try:
            self._queue.put_nowait(work)
        except queue.Full:
            return False
        return True

    def _run(self) -> None:
        while (work := self._queue.get()) is not None:
            work.on_response(self._serve(work))
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return

    def _serve(self, work: Work) -> WsgiResponse:
        try:
            return _run_application(
                self._application, build_environ(work, self._address)
            )
        except Exception:  # A fault in one request must not end the thread.
            _LOG.exception("request failed")
            return WsgiResponse(status=500)


def build_environ(
    work: Work, address: tuple[str, int]
) -> dict[str, typing.Any]:
    """Returns the WSGI environment of a request (PEP 3333)."""
    request = work.request
    path, _, query = request.url.partition(b"?")
    environ: dict[str, typing.Any] = {
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query.decode("latin-1"),
        "SERVER_NAME": address[0],
        "SERVER_PORT": str(address[1]),
        "SERVER_PROTOCOL": f"HTTP/{request.version}",
        "REMOTE_ADDR": work.remote,
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        REQUEST_KEY: request,
    }
    for name, value in request.headers:
        key = name.decode("latin-1").upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        text = value.decode("latin-1")
        environ[key] = f"{environ[key]}, {text}" if key in environ else text
    if request.body:
        # The length of a body in chunks is known here, too.
        environ["CONTENT_LENGTH"] = str(len(request.body))
    return environ


def _run_application(
    application: Application, environ: dict[str, typing.Any]
) -> WsgiResponse:
    started: list[WsgiResponse] = []

    def start_response(status, headers, exc_info=None):
        del exc_info
        response = WsgiResponse(
            status=int(status.split(" ", 1)[0]),
            headers=tuple(
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers
            ),
        )
        started[:] = [response]

    pieces = application(environ, start_response)
    try:
        body = b"".join(pieces)
    finally:
        if hasattr(pieces, "close"):
            pieces.close()
    started[0].body = body
    return started[0]
