"""Records of the configuration that operators declare.

A declaration lists the data centres, hosts, services, targets and lookups of a
deployment and the limits that apply to them.
"""

from bramleyfork.core import records


class DataCentre(records.Record):
    """A declared data centre.

    Attributes:
      name: Unique name.
      region: Name of its region.
      out: Whether operators have taken it out of service.
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
      data_centre: Name of its data centre.
      peer_address: address:port on which it accepts streams of other hosts.
      caller_address: address:port on which it serves callers.
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
    """A declared service and the capacity of each of its targets.

    Attributes:
      name: Unique name.
      slots: Requests that a target runs concurrently.
      queue: Length limit of a target's request queue.
      connections: Connections that a target accepts, over all hosts.
      cold_in_flight: Concurrent requests that a cold target can handle.
      cold_rate: Requests per second that a cold target can handle.
      cold_period_s: Warm-up time after a target's start, seconds.
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
      service: Name of the service that it belongs to.
      data_centre: Name of its data centre.
      address: address:port on which it accepts requests.
      out: Whether operators have taken it out of service.
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
      services: Names of the services that it queries.
      urgent: Whether it is scheduled before ordinary lookups.
      idempotent: Whether running it more than once is harmless.
      keyed: Whether it reads a single key instead of the whole key space.
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
    """A complete, accepted configuration.

    Attributes:
      deployment: Name of the deployment.
      revision: Revision number assigned by the operators.
      digest: SHA-256 of the manifest, hexadecimal.
      placement_lifetime_s: Time for which callers may cache a placement,
        seconds.
      longest_deadline_s: Longest timeout that a caller may request, seconds.
      strategy: "owner" for two-level fan-out or "direct".
      replica_policy: Name of a registered replica policy.
      hedge_percentile: Latency percentile after which an attempt is hedged;
        0 disables hedging.
      hedge_budget: Largest ratio of hedges to sub-requests.
      retry_budget: Largest ratio of retries to sub-requests.
      data_centres: Data centres by name.
      hosts: Hosts by name.
      services: Services by name.
      targets: Targets by name.
      lookups: Lookups by name.
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
    """The configuration in force and its origin.

    Attributes:
      declaration: The configuration.
      bodies: Unparsed content of the manifest and its parts, by key.
      in_force_at: Monotonic time in seconds at which it took effect.
      source: "platform" or the name of the host that it was fetched from.
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
    """A published configuration that failed validation.

    Attributes:
      revision: Its revision; None if it can't be decoded.
      digest: SHA-256 of its manifest, hexadecimal.
      reason: File, key, invalid value and allowed values.
      refused_at: Monotonic time in seconds of the rejection.
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
    """Different configurations published under the same revision.

    Attributes:
      revision: The revision that they share.
      digests: SHA-256 of their manifests, sorted; the configuration with the
        last digest takes precedence.
      noticed_at: Monotonic time in seconds at which it was detected.
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
    """The manifest that the platform served most recently.

    A watch for changes since this ETag that ends with status 304 (not
    modified) confirms that the platform still serves this manifest.

    Attributes:
      revision: Its revision.
      digest: SHA-256 of the manifest, hexadecimal.
      etag: ETag of the manifest's value at the platform.
      seen_at: Monotonic time in seconds at which it was received.
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
