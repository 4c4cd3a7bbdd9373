"""Records of attempts that one entry host makes for another one.

A host that sends a request to several targets of another data centre delegates
these attempts to an entry host there, the carrier. The carrier sends them,
merges the replies that arrive together and returns only the greatest records,
so that few bytes go between data centres. The host that received the caller's
request still chooses the targets.
"""

from bramleyfork.core import records
from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges


class Call(records.Record):
    """Attempts that a host delegates to a carrier.

    Attributes:
      number: Identifies the call on its stream.
      request: The caller's request.
      record_limit: Maximum number of records to return, the greatest ones.
      flush_s: Seconds after which the replies received so far are returned.
      wait_s: Seconds after which no further replies are needed.
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
    """Cancels attempts of a call.

    Attributes:
      number: Number of the call.
      attempts: Numbers of the attempts whose replies are not needed any more.
    """

    __slots__ = ("number", "attempts")

    def __init__(self, *, number: int, attempts: tuple[int, ...]):
        self.number = number
        self.attempts = attempts


class Result(records.Record):
    """Replies of a call that the carrier returns together.

    Attributes:
      number: Number of the call.
      parts: Pairs of an attempt's number and its target's signature.
      body: Greatest records of these replies.
      failures: Triples of a failed attempt's number, its fault or status, and
        its verdict: whether it ran or may have run.
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
    """A record that was received on a stream of another host.

    Attributes:
      stream: Key of the stream.
      record: A Call or an Abort; None when the stream has ended.
    """

    __slots__ = ("stream", "record")

    def __init__(self, *, stream: int, record: Call | Abort | None):
        self.stream = stream
        self.record = record


class OutgoingResult(records.Record):
    """A result that is to be sent on a stream.

    Attributes:
      stream: Key of the stream.
      result: The result.
    """

    __slots__ = ("stream", "result")

    def __init__(self, *, stream: int, result: Result):
        self.stream = stream
        self.result = result


class MergedReply(records.Record):
    """Replies to attempts of one request, as a carrier returned them.

    Attributes:
      key: Key of the request.
      carrier_address: Address of the carrier.
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
    """An attempt of a request that is sent through a carrier.

    Attributes:
      attempt: Number of the attempt within this process.
      request: The caller's request.
      target: The target of the attempt.
      deadline_at: Monotonic time after which the reply is not needed any more.
      carrier_address: Address of the carrier.
      record_limit: Maximum number of records to return, the greatest ones.
      flush_s: Seconds after which the replies received so far are returned.
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
    """Returns the reply for an attempt that failed at a carrier.

    Args:
      attempt: Number of the attempt.
      fault: Its fault or status.
      verdict: Value of a Verdict.

    Raises:
      ValueError: ``verdict`` is not the value of a Verdict.
    """
    return exchanges.Reply(
        attempt=attempt, verdict=verdicts.Verdict(verdict), fault=fault
    )
