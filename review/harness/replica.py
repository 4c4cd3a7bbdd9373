"""Stand-in for a replica that behaves as the users' pages say.

It has slots and a short queue, rejects what doesn't fit with 503 and
``X-Not-Executed``, checks ``X-Expected-Instance`` and echoes ``X-Request-Id``
in every response. A case can make it faulty in ways that the pages name.
"""

import asyncio
import collections
import hashlib
import random
import time


class Request:
    """A request as it arrived: first line, headers and body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        """The value of ``X-Request-Id``; empty if there is none."""
        return self.headers.get("x-request-id", "")


class Run:
    """A request that the replica began to work on."""

    def __init__(self, at, request):
        self.at = at
        self.request_id = request.request_id
        self.method = request.method
        self.target = request.target
        self.body_digest = hashlib.sha256(request.body).hexdigest()[:16]
        self.body_bytes = len(request.body)


class Replica:
    """Serves one request at a time on each connection.

    Attributes:
      name: Its id.
      service: Name of its service.
      zone: Its zone.
      slots: Requests that it works on at the same time.
      queue: Requests that wait for a slot.
      work_s: Mean time of a request, in seconds.
      late_copy_share: Share of its answers of which it sends a second copy,
        late: where the next answer on the connection is expected.
      runs: Requests that it began to work on.
      answers: Number of its answers by status.
      late_copies: Number of second copies sent.
    """

    def __init__(self, *, name, service, zone, slots=2, queue=4, work_s=0.05, seed=0):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.late_copy_share = 0.0
        self.runs = []
        self.answers = collections.Counter()
        self.late_copies = 0
        self.address = ("127.0.0.1", 0)
        self._random = random.Random(seed)
        self._free = asyncio.Semaphore(slots)
        self._held = 0
        self._server = None
        self._tasks = set()

    async def open(self):
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self):
        """Closes the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def build_entry(self, sequence=1):
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": sequence,
            "born": 1_700_000_000_000,
        }

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        incoming = Incoming(reader)
        late = b""
        try:
            while True:
                request = await incoming.read_request()
                if late:
                    # The second copy of the last answer arrives here.
                    self.late_copies += 1
                    writer.write(late)
                    await writer.drain()
                    late = b""
                answer = await self._answer_unless_closed(request, incoming)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                if self._random.random() < self.late_copy_share:
                    late = answer
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer_unless_closed(self, request, incoming):
        """Returns the answer; None if the caller closed the connection."""
        work = asyncio.ensure_future(self._answer(request))
        closed = asyncio.ensure_future(incoming.wait_closed())
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        is_closed = not work.done()
        work.cancel()
        closed.cancel()
        await asyncio.gather(work, closed, return_exceptions=True)
        return None if is_closed else work.result()

    async def _answer(self, request):
        if request.target == "/health":
            return encode(200, [("X-Instance-Id", self.name)])
        echo = [("X-Request-Id", request.request_id)]
        if request.headers.get("x-expected-instance", self.name) != self.name:
            self.answers[421] += 1
            return encode(421, [*echo, ("X-Instance-Id", self.name)])
        if self._held >= self.slots + self.queue:
            self.answers[503] += 1
            return encode(503, [*echo, ("X-Not-Executed", "1")])
        self._held += 1
        try:
            async with self._free:
                self.runs.append(Run(time.monotonic(), request))
                await asyncio.sleep(self.work_s * self._random.uniform(0.5, 1.5))
        finally:
            self._held -= 1
        self.answers[200] += 1
        body = hashlib.sha256(request.request_id.encode()).digest()
        stamp = f"{self.name}.{request.request_id}"
        return encode(200, [*echo, ("X-Server-Stamp", stamp)], body)


def encode(status, headers, body=b""):
    """Returns the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Incoming:
    """Reads the requests of a connection, and notices that it was closed.

    What arrives while a request is worked on stays for the next one.
    """

    def __init__(self, reader):
        self._reader = reader
        self._data = bytearray()

    async def wait_closed(self):
        """Returns once the caller has closed the connection."""
        while await self._receive():
            pass

    async def read_request(self):
        """Returns the next request."""
        while b"\r\n\r\n" not in self._data:
            await self._receive_more()
        head, _, _ = bytes(self._data).partition(b"\r\n\r\n")
        del self._data[: len(head) + 4]
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self._data) < length:
            await self._receive_more()
        body = bytes(self._data[:length])
        del self._data[:length]
        return Request(method, target, headers, body)

    async def _receive(self):
        data = await self._reader.read(65536)
        self._data += data
        return bool(data)

    async def _receive_more(self):
        if not await self._receive():
            raise asyncio.IncompleteReadError(bytes(self._data), None)
