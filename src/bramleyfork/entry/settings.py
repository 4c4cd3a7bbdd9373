"""Settings of an entry host's process."""

import collections.abc

from bramleyfork.core import records

# Callers ask again this often; some keep an answer for three times as long,
# which a leaving host waits for.
DIRECTORY_LIFETIME_S = 1.4


class RetryBudgetLimits(records.Record):
    """How many attempts beyond the first all hosts may make at a service.

    Attributes:
      ratio: Extra attempts per request, 0 to 1.
      slack: Extra attempts allowed besides in each window.
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
    """What a process is told at its start.

    Attributes:
      host: Name of this host.
      data_centre: Where it is.
      regions: Region by data centre.
      caller_address: Where it listens for callers.
      peer_address: Where it listens for other hosts.
      carrier_address: Where it listens for attempts of other hosts.
      metrics_address: Where it serves metrics; None for nowhere.
      cores: Its processor, in cores.
      link_mbps: Its link, in megabits a second.
      seeds: Peer addresses of hosts that may be up.
      retry_limits: Bounds on extra attempts.
      directory_lifetime_s: How long callers may keep a directory answer.
      grace_s: From the request to end until the process is killed.
      log_level: Lowest level of lines that are written.
      adapters: Registered names of the parts that join the host to the place
        where it runs.
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
        "seeds",
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
        seeds: tuple[tuple[str, int], ...] = (),
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
        self.seeds = seeds
        self.retry_limits = retry_limits
        self.directory_lifetime_s = directory_lifetime_s
        self.grace_s = grace_s
        self.log_level = log_level
        self.adapters = adapters

    @property
    def region(self) -> str:
        """Region of this host."""
        return self.regions.get(self.data_centre, "")
