"""Working state of a request in flight, of its shards and its attempts."""

from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry.decisions import fingerprints

# Request ids of callers may be long, and hosts tell each other of them.
_MAX_OCCASION_CHARS = 64


class Attempt:
    """One unanswered attempt at one target.

    Attributes:
      number: Number of the attempt, unique in this process.
      target: The target that the attempt is sent to.
      shard: The shard that the attempt belongs to.
      sent_at: Monotonic time of the send, in seconds.
      exchange: The request that the attempt belongs to.
      carrier_address: Address of the carrier; None if this host sends it to the
        target.
      is_trial: Whether it shows if its request crashes targets.
    """

    __slots__ = (
        "number",
        "target",
        "shard",
        "sent_at",
        "exchange",
        "carrier_address",
        "is_trial",
    )

    def __init__(
        self,
        *,
        number: int,
        target: declarations.ListedTarget,
        shard: "Shard",
        sent_at: float,
        exchange: "Exchange",
        carrier_address: tuple[str, int] | None = None,
    ):
        self.number = number
        self.target = target
        self.shard = shard
        self.sent_at = sent_at
        self.exchange = exchange
        self.carrier_address = carrier_address
        self.is_trial = False


class Shard:
    """The part of a request that one service answers.

    Attributes:
      service: Name of the service.
      reply: The successful reply; None until one is received.
      failure: The last complete reply that is a failure.
      attempts: Attempts in flight.
      tried_targets: Ids of the targets that attempts were sent to.
      verdicts: For each ended attempt, whether it may have run.
      attempt_count: Number of attempts made so far.
      delivered_attempts: Number of attempts that may have reached a target.
      hedge_at: Monotonic time of the next hedge; None if none is scheduled.
      retry_at: Monotonic time of the next retry; None if none is scheduled.
      fault: Fault of the last failed attempt; empty if none has failed.
      is_given_up: Whether the shard is given up and no retry will be made.
    """

    __slots__ = (
        "service",
        "reply",
        "failure",
        "attempts",
        "tried_targets",
        "verdicts",
        "attempt_count",
        "delivered_attempts",
        "hedge_at",
        "retry_at",
        "fault",
        "is_given_up",
    )

    def __init__(self, *, service: str):
        self.service = service
        self.reply: exchanges.Reply | None = None
        self.failure: exchanges.Reply | None = None
        self.attempts: list[Attempt] = []
        self.tried_targets: set[str] = set()
        self.verdicts: list[verdicts.Verdict] = []
        self.attempt_count = 0
        self.delivered_attempts = 0
        self.hedge_at: float | None = None
        self.retry_at: float | None = None
        self.fault = ""
        self.is_given_up = False

    def is_pending(self) -> bool:
        """Returns whether the shard has no reply yet and isn't given up."""
        return self.reply is None and not self.is_given_up


class Exchange:
    """A request in flight. Its times are monotonic, in seconds.

    Attributes:
      request: The caller's request.
      route: The route at the start; later route tables don't change it.
      version: Version of the route table that contains the route.
      shards: One per service that the request is sent to.
      min_shards: Minimum number of shards that an answer must include.
      answered_shards: Number of shards with a successful reply.
      given_up_shards: Number of shards that are given up without a reply.
      deadline_at: Time at which the request is answered in any case.
      aim_at: Latest time to send an answer that meets the latency target.
      late_cutoff_at: Time until which an answer that misses the latency target
        waits for missing shards.
      elapsed_before_s: Seconds that the caller had spent before the request
        arrived.
      hedge_times: Times for which hedge timers were scheduled.
      hedges: Number of hedges sent so far.
      retries: Number of retries sent so far.
      faults: Number of failed attempts by fault.
      shards_by_carrier_attempt: Shards by attempt number, for attempts that
        went through a carrier.
      merged_bodies: Body of each reply of a carrier, which holds the merged
        records of several shards.
      is_done: Whether the request was answered or its caller disconnected.
      fingerprint: Fingerprint of the request; empty until it is needed.
      trials: Numbers of the trials in flight.
      crashes: Number of targets that ended while they ran the request.
      losses: Number of attempts whose connection was lost before their reply
        was complete, although the target had not ended.
      is_answered: Whether a target has answered an attempt, with any status.
    """

    __slots__ = (
        "request",
        "route",
        "version",
        "shards",
        "min_shards",
        "answered_shards",
        "given_up_shards",
        "deadline_at",
        "aim_at",
        "late_cutoff_at",
        "elapsed_before_s",
        "hedge_times",
        "hedges",
        "retries",
        "faults",
        "shards_by_carrier_attempt",
        "merged_bodies",
        "is_done",
        "fingerprint",
        "trials",
        "crashes",
        "losses",
        "is_answered",
    )

    def __init__(
        self,
        *,
        request: exchanges.CallerRequest,
        route: declarations.Route,
        version: int,
        services: tuple[str, ...],
        min_shards: int,
        deadline_at: float,
        aim_at: float,
        late_cutoff_at: float,
        elapsed_before_s: float,
    ):
        self.request = request
        self.route = route
        self.version = version
        self.shards = [Shard(service=service) for service in services]
        self.min_shards = min_shards
        self.answered_shards = 0
        self.given_up_shards = 0
        self.deadline_at = deadline_at
        self.aim_at = aim_at
        self.late_cutoff_at = late_cutoff_at
        self.elapsed_before_s = elapsed_before_s
        self.hedge_times: set[float] = set()
        self.hedges = 0
        self.retries = 0
        self.faults: dict[str, int] = {}
        self.shards_by_carrier_attempt: dict[int, Shard] = {}
        self.merged_bodies: list[bytes] = []
        self.is_done = False
        self.fingerprint = ""
        self.trials: set[int] = set()
        self.crashes = 0
        self.losses = 0
        self.is_answered = False

    def find_fingerprint(self) -> str:
        """Returns the fingerprint of the request."""
        if not self.fingerprint:
            self.fingerprint = fingerprints.compute_fingerprint(self.request)
        return self.fingerprint

    def find_occasion(self) -> str:
        """Returns the text that tells its crashes from those of others."""
        return self.request.request_id.decode("latin-1")[:_MAX_OCCASION_CHARS]

    def set_reply(self, shard: Shard, reply: exchanges.Reply) -> None:
        """Stores the successful reply of a shard."""
        if shard.reply is None:
            self.answered_shards += 1
            if shard.is_given_up:
                self.given_up_shards -= 1
        shard.reply = reply

    def give_up(self, shard: Shard) -> None:
        """Gives up a shard: no retry will be made."""
        if shard.is_pending():
            self.given_up_shards += 1
        shard.is_given_up = True

    def count_pending(self) -> int:
        """Returns the number of shards that may still reply.

        It is counted as shards end: a request of many shards asks for it after
        each reply.
        """
        return len(self.shards) - self.answered_shards - self.given_up_shards

    def combine_verdicts(self) -> verdicts.Verdict:
        """Returns whether the request may have run in any of its attempts."""
        seen = [v for shard in self.shards for v in shard.verdicts]
        if any(shard.attempts for shard in self.shards):
            seen.append(verdicts.Verdict.MAY_HAVE_RUN)
        return verdicts.combine_verdicts(seen)
