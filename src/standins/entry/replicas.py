"""A stand-in of a service's replica."""

import asyncio
import collections.abc

from standins.entry import http_stand_in

ReplyFault = collections.abc.Callable[
    [http_stand_in.Request, http_stand_in.Reply], http_stand_in.Reply | None
]


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
      service_time_s: Seconds that a request takes.
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
        service_time_s: float = 0.0,
        headers: collections.abc.Mapping[str, str] = HEADERS,
    ):
        self.name = name
        self.headers = headers
        self.records = records
        self.service_time_s = service_time_s
        self.reply_fault: ReplyFault | None = None
        self.is_healthy = True
        self.warmup_ms = 0
        self.started_requests: list[http_stand_in.Request] = []
        self.abandoned = 0
        self.server = http_stand_in.Server(answer=self._answer)

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

    def build_body(self, request: http_stand_in.Request) -> bytes:
        """Returns the body of the reply to a request."""
        del request
        return self.records

    async def _answer(
        self, request: http_stand_in.Request
    ) -> http_stand_in.Reply | None:
        if request.target == "/health":
            return http_stand_in.Reply(
                status=200 if self.is_healthy else 503,
                headers=(
                    (self.headers["target"], self.name),
                    (self.headers["warmup_ms"], str(self.warmup_ms)),
                ),
            )
        expected = self.headers["expected_target"].lower()
        if request.headers.get(expected, self.name) != self.name:
            return http_stand_in.Reply(
                status=421, headers=((self.headers["target"], self.name),)
            )
        self.started_requests.append(request)
        try:
            await asyncio.sleep(self.service_time_s)
        except asyncio.CancelledError:
            self.abandoned += 1
            raise
        request_id = request.headers.get(self.headers["request_id"].lower(), "")
        reply = http_stand_in.Reply(
            status=200,
            headers=(
                (self.headers["request_id"], request_id),
                (self.headers["stamp"], f"{self.name}.{request_id}"),
            ),
            body=self.build_body(request),
        )
        return self.reply_fault(request, reply) if self.reply_fault else reply
