"""Records of a host's view of the fleet and of its own state.

The view covers hosts, targets, quarantined fingerprints and tickets; other
hosts may hold a different view at the same time.
"""

from bramleyfork.core import declarations
from bramleyfork.core import records
from bramleyfork.core import requests
from bramleyfork.core import verdicts


class Member(records.Record):
    """Membership state of a host as this host knows it.

    Attributes:
      host: Name of the host.
      incarnation: Incarnation number of its process; it grows with each
        restart and each refutation of a suspicion.
      state: "alive", "suspect", "leaving" or "dead".
      changed_at: Monotonic time in seconds at which this host recorded the
        state.
      load: Load of the host, 0 to 1.
      leased: Whether it holds a control lease and may start work on targets.
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
    """The control lease of this host; without it no work starts on targets.

    Attributes:
      expires_at: Monotonic time in seconds at which it expires; infinity for
        a host that is exempt from the lease.
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
    """A target's row in the platform's list of targets.

    Attributes:
      target: Name of the target.
      state: "live" or "leaving".
      holdings: Snapshots and key ranges it served when it was listed.
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
    """State of a target as this host knows it.

    Attributes:
      target: Name of the target.
      state: "usable", "leaving" or "out".
      reason: Why it is in that state.
      epoch: Last known incarnation of its process.
      holdings: Snapshots and key ranges it serves, by the latest report.
      heard_at: Monotonic time in seconds of the latest report.
      load: Load by the latest report.
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
    """Quarantine entry of a fingerprint whose requests may crash targets.

    Attributes:
      fingerprint: Hash of the request's content.
      level: "suspect" (sent only alone on its target) or "refused".
      until: Monotonic time in seconds at which the entry expires.
      targets: Targets that died while it was in flight on them.
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
    """Lifecycle phase of this process.

    Attributes:
      phase: "starting", "serving", "leaving" or "stopped".
      since: Monotonic time in seconds at which the phase began.
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
    """Hosts that may be returned to callers, and what ranks them.

    Attributes:
      hosts: Usable hosts.
      loads: Load by host name, 0 to 1.
      regions: Region by data centre name.
      lifetime_s: Time for which callers may cache a placement, seconds.
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
      connected: Whether a stream is established.
      since: Monotonic time in seconds at which this state was recorded.
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
    """A signal that the operating system delivered to this process.

    Attributes:
      kind: "terminate".
      at: Monotonic time in seconds at which it arrived.
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
    """A changed report of a target, as observed in a reply.

    Attributes:
      target: Name of the target.
      report: State that the target reported.
      seen_at: Monotonic time in seconds at which the reply arrived.
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
    """Connections of a target broke while requests were in flight.

    Attributes:
      target: Name of the target.
      fingerprints: Fingerprints of the requests in flight.
      alone: Whether the request was a suspect one, which is sent only alone
        on its target. A single entry in ``fingerprints`` does not imply that,
        because the broken connections of one crash are reported one by one.
      died_at: Monotonic time in seconds.
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
    """A suspect request completed while it ran alone on a target.

    Attributes:
      fingerprint: Fingerprint of the request.
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
    """Use of a ticket that a caller presented to this process.

    Attributes:
      number: Number of the ticket.
      query_id: Query that used it.
      verdict: Verdict on that query; None while it runs.
      expires_at: Monotonic time in seconds at which the ticket expires.
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
