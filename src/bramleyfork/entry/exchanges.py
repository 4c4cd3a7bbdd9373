"""Records of requests, their attempts at targets, replies and answers."""

from bramleyfork.core import records
from bramleyfork.core import verdicts
from bramleyfork.entry import declarations

Headers = tuple[tuple[bytes, bytes], ...]


class CallerRequest(records.Record):
    """A complete request of a caller.

    Attributes:
      key: Number that identifies it within this process.
      request_id: The caller's id of this attempt.
      method: Method as sent.
      url: Path and query as sent.
      path: Path without the query.
      host: Host name without port, in lower case.
      headers: Names and values as sent.
      body: Whole body.
      received_at: Monotonic time at which its first byte was read.
      wait_s: Timeout of the caller in seconds; None if it stated none.
      caller: IP address of the caller.
      rtt_s: Round-trip time to the caller in seconds; 0 if it is not known.
    """

    __slots__ = (
        "key",
        "request_id",
        "method",
        "url",
        "path",
        "host",
        "headers",
        "body",
        "received_at",
        "wait_s",
        "caller",
        "rtt_s",
    )

    def __init__(
        self,
        *,
        key: int,
        request_id: bytes,
        method: bytes,
        url: bytes,
        path: str,
        host: str,
        headers: Headers,
        body: bytes,
        received_at: float,
        wait_s: float | None,
        caller: str,
        rtt_s: float = 0.0,
    ):
        self.key = key
        self.request_id = request_id
        self.method = method
        self.url = url
        self.path = path
        self.host = host
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.wait_s = wait_s
        self.caller = caller
        self.rtt_s = rtt_s


class TargetRequest(records.Record):
    """A request that is to be sent to one target.

    Attributes:
      attempt: Number of the attempt within this process.
      request: The caller's request.
      target: The target.
      deadline_at: Monotonic time after which the reply is not needed any more.
      connection_limit: Maximum number of connections from this host to the
        target.
      may_reuse_connection: Whether a connection may be reused that has been
        idle for long. If the target closes it at the same moment, it is
        unknown whether the request ran.
    """

    __slots__ = (
        "attempt",
        "request",
        "target",
        "deadline_at",
        "connection_limit",
        "may_reuse_connection",
    )

    def __init__(
        self,
        *,
        attempt: int,
        request: CallerRequest,
        target: declarations.ListedTarget,
        deadline_at: float,
        connection_limit: int,
        may_reuse_connection: bool = True,
    ):
        self.attempt = attempt
        self.request = request
        self.target = target
        self.deadline_at = deadline_at
        self.connection_limit = connection_limit
        self.may_reuse_connection = may_reuse_connection


class Reply(records.Record):
    """Outcome of an attempt.

    Attributes:
      attempt: Number of the attempt.
      verdict: Whether the target ran it, or may have run it.
      fault: Empty for a complete reply, else the kind of failure: "connect",
        "no_room", "lost" (the connection ended before the reply did), "ended"
        (the target's process did, too), "garbled", "oversized", "expired" or
        "not_usable" (the target wants no requests); through a carrier also
        "carrier", "quarantined" or a status.
      status: Status code of the reply; 0 with a fault.
      headers: Headers of the reply.
      body: Whole body.
      stamp: The target's signature; empty if there is none.
    """

    __slots__ = (
        "attempt",
        "verdict",
        "fault",
        "status",
        "headers",
        "body",
        "stamp",
    )

    def __init__(
        self,
        *,
        attempt: int,
        verdict: verdicts.Verdict,
        fault: str = "",
        status: int = 0,
        headers: Headers = (),
        body: bytes = b"",
        stamp: bytes = b"",
    ):
        self.attempt = attempt
        self.verdict = verdict
        self.fault = fault
        self.status = status
        self.headers = headers
        self.body = body
        self.stamp = stamp


class Response(records.Record):
    """The answer to a caller.

    Attributes:
      key: Key of the request.
      status: Status code.
      headers: Headers besides those for the length and the connection.
      body: Whole body.
    """

    __slots__ = ("key", "status", "headers", "body")

    def __init__(
        self,
        *,
        key: int,
        status: int,
        headers: Headers = (),
        body: bytes = b"",
    ):
        self.key = key
        self.status = status
        self.headers = headers
        self.body = body


class TargetFault(records.Record):
    """Evidence that a target is faulty or not at its listed address.

    Attributes:
      target: The target as listed when it was used.
      fault: "connect", "lost" or "misdirected".
      at: Monotonic time of the failure.
    """

    __slots__ = ("target", "fault", "at")

    def __init__(
        self, *, target: declarations.ListedTarget, fault: str, at: float
    ):
        self.target = target
        self.fault = fault
        self.at = at


class Probe(records.Record):
    """A health check that is to be made.

    Attributes:
      target: The target to check.
      path: Path to request.
    """

    __slots__ = ("target", "path")

    def __init__(self, *, target: declarations.ListedTarget, path: str):
        self.target = target
        self.path = path


class ProbeResult(records.Record):
    """Result of a health check.

    Attributes:
      target: The target that was checked.
      is_healthy: Whether a healthy reply came from this very target.
      warmup_s: Seconds for which the target reports that it stays cold.
    """

    __slots__ = ("target", "is_healthy", "warmup_s")

    def __init__(
        self,
        *,
        target: declarations.ListedTarget,
        is_healthy: bool,
        warmup_s: float,
    ):
        self.target = target
        self.is_healthy = is_healthy
        self.warmup_s = warmup_s


class OpenWork(records.Record):
    """Work that a host completes before its process stops.

    Attributes:
      phase: Phase of the process in which the work was counted.
      requests: Number of requests in flight.
      connections: Number of open connections of callers.
    """

    __slots__ = ("phase", "requests", "connections")

    def __init__(self, *, phase: str, requests: int, connections: int):
        self.phase = phase
        self.requests = requests
        self.connections = connections

    @property
    def is_empty(self) -> bool:
        """Whether no request and no connection is left."""
        return not self.requests and not self.connections
