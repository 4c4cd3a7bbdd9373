"""Records of attempts that a host makes for another one.

A host that asks several targets of another data centre hands these attempts to
a host there. That one sends them, joins the replies that come together and
returns the greatest records only, so that few bytes go between data centres.
Which targets are asked stays the decision of the host that took the request.
"""

from bramleyfork.core import records
from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges


class Call(records.Record):
    """Attempts that another host is asked to make.

    Attributes:
      number: Identifies the call on its stream.
      request: The caller's request.
      record_limit: Greatest records that are wanted.
      flush_s: Seconds after which the replies that are in are returned.
      wait_s: Seconds until nobody waits for more.
      attempts: Pairs of an attempt's number and its target's id.
    """

    __slots__ = (
        "number",
        "request",
        "record_limit",
        "flush_s",
        "wait_s",
        "attempts",
    )

    def __init__(
        self,
        *,
        number: int,
        request: exchanges.CallerRequest,
        record_limit: int,
        flush_s: float,
        wait_s: float,
        attempts: tuple[tuple[int, str], ...],
    ):
        self.number = number
        self.request = request
        self.record_limit = record_limit
        self.flush_s = flush_s
        self.wait_s = wait_s
        self.attempts = attempts


class Abort(records.Record):
    """Attempts of a call that nobody waits for any longer."""

    __slots__ = ("number", "attempts")

    def __init__(self, *, number: int, attempts: tuple[int, ...]):
        self.number = number
        self.attempts = attempts


class Result(records.Record):
    """Replies of a call that came together.

    Attributes:
      number: Number of the call.
      parts: Pairs of an attempt's number and its target's signature.
      body: Greatest records of these replies.
      failures: An attempt's number, its fault or status, and whether it may
        have run, each.
    """

    __slots__ = ("number", "parts", "body", "failures")

    def __init__(
        self,
        *,
        number: int,
        parts: tuple[tuple[int, bytes], ...],
        body: bytes,
        failures: tuple[tuple[int, str, str], ...],
    ):
        self.number = number
        self.parts = parts
        self.body = body
        self.failures = failures


class ReceivedRecord(records.Record):
    """A record that came on a stream of another host.

    Attributes:
      stream: The stream, as a key.
      record: A Call, an Abort, or None when the stream has ended.
    """

    __slots__ = ("stream", "record")

    def __init__(self, *, stream: int, record: Call | Abort | None):
        self.stream = stream
        self.record = record


class OutgoingResult(records.Record):
    """A result that is to leave on a stream."""

    __slots__ = ("stream", "result")

    def __init__(self, *, stream: int, result: Result):
        self.stream = stream
        self.result = result


class MergedReply(records.Record):
    """What another host returned for attempts of one request.

    Attributes:
      key: Key of the request.
      carrier_address: The host's address.
      parts: Pairs of an attempt's number and its target's signature.
      body: Greatest records of these replies.
    """

    __slots__ = ("key", "carrier_address", "parts", "body")

    def __init__(
        self,
        *,
        key: int,
        carrier_address: tuple[str, int],
        parts: tuple[tuple[int, bytes], ...],
        body: bytes,
    ):
        self.key = key
        self.carrier_address = carrier_address
        self.parts = parts
        self.body = body


class CarrierRequest(records.Record):
    """An attempt of a request that goes through another host.

    Attributes:
      attempt: Number of the attempt within this process.
      request: The caller's request.
      target: Where it goes in the end.
      deadline_at: Monotonic time after which nobody waits for the reply.
      carrier_address: Address of the host that makes the attempt.
      record_limit: Greatest records that are wanted.
      flush_s: Seconds after which the replies that are in are returned.
    """

    __slots__ = (
        "attempt",
        "request",
        "target",
        "deadline_at",
        "carrier_address",
        "record_limit",
        "flush_s",
    )

    def __init__(
        self,
        *,
        attempt: int,
        request: exchanges.CallerRequest,
        target: declarations.ListedTarget,
        deadline_at: float,
        carrier_address: tuple[str, int],
        record_limit: int,
        flush_s: float,
    ):
        self.attempt = attempt
        self.request = request
        self.target = target
        self.deadline_at = deadline_at
        self.carrier_address = carrier_address
        self.record_limit = record_limit
        self.flush_s = flush_s


def build_failure(attempt: int, fault: str, verdict: str) -> exchanges.Reply:
    """Returns a failure of a carried attempt as a reply.

    Raises:
      ValueError: The verdict is none.
    """
    return exchanges.Reply(
        attempt=attempt, verdict=verdicts.Verdict(verdict), fault=fault
    )
