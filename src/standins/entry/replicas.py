"""A stand-in of a service's replica."""

import asyncio
import collections.abc

from standins.entry import web

Spoiler = collections.abc.Callable[[web.Request, web.Reply], web.Reply | None]


# Header names by what they hold, as the users' replicas have them.
HEADERS = {
    "request_id": "X-Request-Id",
    "expected_target": "X-Expected-Instance",
    "stamp": "X-Server-Stamp",
    "target": "X-Instance-Id",
    "warmup_ms": "X-Warmup-Ms",
}


class Replica:
    """Answers requests with records and a signature.

    Attributes:
      name: Its id, which requests may expect.
      headers: Header names by what they hold.
      records: Body of its replies.
      work_s: Seconds that a request takes.
      spoil: Changes replies; returning None resets the connection.
      is_healthy: What its health check says.
      warmup_ms: How long its health check says it stays cold.
      seen: Requests that it began to run, in order.
      abandoned: Number of requests whose connection ended while they ran.
    """

    def __init__(
        self,
        *,
        name: str,
        records: bytes = b"",
        work_s: float = 0.0,
        headers: collections.abc.Mapping[str, str] = HEADERS,
    ):
        self.name = name
        self.headers = headers
        self.records = records
        self.work_s = work_s
        self.spoil: Spoiler | None = None
        self.is_healthy = True
        self.warmup_ms = 0
        self.seen: list[web.Request] = []
        self.abandoned = 0
        self.server = web.Server(answer=self._answer)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.server.address

    async def open(self, port: int = 0) -> None:
        """Begins to listen."""
        await self.server.open(port)

    async def close(self) -> None:
        """Ends all connections."""
        await self.server.close()

    def find_records(self, request: web.Request) -> bytes:
        """Returns the body of the reply to a request."""
        del request
        return self.records

    async def _answer(self, request: web.Request) -> web.Reply | None:
        if request.target == "/health":
            return web.Reply(
                status=200 if self.is_healthy else 503,
                headers=(
                    (self.headers["target"], self.name),
                    (self.headers["warmup_ms"], str(self.warmup_ms)),
                ),
            )
        expected = self.headers["expected_target"].lower()
        if request.headers.get(expected, self.name) != self.name:
            return web.Reply(
                status=421, headers=((self.headers["target"], self.name),)
            )
        self.seen.append(request)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.abandoned += 1
            raise
        request_id = request.headers.get(self.headers["request_id"].lower(), "")
        reply = web.Reply(
            status=200,
            headers=(
                (self.headers["request_id"], request_id),
                (self.headers["stamp"], f"{self.name}.{request_id}"),
            ),
            body=self.find_records(request),
        )
        return self.spoil(request, reply) if self.spoil else reply
