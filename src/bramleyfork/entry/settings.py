"""Settings of an entry host's process, which are read once at its start."""

import collections.abc

from bramleyfork.core import records
from bramleyfork.listeners import budgets

# Time for which callers keep a directory answer before they ask again. Some
# keep it for three times as long, and a leaving host waits for these.
DIRECTORY_LIFETIME_S = 1.4


class RetryBudgetLimits(records.Record):
    """Retry budget of each service, for all hosts together.

    It limits extra attempts, those beyond the first one.

    Attributes:
      ratio: Extra attempts per request, 0 to 1.
      slack: Extra attempts per window that are allowed on top of the ratio.
      window_s: Length of the sliding window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(
        self,
        *,
        ratio: float = 0.1,
        slack: float = 10.0,
        window_s: float = 10.0,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class Settings(records.Record):
    """Settings of an entry host's process.

    Attributes:
      host: Name of this host.
      data_centre: Its data centre.
      regions: Region by data centre.
      caller_address: Address at which it listens for callers.
      peer_address: Address at which it listens for gossip and for feed reads of
        other hosts.
      carrier_address: Address at which it listens for attempts that other
        hosts delegate to it.
      metrics_address: Address at which it serves metrics; None to serve none.
      cores: Number of its CPU cores; may be a fraction.
      link_mbps: Bandwidth of its network link in Mbit/s.
      memory_bytes: Memory that the process may use, in bytes.
      descriptors: Number of descriptors that it may open; None for the limit of
        the operating system.
      seeds: Peer addresses of hosts that may be running.
      is_first_start: Whether the whole fleet starts for the first time, so that
        there is time until callers come.
      retry_limits: Retry budget of each service.
      directory_lifetime_s: Seconds for which callers may keep a directory
        answer.
      grace_s: Seconds from the request to stop until the process is killed.
      log_level: Lowest level of log lines that are written.
      adapters: Registered names of the components that connect the host to its
        platform.
    """

    __slots__ = (
        "host",
        "data_centre",
        "regions",
        "caller_address",
        "peer_address",
        "carrier_address",
        "metrics_address",
        "cores",
        "link_mbps",
        "memory_bytes",
        "descriptors",
        "seeds",
        "is_first_start",
        "retry_limits",
        "directory_lifetime_s",
        "grace_s",
        "log_level",
        "adapters",
    )

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        regions: collections.abc.Mapping[str, str],
        caller_address: tuple[str, int],
        peer_address: tuple[str, int],
        carrier_address: tuple[str, int],
        metrics_address: tuple[str, int] | None = None,
        cores: float = 1.0,
        link_mbps: float = 1000.0,
        memory_bytes: int = budgets.DEFAULT_MEMORY_BYTES,
        descriptors: int | None = None,
        seeds: tuple[tuple[str, int], ...] = (),
        is_first_start: bool = False,
        retry_limits: RetryBudgetLimits,
        directory_lifetime_s: float = DIRECTORY_LIFETIME_S,
        grace_s: float = 6.0,
        log_level: str = "INFO",
        adapters: tuple[str, ...] = (),
    ):
        self.host = host
        self.data_centre = data_centre
        self.regions = regions
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.carrier_address = carrier_address
        self.metrics_address = metrics_address
        self.cores = cores
        self.link_mbps = link_mbps
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.retry_limits = retry_limits
        self.directory_lifetime_s = directory_lifetime_s
        self.grace_s = grace_s
        self.log_level = log_level
        self.adapters = adapters

    @property
    def region(self) -> str:
        """Region of this host; empty if its data centre has none."""
        return self.regions.get(self.data_centre, "")
