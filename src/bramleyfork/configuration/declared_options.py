"""The options of each table of a declaration."""

from bramleyfork.configuration import tables

STRATEGIES = ("owner", "direct")
REPLICA_POLICIES = ("least_latency", "power_of_two", "random")

_NAME = tables.Option(key="name", type="name", purpose="Unique name.")
_OUT = tables.Option(
    key="out",
    type="flag",
    default=False,
    purpose="Whether operators have taken it out; it gets no new work.",
)

DEPLOYMENT = (
    tables.Option(
        key="name",
        type="name",
        purpose="Name of the deployment; equals that in the settings.",
    ),
    tables.Option(
        key="placement_lifetime_s",
        type="number",
        default=5.0,
        unit="seconds",
        low=0.5,
        high=300,
        purpose="How long callers keep a placement answer.",
    ),
    tables.Option(
        key="longest_deadline_s",
        type="number",
        default=2.0,
        unit="seconds",
        low=0.05,
        high=60,
        purpose="Longest deadline a caller may ask for.",
    ),
    tables.Option(
        key="strategy",
        type="choice",
        default="owner",
        choices=STRATEGIES,
        purpose="Two-level fan-out through owners, or direct sends.",
    ),
    tables.Option(
        key="replica_policy",
        type="choice",
        default="power_of_two",
        choices=REPLICA_POLICIES,
        purpose="How a replica is chosen.",
    ),
    tables.Option(
        key="hedge_percentile",
        type="number",
        default=95.0,
        unit="percent",
        low=0,
        high=99.9,
        purpose="Latency percentile after which a hedge is sent; 0 for never.",
    ),
    tables.Option(
        key="hedge_budget",
        type="number",
        default=0.05,
        low=0,
        high=1,
        purpose="Hedges per sub-request, at most.",
    ),
    tables.Option(
        key="retry_budget",
        type="number",
        default=0.10,
        low=0,
        high=1,
        purpose="Retries per sub-request, at most.",
    ),
)
DATA_CENTRES = (
    _NAME,
    tables.Option(key="region", type="name", purpose="Region it is in."),
    _OUT,
)
HOSTS = (
    _NAME,
    tables.Option(
        key="data_centre", type="name", purpose="Data centre it is in."
    ),
    tables.Option(
        key="peer_address",
        type="address",
        purpose="Address for streams from other hosts.",
    ),
    tables.Option(
        key="caller_address", type="address", purpose="Address for callers."
    ),
)
SERVICES = (
    tables.Option(
        key="name",
        type="name",
        purpose="Unique name; with count, the part before the number.",
    ),
    tables.Option(
        key="count",
        type="integer",
        default=None,
        low=1,
        high=9999,
        purpose="Makes this a template for that many services.",
    ),
    tables.Option(
        key="slots",
        type="integer",
        unit="requests",
        low=1,
        high=10_000,
        purpose="Requests a target runs at once.",
    ),
    tables.Option(
        key="queue",
        type="integer",
        default=None,
        unit="requests",
        low=0,
        high=100_000,
        purpose="Requests a target may hold waiting; 2 x slots if absent.",
    ),
    tables.Option(
        key="connections",
        type="integer",
        unit="connections",
        low=1,
        high=100_000,
        purpose="Connections a target accepts, over all hosts.",
    ),
    tables.Option(
        key="cold_in_flight",
        type="integer",
        default=2,
        unit="requests",
        low=1,
        high=10_000,
        purpose="Requests a cold target bears at once.",
    ),
    tables.Option(
        key="cold_rate",
        type="number",
        default=20.0,
        unit="requests per second",
        low=0.1,
        high=100_000,
        purpose="Rate that a cold target bears.",
    ),
    tables.Option(
        key="cold_period_s",
        type="number",
        default=2.0,
        unit="seconds",
        low=0,
        high=3600,
        purpose="Length of a cold start.",
    ),
)
TARGETS = (
    _NAME,
    tables.Option(key="service", type="name", purpose="Service it serves."),
    tables.Option(
        key="data_centre", type="name", purpose="Data centre it is in."
    ),
    tables.Option(
        key="address", type="address", purpose="Address of its HTTP port."
    ),
    _OUT,
)
# A [[targets]] table with the key "replicas" is a template.
TARGET_TEMPLATES = (
    tables.Option(
        key="service",
        type="pattern",
        purpose="Services that get these targets, in the order declared.",
    ),
    tables.Option(
        key="replicas",
        type="integer",
        unit="targets",
        low=1,
        high=100,
        purpose="Targets of each service, named <service>-1 and so on.",
    ),
    tables.Option(
        key="data_centres",
        type="names",
        low=1,
        purpose="Data centres that the targets are given to in turn.",
    ),
    tables.Option(
        key="addresses",
        type="ips",
        low=1,
        purpose="IP address in each of these data centres, in that order.",
    ),
    tables.Option(
        key="first_port",
        type="integer",
        low=1,
        high=65535,
        purpose="Port of the first target; each next one has the next port.",
    ),
    tables.Option(
        key="out",
        type="names",
        default=(),
        purpose="Names of its targets that operators have taken out.",
    ),
)
LOOKUPS = (
    _NAME,
    tables.Option(
        key="services",
        type="patterns",
        low=1,
        purpose="Services it reaches, by name or pattern.",
    ),
    tables.Option(
        key="urgent",
        type="flag",
        default=False,
        purpose="Whether it goes before ordinary lookups.",
    ),
    tables.Option(
        key="idempotent",
        type="flag",
        default=True,
        purpose="Whether running it twice is harmless.",
    ),
    tables.Option(
        key="keyed",
        type="flag",
        default=False,
        purpose="Whether it names one key instead of all.",
    ),
)

# Tables of a declaration that may be repeated, with their options.
REPEATED = {
    "data_centres": DATA_CENTRES,
    "hosts": HOSTS,
    "services": SERVICES,
    "targets": TARGETS,
    "lookups": LOOKUPS,
}
