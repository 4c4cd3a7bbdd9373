"""Records of the routes and services that operators declare, and of targets."""

import collections.abc

from bramleyfork.core import records
from bramleyfork.listeners import limits as limits_module


class Service(records.Record):
    """A group of interchangeable targets.

    Attributes:
      name: Unique name.
      health_path: Path of the targets' health check.
      connection_limit: Maximum number of connections that one target accepts
        from all hosts.
      warmup_s: Seconds for which a target is cold after its start.
    """

    __slots__ = ("name", "health_path", "connection_limit", "warmup_s")

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        connection_limit: int,
        warmup_s: float,
    ):
        self.name = name
        self.health_path = health_path
        self.connection_limit = connection_limit
        self.warmup_s = warmup_s


class Share(records.Record):
    """A service and the fraction of a route's requests that go to it.

    Attributes:
      service: Name of the service.
      weight: Fraction of the requests that go to the service, relative to the
        sum of the route's weights.
    """

    __slots__ = ("service", "weight")

    def __init__(self, *, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route(records.Record):
    """Maps requests of one host name and path prefix to services.

    A route either divides its requests among services or, as a gather, sends
    each request to all of its shards and merges their replies.

    Attributes:
      name: Unique name.
      host: Host name of the requests, without port.
      prefix: Path prefix; begins and ends with a slash.
      idempotent: Whether a request may run more than once.
      timeout_s: Maximum time in seconds that a caller is kept waiting.
      aim_s: Latency target: seconds within which a request should be answered.
      priority: Priority of the requests; 0 is the most urgent.
      attempts: Maximum number of targets that one request may be sent to, per
        shard.
      shares: Services that requests are divided among; empty for a gather.
      shards: Services that each request of a gather is sent to; empty
        otherwise.
      record_limit: Maximum number of records that a gather returns, the
        greatest ones.
      least_share: Minimum fraction of the shards that an answer needs, 0 to 1.
      regions: Regions that may serve the route; empty for all.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "idempotent",
        "timeout_s",
        "aim_s",
        "priority",
        "attempts",
        "shares",
        "shards",
        "record_limit",
        "least_share",
        "regions",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        idempotent: bool,
        timeout_s: float,
        aim_s: float,
        priority: int,
        attempts: int,
        shares: tuple[Share, ...] = (),
        shards: tuple[str, ...] = (),
        record_limit: int = 0,
        least_share: float = 0.0,
        regions: frozenset[str] = frozenset(),
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.idempotent = idempotent
        self.timeout_s = timeout_s
        self.aim_s = aim_s
        self.priority = priority
        self.attempts = attempts
        self.shares = shares
        self.shards = shards
        self.record_limit = record_limit
        self.least_share = least_share
        self.regions = regions

    def list_services(self) -> tuple[str, ...]:
        """Returns the names of all services that the route uses."""
        return self.shards or tuple(share.service for share in self.shares)


class RouteTable(records.Record):
    """One accepted version of the routes and services.

    Attributes:
      version: Version that the operators assigned.
      revision: Revision of the feed at which it was written.
      routes: Routes by host name, longest prefix first.
      services: Services by name.
      limits: Limits on callers.
    """

    __slots__ = ("version", "revision", "routes", "services", "limits")

    def __init__(
        self,
        *,
        version: int,
        revision: int,
        routes: collections.abc.Mapping[str, tuple[Route, ...]],
        services: collections.abc.Mapping[str, Service],
        limits: limits_module.CallerLimits,
    ):
        self.version = version
        self.revision = revision
        self.routes = routes
        self.services = services
        self.limits = limits


class ListedTarget(records.Record):
    """A target as it is listed in the feed.

    Attributes:
      target: Id of the target.
      born_ms: Start of its process in milliseconds since 1970; 0 if unknown.
      service: Name of its service.
      address: IP address and port.
      data_centre: Name of its data centre.
      slots: Number of requests that it runs at the same time.
      is_draining: Whether it is about to leave.
      warm_at: Monotonic time from which it is warm.
    """

    __slots__ = (
        "target",
        "born_ms",
        "service",
        "address",
        "data_centre",
        "slots",
        "is_draining",
        "warm_at",
    )

    def __init__(
        self,
        *,
        target: str,
        born_ms: int,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        slots: int,
        is_draining: bool,
        warm_at: float,
    ):
        self.target = target
        self.born_ms = born_ms
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.is_draining = is_draining
        self.warm_at = warm_at
