"""Replica stand-ins of a soak, which log what they run."""

import asyncio
import hashlib
import time

from standins.entry import http_stand_in
from standins.entry import replicas

RECORDS = 5
_CRASH_DOWN_S = 0.5


def build_records(service: str, request_id: str) -> list[bytes]:
    """Returns the records that a service returns for a request.

    They are derived from both, so a mixed-up reply is detected.
    """
    return [
        hashlib.blake2b(
            f"{service} {request_id} {n}".encode(), digest_size=16
        ).digest()
        for n in range(RECORDS)
    ]


class SoakReplica(replicas.Replica):
    """Replica stand-in that logs the requests that it runs.

    Attributes:
      service: Name of its service.
      zone: Name of its zone.
      run_log: Monotonic time, method and request id of each request begun.
      cold_until: Monotonic time until which it is cold.
      closed_at: Monotonic time at which the store accepted its drain or
        evacuation; None while it may be used.
      limits: Begin, end and requests per second of each limit that it named.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        crashes: "dict[str, CrashingPath]",
    ):
        super().__init__(name=name, service_time_s=0.004)
        self.limits: list[tuple[float, float, float]] = []
        self._crashes = crashes
        self.service = service
        self.zone = zone
        self.run_log: list[tuple[float, str, str]] = []
        self.cold_until = 0.0
        self.closed_at: float | None = None
        self.open_again_at = 0.0

    def build_body(self, request: http_stand_in.Request) -> bytes:
        """Returns the records of the service for a request."""
        request_id = request.headers.get("x-request-id", "")
        return b"".join(build_records(self.service, request_id))

    async def _answer(
        self, request: http_stand_in.Request
    ) -> http_stand_in.Reply | None:
        expected = request.headers.get("x-expected-instance", self.name)
        if request.target != "/health" and expected == self.name:
            request_id = request.headers.get("x-request-id", "")
            self.run_log.append((time.monotonic(), request.method, request_id))
        crash = self._crashes.get(request.target)
        if crash is not None:
            crash.arrivals.append((time.monotonic(), request_id))
            asyncio.get_running_loop().create_task(self._restart())
            await asyncio.sleep(_CRASH_DOWN_S)
        left = max(0.0, self.cold_until - time.monotonic())
        self.warmup_ms = int(left * 1000)
        reply = await super()._answer(request)
        if reply is not None and self.limits and request.target != "/health":
            begin, end, limit_per_s = self.limits[-1]
            if begin <= time.monotonic() < end:
                named = ("Server-Limit", str(limit_per_s))
                reply.headers = (*reply.headers, named)
        return reply

    async def _restart(self) -> None:
        """Ends the replica and starts it again at the same port."""
        port = self.address[1]
        await self.close()
        await asyncio.sleep(_CRASH_DOWN_S)
        try:
            await self.open(port)
        except OSError:
            # A connection took the port meanwhile; the replica stays down.
            return


class CrashingPath:
    """A path whose requests end each replica that begins them.

    Attributes:
      arrivals: Monotonic time and request id of each of these requests that
        reached a replica, which ended then.
    """

    def __init__(self):
        self.arrivals: list[tuple[float, str]] = []
