"""Records of what operators declare."""

from bramleyfork.core import records


class DataCentre(records.Record):
    """A declared data centre.

    Attributes:
      name: Unique name.
      region: Region it is in.
      out: Whether operators have taken it out.
    """

    __slots__ = (
        "name",
        "region",
        "out",
    )

    def __init__(
        self,
        *,
        name: str,
        region: str,
        out: bool = False,
    ):
        self.name = name
        self.region = region
        self.out = out


class Host(records.Record):
    """A declared host.

    Attributes:
      name: Unique name.
      data_centre: Where it is.
      peer_address: address:port for streams from other hosts.
      caller_address: address:port for callers.
    """

    __slots__ = (
        "name",
        "data_centre",
        "peer_address",
        "caller_address",
    )

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        peer_address: str,
        caller_address: str,
    ):
        self.name = name
        self.data_centre = data_centre
        self.peer_address = peer_address
        self.caller_address = caller_address


class Service(records.Record):
    """A declared service and what each of its targets bears.

    Attributes:
      name: Unique name.
      slots: Requests a target runs at once.
      queue: Requests a target may hold waiting.
      connections: Connections a target accepts, over all hosts.
      cold_in_flight: Requests a cold target bears at once.
      cold_rate: Requests a second a cold target bears.
      cold_period_s: Length of a cold start, seconds.
    """

    __slots__ = (
        "name",
        "slots",
        "queue",
        "connections",
        "cold_in_flight",
        "cold_rate",
        "cold_period_s",
    )

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        queue: int,
        connections: int,
        cold_in_flight: int,
        cold_rate: float,
        cold_period_s: float,
    ):
        self.name = name
        self.slots = slots
        self.queue = queue
        self.connections = connections
        self.cold_in_flight = cold_in_flight
        self.cold_rate = cold_rate
        self.cold_period_s = cold_period_s


class Target(records.Record):
    """A declared target.

    Attributes:
      name: Unique name.
      service: Service it serves.
      data_centre: Where it is.
      address: address:port.
      out: Whether operators have taken it out.
    """

    __slots__ = (
        "name",
        "service",
        "data_centre",
        "address",
        "out",
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        data_centre: str,
        address: str,
        out: bool = False,
    ):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.out = out


class Lookup(records.Record):
    """A declared kind of query.

    Attributes:
      name: Unique name.
      services: Services it reaches.
      urgent: Whether it goes before ordinary lookups.
      idempotent: Whether running it twice is harmless.
      keyed: Whether it names one key instead of all.
    """

    __slots__ = (
        "name",
        "services",
        "urgent",
        "idempotent",
        "keyed",
    )

    def __init__(
        self,
        *,
        name: str,
        services: tuple[str, ...],
        urgent: bool,
        idempotent: bool,
        keyed: bool,
    ):
        self.name = name
        self.services = services
        self.urgent = urgent
        self.idempotent = idempotent
        self.keyed = keyed


class Declaration(records.Record):
    """A whole accepted configuration.

    Attributes:
      deployment: Name of the deployment.
      revision: Number given by the operators.
      digest: SHA-256 of the manifest, hexadecimal.
      placement_lifetime_s: How long callers keep an answer, seconds.
      longest_deadline_s: Longest deadline a caller may ask, seconds.
      strategy: "owner" for two-level fan-out or "direct".
      replica_policy: Registered replica policy.
      hedge_percentile: Latency percentile after which to hedge; 0 for
        never.
      hedge_budget: Hedges per sub-request, at most.
      retry_budget: Retries per sub-request, at most.
      data_centres: By name.
      hosts: By name.
      services: By name.
      targets: By name.
      lookups: By name.
    """

    __slots__ = (
        "deployment",
        "revision",
        "digest",
        "placement_lifetime_s",
        "longest_deadline_s",
        "strategy",
        "replica_policy",
        "hedge_percentile",
        "hedge_budget",
        "retry_budget",
        "data_centres",
        "hosts",
        "services",
        "targets",
        "lookups",
    )

    def __init__(
        self,
        *,
        deployment: str,
        revision: int,
        digest: str,
        placement_lifetime_s: float,
        longest_deadline_s: float,
        strategy: str,
        replica_policy: str,
        hedge_percentile: float,
        hedge_budget: float,
        retry_budget: float,
        data_centres: dict[str, DataCentre],
        hosts: dict[str, Host],
        services: dict[str, Service],
        targets: dict[str, Target],
        lookups: dict[str, Lookup],
    ):
        self.deployment = deployment
        self.revision = revision
        self.digest = digest
        self.placement_lifetime_s = placement_lifetime_s
        self.longest_deadline_s = longest_deadline_s
        self.strategy = strategy
        self.replica_policy = replica_policy
        self.hedge_percentile = hedge_percentile
        self.hedge_budget = hedge_budget
        self.retry_budget = retry_budget
        self.data_centres = data_centres
        self.hosts = hosts
        self.services = services
        self.targets = targets
        self.lookups = lookups


class ActiveDeclaration(records.Record):
    """The configuration in force and what led to it.

    Attributes:
      declaration: The configuration.
      bodies: Manifest and parts as read, by key.
      in_force_at: When it took effect, monotonic seconds.
      source: "platform" or the host it came from.
    """

    __slots__ = (
        "declaration",
        "bodies",
        "in_force_at",
        "source",
    )

    def __init__(
        self,
        *,
        declaration: Declaration,
        bodies: dict[str, bytes],
        in_force_at: float,
        source: str,
    ):
        self.declaration = declaration
        self.bodies = bodies
        self.in_force_at = in_force_at
        self.source = source


class RejectedConfiguration(records.Record):
    """A published configuration that was refused.

    Attributes:
      revision: Its revision, if readable.
      digest: SHA-256 of its manifest.
      reason: File, key, value and what is allowed.
      refused_at: Monotonic seconds.
    """

    __slots__ = (
        "revision",
        "digest",
        "reason",
        "refused_at",
    )

    def __init__(
        self,
        *,
        revision: int | None,
        digest: str,
        reason: str,
        refused_at: float,
    ):
        self.revision = revision
        self.digest = digest
        self.reason = reason
        self.refused_at = refused_at


class RevisionConflict(records.Record):
    """Two configurations were published at one revision.

    Attributes:
      revision: The revision.
      digests: SHA-256 of the manifests, sorted; the last one wins.
      noticed_at: Monotonic seconds.
    """

    __slots__ = (
        "revision",
        "digests",
        "noticed_at",
    )

    def __init__(
        self,
        *,
        revision: int,
        digests: tuple[str, ...],
        noticed_at: float,
    ):
        self.revision = revision
        self.digests = digests
        self.noticed_at = noticed_at


class PlatformManifest(records.Record):
    """The manifest that the platform served last.

    A watch that ends without a change (status 304) after this etag confirms
    that the platform still has this manifest.

    Attributes:
      revision: Its revision.
      digest: SHA-256 of the manifest.
      etag: The platform's version of the value.
      seen_at: When it was received, monotonic seconds.
    """

    __slots__ = (
        "revision",
        "digest",
        "etag",
        "seen_at",
    )

    def __init__(
        self,
        *,
        revision: int,
        digest: str,
        etag: str,
        seen_at: float,
    ):
        self.revision = revision
        self.digest = digest
        self.etag = etag
        self.seen_at = seen_at
