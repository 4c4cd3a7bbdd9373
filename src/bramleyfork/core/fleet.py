"""Records of what a host believes of the fleet and of itself."""

from bramleyfork.core import declarations
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts


class Member(records.Record):
    """What this host believes of a host's process.

    Attributes:
      host: Name of the host.
      incarnation: Larger for later processes and refutations.
      state: "alive", "suspect", "leaving" or "dead".
      changed_at: When the state changed here, monotonic seconds.
      load: Share of the host's capacity in use.
      leased: Whether it may start work on targets.
    """

    __slots__ = (
        "host",
        "incarnation",
        "state",
        "changed_at",
        "load",
        "leased",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        state: str,
        changed_at: float,
        load: float = 0.0,
        leased: bool = True,
    ):
        self.host = host
        self.incarnation = incarnation
        self.state = state
        self.changed_at = changed_at
        self.load = load
        self.leased = leased


class Lease(records.Record):
    """The right to start work on targets.

    Attributes:
      expires_at: Monotonic seconds; infinity when exempt.
      source: Peer or platform that renewed it last.
    """

    __slots__ = (
        "expires_at",
        "source",
    )

    def __init__(
        self,
        *,
        expires_at: float,
        source: str,
    ):
        self.expires_at = expires_at
        self.source = source


class ListedTarget(records.Record):
    """A target's row in the platform's list.

    Attributes:
      target: Name of the target.
      state: "live" or "leaving".
      holdings: What it served when listed.
    """

    __slots__ = (
        "target",
        "state",
        "holdings",
    )

    def __init__(
        self,
        *,
        target: str,
        state: str,
        holdings: tuple[requests.Holding, ...],
    ):
        self.target = target
        self.state = state
        self.holdings = holdings


class TargetStatus(records.Record):
    """What this host believes of a target.

    Attributes:
      target: Name of the target.
      state: "usable", "leaving" or "out".
      reason: Why it is in that state.
      epoch: Last known incarnation of its process.
      holdings: What it serves, as last heard.
      heard_at: When it was last heard of, monotonic seconds.
      load: Load it last reported.
    """

    __slots__ = (
        "target",
        "state",
        "reason",
        "epoch",
        "holdings",
        "heard_at",
        "load",
    )

    def __init__(
        self,
        *,
        target: str,
        state: str,
        reason: str,
        epoch: str | None,
        holdings: tuple[requests.Holding, ...],
        heard_at: float,
        load: float = 0.0,
    ):
        self.target = target
        self.state = state
        self.reason = reason
        self.epoch = epoch
        self.holdings = holdings
        self.heard_at = heard_at
        self.load = load


class QuarantineEntry(records.Record):
    """A fingerprint that must run alone or not at all.

    Attributes:
      fingerprint: What is asked.
      level: "suspect" or "refused".
      until: When the entry ends, monotonic seconds.
      targets: Targets that died with it in flight.
    """

    __slots__ = (
        "fingerprint",
        "level",
        "until",
        "targets",
    )

    def __init__(
        self,
        *,
        fingerprint: str,
        level: str,
        until: float,
        targets: tuple[str, ...],
    ):
        self.fingerprint = fingerprint
        self.level = level
        self.until = until
        self.targets = targets


class Lifecycle(records.Record):
    """Where the process stands.

    Attributes:
      phase: "starting", "serving", "leaving" or "stopped".
      since: Monotonic seconds.
      reason: Why it is in that phase.
    """

    __slots__ = (
        "phase",
        "since",
        "reason",
    )

    def __init__(
        self,
        *,
        phase: str,
        since: float,
        reason: str = "",
    ):
        self.phase = phase
        self.since = since
        self.reason = reason


class PlacementView(records.Record):
    """Hosts that callers may be sent to.

    Attributes:
      hosts: Usable hosts.
      loads: Load by host name.
      regions: Region by data centre name.
      lifetime_s: How long callers keep an answer, seconds.
    """

    __slots__ = (
        "hosts",
        "loads",
        "regions",
        "lifetime_s",
    )

    def __init__(
        self,
        *,
        hosts: tuple[declarations.Host, ...],
        loads: dict[str, float],
        regions: dict[str, str],
        lifetime_s: float,
    ):
        self.hosts = hosts
        self.loads = loads
        self.regions = regions
        self.lifetime_s = lifetime_s


class PeerLink(records.Record):
    """State of the stream to another host.

    Attributes:
      host: Name of the other host.
      connected: Whether a stream is up.
      since: Monotonic seconds.
    """

    __slots__ = (
        "host",
        "connected",
        "since",
    )

    def __init__(
        self,
        *,
        host: str,
        connected: bool,
        since: float,
    ):
        self.host = host
        self.connected = connected
        self.since = since


class ProcessSignal(records.Record):
    """A signal or order from the operating system.

    Attributes:
      kind: "terminate".
      at: Monotonic seconds.
    """

    __slots__ = (
        "kind",
        "at",
    )

    def __init__(
        self,
        *,
        kind: str,
        at: float,
    ):
        self.kind = kind
        self.at = at


class TargetObservation(records.Record):
    """What a target said of itself, passed on when it changed.

    Attributes:
      target: Name of the target.
      report: What it said.
      seen_at: Monotonic seconds.
    """

    __slots__ = (
        "target",
        "report",
        "seen_at",
    )

    def __init__(
        self,
        *,
        target: str,
        report: requests.TargetReport,
        seen_at: float,
    ):
        self.target = target
        self.report = report
        self.seen_at = seen_at


class TargetDeath(records.Record):
    """A target's connections broke with requests in flight.

    Attributes:
      target: Name of the target.
      fingerprints: Fingerprints in flight on it.
      alone: Whether a suspect ran there, which is sent only alone. A single
        fingerprint does not show that, as the connections of one crash are
        reported one after the other.
      died_at: Monotonic seconds.
    """

    __slots__ = (
        "target",
        "fingerprints",
        "alone",
        "died_at",
    )

    def __init__(
        self,
        *,
        target: str,
        fingerprints: tuple[str, ...],
        alone: bool,
        died_at: float,
    ):
        self.target = target
        self.fingerprints = fingerprints
        self.alone = alone
        self.died_at = died_at


class SuspectCleared(records.Record):
    """A suspect request completed while alone on a target.

    Attributes:
      fingerprint: What was asked.
      target: Target that ran it.
    """

    __slots__ = (
        "fingerprint",
        "target",
    )

    def __init__(
        self,
        *,
        fingerprint: str,
        target: str,
    ):
        self.fingerprint = fingerprint
        self.target = target


class TicketUse(records.Record):
    """A ticket that was presented to this process.

    Attributes:
      number: Number of the ticket.
      query_id: Query that used it.
      verdict: What became of it; None while it runs.
      expires_at: When the ticket ends, monotonic seconds.
    """

    __slots__ = (
        "number",
        "query_id",
        "verdict",
        "expires_at",
    )

    def __init__(
        self,
        *,
        number: int,
        query_id: str,
        verdict: verdicts.Verdict | None,
        expires_at: float,
    ):
        self.number = number
        self.query_id = query_id
        self.verdict = verdict
        self.expires_at = expires_at
