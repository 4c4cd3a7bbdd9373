"""A small HTTP/1.1 server that injects faults into its replies."""

import asyncio
import collections.abc
import socket
import struct


class Request:
    """A received request.

    Attributes:
      method: Method of the request.
      target: Path and query string.
      headers: Header values by lower-case name.
      body: Body of the request.
      connection: Number of the connection, from 1.
    """

    __slots__ = ("method", "target", "headers", "body", "connection")

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        connection: int,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection


class Reply:
    """A reply and the faults to inject into it.

    Attributes:
      status: Status code.
      headers: Names and values of the headers besides Content-Length.
      body: Complete body.
      is_framed: Whether Content-Length is sent; without it, the connection is
        closed after the body.
      truncate_after_bytes: Number of bytes after which the connection is
        closed; None to send all.
      extra: Bytes that are sent after the reply.
      is_reset: Whether the connection is reset after the reply.
      raw: Bytes that are sent instead of the reply; empty for none.
      endless: Bytes that are sent after the reply again and again until the
        client closes the connection; empty for none.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "is_framed",
        "truncate_after_bytes",
        "extra",
        "is_reset",
        "raw",
        "endless",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        is_framed: bool = True,
        truncate_after_bytes: int | None = None,
        extra: bytes = b"",
        is_reset: bool = False,
        raw: bytes = b"",
        endless: bytes = b"",
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_framed = is_framed
        self.truncate_after_bytes = truncate_after_bytes
        self.extra = extra
        self.is_reset = is_reset
        self.raw = raw
        self.endless = endless

    def encode(self) -> bytes:
        """Returns the bytes of the whole reply."""
        if self.raw:
            return self.raw
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.is_framed:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


RequestCallback = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Reply | None]
]


class Server:
    """Serves one request at a time on each connection.

    Args:
      answer: Returns the reply to a request; None resets the connection.

    Attributes:
      connections: Number of connections accepted so far.
      open_connections: Number of open connections.
      address: IP address and port on which it listens.
    """

    def __init__(self, *, answer: RequestCallback):
        self.connections = 0
        self.open_connections = 0
        self.address = ("127.0.0.1", 0)
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def open(self, port: int = 0) -> None:
        """Starts listening; for port 0 a free port is chosen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop_listening(self) -> None:
        """Closes the listener; open connections are still served."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Closes the listener and all connections."""
        self.stop_listening()
        await self.reset_connections()

    async def reset_connections(self) -> None:
        """Closes all connections without answers; it still listens."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        self.open_connections += 1
        try:
            await self._serve_requests(reader, writer, self.connections)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The client closed the connection and can open another.
        except asyncio.CancelledError:
            pass  # ``close`` was called.
        finally:
            self.open_connections -= 1
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_requests(
        self, reader, writer, connection_number: int
    ) -> None:
        while True:
            request = await _read_request(reader, connection_number)
            work = asyncio.ensure_future(self._answer(request))
            # Cancels the work on a request whose connection is closed. The
            # read returns at once when the client closes it.
            disconnected = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                {work, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
                return
            disconnected.cancel()
            await asyncio.gather(disconnected, return_exceptions=True)
            reply = work.result()
            if reply is None:
                return
            data = reply.encode() + reply.extra
            if reply.truncate_after_bytes is not None:
                writer.write(data[: reply.truncate_after_bytes])
                await writer.drain()
                writer.close()
                await writer.wait_closed()
                return
            writer.write(data)
            await writer.drain()
            while reply.endless:
                writer.write(reply.endless)
                await writer.drain()
            if reply.is_reset:
                _reset_on_close(writer)
                return
            if not reply.is_framed:
                writer.close()
                await writer.wait_closed()
                return


def _reset_on_close(writer) -> None:
    """Makes the next close of the connection send a TCP reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


async def _read_request(reader, connection_number: int) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(
        method=method,
        target=target,
        headers=headers,
        body=body,
        connection=connection_number,
    )
