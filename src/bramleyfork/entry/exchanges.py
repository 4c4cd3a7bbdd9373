"""Records of a request's way from its caller to targets and back."""

from bramleyfork.core import records
from bramleyfork.core import verdicts
from bramleyfork.entry import declarations

Headers = tuple[tuple[bytes, bytes], ...]


class CallerRequest(records.Record):
    """A whole request of a caller.

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
      wait_s: Seconds that the caller waits; None if it did not say.
      caller: IP address of the caller.
      rtt_s: Round trip to the caller; 0 if it is not known.
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
      target: Where it goes.
      deadline_at: Monotonic time after which nobody waits for the reply.
      connection_limit: Most connections of this host to the target.
      may_reuse_connection: Whether a kept connection may be used. A kept
        connection that the target closes at the same moment leaves open whether
        it ran.
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
    """What came of an attempt.

    Attributes:
      attempt: Number of the attempt.
      verdict: Whether the target may have run it.
      fault: Empty for a whole reply, else a word for what went wrong:
        "connect", "no_room", "lost", "garbled", "expired".
      status: Status of the reply; 0 with a fault.
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
    """What a caller gets.

    Attributes:
      key: Key of the request.
      status: Status code.
      headers: Headers besides length and connection.
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
    """Evidence against a target.

    Attributes:
      target: The target as it was used.
      fault: "connect", "lost" or "misdirected".
      at: Monotonic time.
    """

    __slots__ = ("target", "fault", "at")

    def __init__(
        self, *, target: declarations.ListedTarget, fault: str, at: float
    ):
        self.target = target
        self.fault = fault
        self.at = at


class Probe(records.Record):
    """A health check that is to be made."""

    __slots__ = ("target", "path")

    def __init__(self, *, target: declarations.ListedTarget, path: str):
        self.target = target
        self.path = path


class ProbeResult(records.Record):
    """What a health check showed.

    Attributes:
      target: The target that was asked.
      is_healthy: Whether this very target said that it is healthy.
      warmup_s: Seconds for which it says that it stays cold.
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
    """What a host that ends has to wait for.

    Attributes:
      phase: Phase of the process that the count was made in.
      requests: Requests under way.
      connections: Connections of callers.
    """

    __slots__ = ("phase", "requests", "connections")

    def __init__(self, *, phase: str, requests: int, connections: int):
        self.phase = phase
        self.requests = requests
        self.connections = connections

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left."""
        return not self.requests and not self.connections
