"""Sections of a target's blackboard, and the records that they hold."""

import typing

from standins import records

NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"
RAN = "ran"

SECTIONS = (
    ("arrivals", "log", "http"),
    ("cancels", "log", "http"),
    ("commands", "log", "http"),
    ("connections", "table", "http"),
    ("setup", "table", "setup"),
    ("warmth", "table", "warmth"),
    ("violations", "log", "warmth"),
    ("life", "table", "lifecycle"),
    ("waiting", "table", "slots"),
    ("running", "table", "slots"),
    ("starts", "log", "slots"),
    ("outcomes", "log", "slots"),
    ("journal", "table", "journal"),
    ("tallies", "table", "journal"),
)


class Attempt(records.Record):
    """A read or write request to the target.

    Attributes:
      serial: Unique within the process.
      attempt_id: As sent by the client.
      kind: "read" or "write".
      lookup: Name of the lookup.
      service: Requested service.
      low: First requested key.
      high: Key after the last requested one.
      parameters: Opaque parameters.
      index_version: Index version of the requested snapshot.
      map_version: Map version of the requested snapshot.
      urgency: "urgent" or "ordinary".
      source: IP address of the client.
      arrived_at: Monotonic time of arrival in seconds.
      arrived_unix: Unix time of arrival in seconds.
      deadline: Monotonic time in seconds at which it expires.
      started_at: Monotonic time in seconds at which it began to run; None
        before that.
      ends_at: Monotonic time in seconds at which the run will end; None before
        it has begun.
      beside: Number of attempts running when it started, itself included.
      rejection: Why the request is invalid; empty if it is valid.
    """

    __slots__ = (
        "serial", "attempt_id", "kind", "lookup", "service", "low", "high",
        "parameters", "index_version", "map_version", "urgency", "source",
        "arrived_at", "arrived_unix", "deadline", "started_at", "ends_at",
        "beside", "rejection",
    )  # fmt: skip

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {
        "started_at": None,
        "ends_at": None,
        "beside": 0,
        "rejection": "",
    }


class Outcome(records.Record):
    """Result of an attempt.

    Attributes:
      attempt: The attempt; ``started_at`` is set if it began to run.
      status: HTTP status; 0 if the connection is aborted instead.
      error: Error code of the reply; "ran" for success, "crashed" if there is
        no reply.
      verdict: NOT_RUN, MAY_HAVE_RUN or RAN.
      ended_at: Monotonic time in seconds at which it ended.
      epoch: Epoch of the target at that time.
    """

    __slots__ = ("attempt", "status", "error", "verdict", "ended_at", "epoch")


class Command(records.Record):
    """A control call.

    Attributes:
      name: Name of the call.
      body: Its checked JSON body.
    """

    __slots__ = ("name", "body")


class WarmupState(records.Record):
    """Warm-up state of a target, with a token bucket for the cold rate limit.

    Attributes:
      cold: Whether the target is cold.
      silent: Whether replies report it as warm nevertheless.
      since: Monotonic time in seconds at which it became cold.
      warm_at: Monotonic time in seconds at which it becomes warm; None until
        its first run has ended.
      tokens: Number of requests that the rate limit currently allows.
      refilled_at: Monotonic time in seconds at which ``tokens`` was computed.
    """

    __slots__ = ("cold", "silent", "since", "warm_at", "tokens", "refilled_at")


class Violation(records.Record):
    """A request that exceeded a limit of a cold target.

    Attributes:
      attempt: The request.
      reason: The exceeded limit, "in_flight" or "rate".
      in_flight: Requests queued or running, this one included.
      cold_for_s: Time for which the target had been cold, seconds.
    """

    __slots__ = ("attempt", "reason", "in_flight", "cold_for_s")


class LifecycleState(records.Record):
    """Current incarnation of a target.

    Attributes:
      epoch: Unique id of the incarnation.
      number: Number of the incarnation, from 1.
      leaving: Whether it is draining.
      listening: Whether it accepts connections; False between a crash and the
        restart.
      restart_at: Monotonic time in seconds of the restart after a crash; None
        if it is not crashed or does not restart.
    """

    __slots__ = ("epoch", "number", "leaving", "listening", "restart_at")
