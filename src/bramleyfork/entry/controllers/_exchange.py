"""Working state of one request between its caller and its targets."""

from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges


class Attempt:
    """One send to one target that has not been answered.

    ``carrier_address`` is the address of the host that makes it, None for this
    one.
    """

    __slots__ = (
        "number",
        "target",
        "shard",
        "sent_at",
        "exchange",
        "carrier_address",
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


class Shard:
    """The part of a request that one service answers.

    Attributes:
      service: Name of the service.
      reply: The good reply, once there is one.
      failure: The last whole reply that is a failure.
      attempts: Attempts that are under way.
      tried: Targets that attempts were sent to.
      verdicts: Claims on the attempts that have ended.
      sends: Attempts made so far.
      delivered_attempts: Those that may have reached a target.
      hedge_at: When it is asked a second time; None if it is not.
      retry_at: When the next attempt is due; None if none is planned.
      fault: What went wrong with the last attempt; empty if nothing did.
      is_given_up: Whether no further attempt will be made.
    """

    __slots__ = (
        "service",
        "reply",
        "failure",
        "attempts",
        "tried",
        "verdicts",
        "sends",
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
        self.tried: set[str] = set()
        self.verdicts: list[verdicts.Verdict] = []
        self.sends = 0
        self.delivered_attempts = 0
        self.hedge_at: float | None = None
        self.retry_at: float | None = None
        self.fault = ""
        self.is_given_up = False

    def is_pending(self) -> bool:
        """Returns whether a reply may still come."""
        return self.reply is None and not self.is_given_up


class Exchange:
    """A request under way.

    Attributes:
      request: What the caller sent.
      route: The route as of the start; later versions don't change it.
      version: Version of the route table.
      shards: One per service that the request goes to.
      min_shards: Fewest shards that make an answer.
      deadline_at: When nobody waits any longer.
      aim_at: When an answer must leave to arrive within the aim.
      late_cutoff_at: When an answer that missed the aim waits no longer for
        more.
      elapsed_before_s: Time that the caller had spent before the request came.
      hedge_times: When shards may have to be asked a second time.
      hedges: Second attempts at slow shards so far.
      retries: Attempts after failures so far.
      faults: Number of failed attempts by fault.
      carried: Shards of attempts that another host makes.
      merged: Greatest records that other hosts returned.
    """

    __slots__ = (
        "request",
        "route",
        "version",
        "shards",
        "min_shards",
        "included",
        "deadline_at",
        "aim_at",
        "late_cutoff_at",
        "elapsed_before_s",
        "hedge_times",
        "hedges",
        "retries",
        "faults",
        "carried",
        "merged",
        "is_done",
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
        self.included = 0
        self.deadline_at = deadline_at
        self.aim_at = aim_at
        self.late_cutoff_at = late_cutoff_at
        self.elapsed_before_s = elapsed_before_s
        self.hedge_times: set[float] = set()
        self.hedges = 0
        self.retries = 0
        self.faults: dict[str, int] = {}
        self.carried: dict[int, Shard] = {}
        self.merged: list[bytes] = []
        self.is_done = False

    def combine_verdicts(self) -> verdicts.Verdict:
        """Returns whether the request may have run, over all attempts."""
        seen = [v for shard in self.shards for v in shard.verdicts]
        if any(shard.attempts for shard in self.shards):
            seen.append(verdicts.Verdict.MAY_HAVE_RUN)
        return verdicts.combine_verdicts(seen)
