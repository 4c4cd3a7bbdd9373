"""Stand-in for a replica, as PROTOCOL.md has it, with slots and a queue.

A request that finds slots and queue full gets 503 with ``X-Not-Executed``. One
whose connection closes is dropped. Answers echo ``X-Request-Id``.
"""

import asyncio
import os


class Request:
    """A received request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")


class Replica:
    """One replica.

    Args:
      name: Its id.
      service: Name of its service.
      zone: Its zone.
      work_s: Seconds for which a request keeps a slot.
      slots: Requests that run at the same time.
      queue: Requests that wait for a slot.
      max_connections: Connections that it accepts; others are reset.
      body: Body of its answers.
    """

    def __init__(
        self,
        *,
        name,
        service,
        zone,
        work_s=0.02,
        slots=2,
        queue=12,
        max_connections=25,
        body=b"",
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.max_connections = max_connections
        self.body = body
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.address = ("127.0.0.1", 0)
        self.is_in_trouble = None  # Asked for each request.
        self.misbehave = None  # Coroutine function (request, writer).
        self.runs = []  # Ids of the requests that it began to run.
        self.open_connections = 0
        self._running = asyncio.Semaphore(slots)
        self._held = 0
        self._server = None

    async def open(self, ip, born_ms):
        self.born = born_ms
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def build_entry(self):
        """Returns what it writes into the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        if self.open_connections >= self.max_connections:
            writer.transport.abort()
            return
        self.open_connections += 1
        try:
            while True:
                request = await _read_request(reader)
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # The script ends.
        finally:
            self.open_connections -= 1
            writer.transport.abort()

    async def _answer(self, request, reader, writer):
        if request.target == "/health":
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            await writer.drain()
            return True
        expected = request.headers.get("x-expected-instance", self.name)
        if expected != self.name:
            self._write(
                writer,
                request,
                421,
                b"X-Instance-Id: %s\r\n" % (self.name.encode()),
            )
            return True
        if self._held >= self.slots + self.queue:
            self._write(writer, request, 503, b"X-Not-Executed: 1\r\n")
            return True
        self._held += 1
        work = asyncio.ensure_future(self._run(request, writer))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                return False
            return work.result()
        finally:
            self._held -= 1
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def _run(self, request, writer):
        async with self._running:
            self.runs.append(request.request_id)
            await asyncio.sleep(self.work_s)
        if self.is_in_trouble and self.is_in_trouble(request):
            self._held -= 1
            try:
                await self.misbehave(request, writer)
            finally:
                self._held += 1
            return False
        stamp = f"{self.name}.{request.request_id}"
        self._write(
            writer,
            request,
            200,
            b"X-Server-Stamp: %s\r\n" % stamp.encode(),
            self.body,
        )
        await writer.drain()
        return True

    def _write(self, writer, request, status, lines, body=b""):
        writer.write(
            b"HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n%s"
            b"Content-Length: %d\r\n\r\n%s"
            % (status, request.request_id.encode(), lines, len(body), body)
        )


async def _read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def draw_records(count):
    """Returns the records of one shard, 16 bytes each."""
    return os.urandom(16 * count)
