"""Records of the requests to a target and what became of them."""

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
    """A request as it arrived.

    Attributes:
      serial: Unique within the process.
      attempt_id: As sent by the client.
      kind: "read" or "write".
      lookup: Name of the lookup.
      service: Service asked for.
      low: First key.
      high: Key after the last one.
      parameters: Opaque text.
      index_version: Snapshot asked for.
      map_version: Snapshot asked for.
      urgency: "urgent" or "ordinary".
      source: Source address of the client.
      arrived_at: Monotonic seconds.
      arrived_unix: Unix time, seconds.
      deadline: Monotonic seconds.
      started_at: Monotonic seconds, None before the run.
      ends_at: When the run is due to end, monotonic seconds.
      beside: Attempts running when it started, itself included.
      rejection: Why the request is invalid, or "".
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
    """What became of an attempt.

    Attributes:
      attempt: The attempt, with its start if it ran.
      status: HTTP status; 0 for an aborted connection.
      error: Error of the reply, or "ran" or "crashed".
      verdict: NOT_RUN, MAY_HAVE_RUN or RAN.
      ended_at: Monotonic seconds.
      epoch: Epoch that decided it.
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
    """How warm a target is.

    Attributes:
      cold: Whether it is in cold start.
      silent: Whether replies still say warm.
      since: When it turned cold, monotonic seconds.
      warm_at: When it turns warm, None before the first run ended.
      tokens: Requests borne at once by the cold rate.
      refilled_at: When ``tokens`` was computed, monotonic seconds.
    """

    __slots__ = ("cold", "silent", "since", "warm_at", "tokens", "refilled_at")


class Violation(records.Record):
    """A request above the cold limits.

    Attributes:
      attempt: The request.
      reason: "in_flight" or "rate".
      in_flight: Requests at the target, this one included.
      cold_for_s: How long the target had been cold, seconds.
    """

    __slots__ = ("attempt", "reason", "in_flight", "cold_for_s")


class LifecycleState(records.Record):
    """Which incarnation of a target runs.

    Attributes:
      epoch: Unique text of the incarnation.
      number: Counts incarnations from 1.
      leaving: Whether it drains.
      listening: False between a crash and the restart.
      restart_at: Monotonic seconds, None for never.
    """

    __slots__ = ("epoch", "number", "leaving", "listening", "restart_at")
