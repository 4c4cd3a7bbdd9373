"""Callers of a soak; each request is recorded with its answer."""

import asyncio
import itertools
import time

from bench.soak import environment as environments

_DEADLINE_S = 0.8
_PAUSE_S = 0.02


class Call:
    """A request and its answer.

    Attributes:
      request_id: Value of X-Request-Id.
      is_gather: Whether it is a gather over all shards; otherwise it holds a
        seat.
      sent_at: Monotonic time in seconds.
      status: HTTP status; 0 if there was no whole answer.
      headers: Headers of the answer, names in lower case.
      body: Body of the answer.
    """

    __slots__ = (
        "request_id",
        "is_gather",
        "sent_at",
        "status",
        "headers",
        "body",
    )

    def __init__(self, *, request_id: str, is_gather: bool, sent_at: float):
        self.request_id = request_id
        self.is_gather = is_gather
        self.sent_at = sent_at
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""


class Callers:
    """Sends requests over keep-alive connections to random hosts.

    Args:
      environment: Environment whose hosts are called.
      count: Number of concurrent callers.

    Attributes:
      calls: All requests sent so far.
    """

    def __init__(
        self, *, environment: environments.SoakEnvironment, count: int
    ):
        self.calls: list[Call] = []
        self._environment = environment
        self._count = count
        self._numbers = itertools.count(1)

    async def run(self, seconds: float) -> None:
        """Sends requests for a number of seconds."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._call(end) for _ in range(self._count)))

    async def _call(self, end: float) -> None:
        rng = self._environment.random
        while time.monotonic() < end:
            host = rng.choice(self._environment.hosts)
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        host.ip, 8104
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                while time.monotonic() < end:
                    if not await self._ask(reader, writer):
                        break
                    await asyncio.sleep(_PAUSE_S * rng.random())
            finally:
                writer.transport.abort()

    async def _ask(self, reader, writer) -> bool:
        """Sends one request; returns whether to reuse the connection."""
        rng = self._environment.random
        number = next(self._numbers)
        call = Call(
            request_id=f"q{number:06}",
            is_gather=rng.random() < 0.8,
            sent_at=time.monotonic(),
        )
        self.calls.append(call)
        if call.is_gather:
            line, body = f"GET {environments.GATHER_PATH}{number}", b""
        else:
            line, body = f"POST {environments.SEAT_PATH}{number}", b"one seat"
        head = (
            f"{line} HTTP/1.1\r\nHost: {environments.HOST_NAME}\r\n"
            f"X-Request-Id: {call.request_id}\r\n"
            f"X-Deadline-Ms: {int(_DEADLINE_S * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        cancels_early = rng.random() < 0.03
        limit_s = rng.uniform(0.01, 0.1) if cancels_early else _DEADLINE_S + 1.0
        try:
            writer.write(head.encode() + body)
            async with asyncio.timeout(limit_s):
                await self._read(call, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return call.headers.get("connection") != "close"

    async def _read(self, call: Call, reader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        call.headers, call.body = headers, body
        call.status = int(lines[0].split(" ")[1])
