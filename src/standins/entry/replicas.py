"""Stand-in for a replica of a service, a target of the entry host."""

import asyncio
import collections.abc

from standins.entry import http_stand_in

ReplyFault = collections.abc.Callable[
    [http_stand_in.Request, http_stand_in.Reply], http_stand_in.Reply | None
]


# Header names of the platform's protocol, by content.
HEADERS = {
    "request_id": "X-Request-Id",
    "expected_target": "X-Expected-Instance",
    "stamp": "X-Server-Stamp",
    "target": "X-Instance-Id",
    "warmup_ms": "X-Warmup-Ms",
}


class Replica:
    """Replies to requests with records and a stamp.

    Attributes:
      name: Id of the replica. A request that names another one is refused with
        status 421.
      headers: Header names by content.
      records: Body of its replies.
      service_time_s: Time that a request takes, seconds.
      reply_fault: Function that alters replies; if it returns None, the
        connection is aborted without a reply. None to leave replies unchanged.
      health_fault: The same for the replies to health checks.
      is_healthy: Whether its health check succeeds.
      warmup_ms: Remaining warm-up time that its health check reports.
      started_requests: Requests that it began to run, in order.
      abandoned: Number of requests whose connection was closed while they ran.
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
        self.health_fault: ReplyFault | None = None
        self.is_healthy = True
        self.warmup_ms = 0
        self.started_requests: list[http_stand_in.Request] = []
        self.abandoned = 0
        self.server = http_stand_in.Server(answer=self._answer)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port on which it listens."""
        return self.server.address

    async def open(self, port: int = 0) -> None:
        """Starts listening; for port 0 a free port is chosen."""
        await self.server.open(port)

    async def close(self) -> None:
        """Closes the listener and all connections."""
        await self.server.close()

    def build_body(self, request: http_stand_in.Request) -> bytes:
        """Returns the body of the reply to a request."""
        del request
        return self.records

    async def _answer(
        self, request: http_stand_in.Request
    ) -> http_stand_in.Reply | None:
        if request.target == "/health":
            reply = http_stand_in.Reply(
                status=200 if self.is_healthy else 503,
                headers=(
                    (self.headers["target"], self.name),
                    (self.headers["warmup_ms"], str(self.warmup_ms)),
                ),
            )
            return (
                self.health_fault(request, reply)
                if self.health_fault
                else reply
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
