"""Option schemas for the tables of a declaration."""

from bramleyfork.configuration import option_schemas

STRATEGIES = ("owner", "direct")
REPLICA_POLICIES = ("least_latency", "power_of_two", "random")

_NAME = option_schemas.Option(key="name", type="name", purpose="Unique name.")
_OUT = option_schemas.Option(
    key="out",
    type="flag",
    default=False,
    purpose="Whether it is out of service and gets no new requests.",
)

DEPLOYMENT = (
    option_schemas.Option(
        key="name",
        type="name",
        purpose="Name of the deployment; must equal the one in the settings.",
    ),
    option_schemas.Option(
        key="placement_lifetime_s",
        type="number",
        default=5.0,
        unit="seconds",
        low=0.5,
        high=300,
        purpose="How long callers may cache a placement.",
    ),
    option_schemas.Option(
        key="longest_deadline_s",
        type="number",
        default=2.0,
        unit="seconds",
        low=0.05,
        high=60,
        purpose="Longest deadline a caller may ask for.",
    ),
    option_schemas.Option(
        key="strategy",
        type="choice",
        default="owner",
        choices=STRATEGIES,
        purpose="Fan out through the targets' owner hosts, or directly.",
    ),
    option_schemas.Option(
        key="replica_policy",
        type="choice",
        default="power_of_two",
        choices=REPLICA_POLICIES,
        purpose="How a replica is chosen.",
    ),
    option_schemas.Option(
        key="hedge_percentile",
        type="number",
        default=95.0,
        unit="percent",
        low=0,
        high=99.9,
        purpose="Latency percentile after which a hedge is sent; 0 for never.",
    ),
    option_schemas.Option(
        key="hedge_budget",
        type="number",
        default=0.05,
        low=0,
        high=1,
        purpose="Maximum hedges per sub-request, on average.",
    ),
    option_schemas.Option(
        key="retry_budget",
        type="number",
        default=0.10,
        low=0,
        high=1,
        purpose="Maximum retries per sub-request, on average.",
    ),
)
DATA_CENTRES = (
    _NAME,
    option_schemas.Option(
        key="region", type="name", purpose="Region it is in."
    ),
    _OUT,
)
HOSTS = (
    _NAME,
    option_schemas.Option(
        key="data_centre", type="name", purpose="Data centre it is in."
    ),
    option_schemas.Option(
        key="peer_address",
        type="address",
        purpose="Address for streams from other hosts.",
    ),
    option_schemas.Option(
        key="caller_address", type="address", purpose="Address for callers."
    ),
)
SERVICES = (
    option_schemas.Option(
        key="name",
        type="name",
        purpose="Unique name; with count, the prefix of the numbered names.",
    ),
    option_schemas.Option(
        key="count",
        type="integer",
        default=None,
        low=1,
        high=9999,
        purpose="Makes this a template that declares this many services.",
    ),
    option_schemas.Option(
        key="slots",
        type="integer",
        unit="requests",
        low=1,
        high=10_000,
        purpose="Requests a target runs at once.",
    ),
    option_schemas.Option(
        key="queue",
        type="integer",
        default=None,
        unit="requests",
        low=0,
        high=100_000,
        purpose="Limit of a target's request queue; 2 x slots if absent.",
    ),
    option_schemas.Option(
        key="connections",
        type="integer",
        unit="connections",
        low=1,
        high=100_000,
        purpose="Connections a target accepts, over all hosts.",
    ),
    option_schemas.Option(
        key="cold_in_flight",
        type="integer",
        default=2,
        unit="requests",
        low=1,
        high=10_000,
        purpose="Maximum concurrent requests to a cold target, over all hosts.",
    ),
    option_schemas.Option(
        key="cold_rate",
        type="number",
        default=20.0,
        unit="requests per second",
        low=0.1,
        high=100_000,
        purpose="Maximum request rate to a cold target, over all hosts.",
    ),
    option_schemas.Option(
        key="cold_period_s",
        type="number",
        default=2.0,
        unit="seconds",
        low=0,
        high=3600,
        purpose="Failure-free time after which a cold target counts as warm.",
    ),
)
TARGETS = (
    _NAME,
    option_schemas.Option(
        key="service",
        type="name",
        purpose="Name of the service that it belongs to.",
    ),
    option_schemas.Option(
        key="data_centre", type="name", purpose="Data centre it is in."
    ),
    option_schemas.Option(
        key="address", type="address", purpose="Address of its HTTP port."
    ),
    _OUT,
)
# A [[targets]] table with the key "replicas" declares several targets.
TARGET_TEMPLATES = (
    option_schemas.Option(
        key="service",
        type="pattern",
        purpose="Services that get these targets, in the order declared.",
    ),
    option_schemas.Option(
        key="replicas",
        type="integer",
        unit="targets",
        low=1,
        high=100,
        purpose="Targets of each service, named <service>-1 and so on.",
    ),
    option_schemas.Option(
        key="data_centres",
        type="names",
        low=1,
        purpose="Data centres that the targets are assigned to in rotation.",
    ),
    option_schemas.Option(
        key="addresses",
        type="ips",
        low=1,
        purpose="IP address of the targets in each data centre, in that order.",
    ),
    option_schemas.Option(
        key="first_port",
        type="integer",
        low=1,
        high=65535,
        purpose="Port of the first target; each next one has the next port.",
    ),
    option_schemas.Option(
        key="out",
        type="names",
        default=(),
        purpose="Names of its targets that are out of service.",
    ),
)
LOOKUPS = (
    _NAME,
    option_schemas.Option(
        key="services",
        type="patterns",
        low=1,
        purpose="Services that it queries, by name or pattern.",
    ),
    option_schemas.Option(
        key="urgent",
        type="flag",
        default=False,
        purpose="Whether it is scheduled before ordinary lookups.",
    ),
    option_schemas.Option(
        key="idempotent",
        type="flag",
        default=True,
        purpose="Whether running it twice is harmless.",
    ),
    option_schemas.Option(
        key="keyed",
        type="flag",
        default=False,
        purpose="Whether it reads a single key instead of all keys.",
    ),
)

# Options of the tables that a declaration may repeat, by name of the table.
REPEATED = {
    "data_centres": DATA_CENTRES,
    "hosts": HOSTS,
    "services": SERVICES,
    "targets": TARGETS,
    "lookups": LOOKUPS,
}
