"""Generates deployments of a given number of hosts."""

from bench import fleet as fleet_module

TARGETS_PER_HOST = 10
DATA_CENTRES = ("north", "east", "south")
_REPLICAS = 2
_HOSTS_PER_NET = 200  # Hosts of a data centre; last number of the address.
_FIRST_PORT = 20000

_FLEET_HEAD = """\
[deployment]
name = "generated"
placement_lifetime_s = 2.0

[[data_centres]]
name = "north"
region = "one"

[[data_centres]]
name = "east"
region = "one"

[[data_centres]]
name = "south"
region = "two"
"""

_HOST = """
[[hosts]]
name = "{name}"
data_centre = "{data_centre}"
peer_address = "{ip}:7000"
caller_address = "{ip}:8080"
"""

_SERVICES = """\
[[services]]
name = "shard"
count = {count}
slots = 2
queue = 4
connections = 25
cold_in_flight = 2
cold_rate = 40.0
cold_period_s = 1.0
"""

_TARGETS = """\
[[targets]]
service = "shard-*"
replicas = {replicas}
data_centres = ["north", "east", "south"]
addresses = ["127.{net}.1.250", "127.{net}.2.250", "127.{net}.3.250"]
first_port = {first_port}
"""

_LOOKUPS = """\
# change {change}
[[lookups]]
name = "availability"
services = ["shard-*"]
"""

_SETTINGS = """\
deployment = "generated"
host = "{name}"
data_centre = "{data_centre}"
peer_address = "{ip}:7000"
caller_address = "{ip}:8080"
administration_address = "{ip}:8081"
platform_address = "127.{net}.0.1:9000"
seeds = [{seeds}]
"""


class GeneratedDeployment(fleet_module.Deployment):
    """Deployment of ``count`` hosts in three data centres, 10 targets per host.

    Args:
      count: Number of hosts, at most 600.
      net: Second number of all loopback addresses.
    """

    __slots__ = ()

    def __init__(self, *, count: int, net: int):
        self.net = net
        self.revision = 0
        places = [_place_host(number, net) for number in range(count)]
        # One seed per data centre, as in a usual deployment.
        seeds = ", ".join(f'"{ip}:7000"' for _, _, ip in places[:3])
        self.hosts = {
            name: _SETTINGS.format(
                name=name, data_centre=centre, ip=ip, net=net, seeds=seeds
            )
            for name, centre, ip in places
        }
        services = count * TARGETS_PER_HOST // _REPLICAS
        self.parts = {
            "fleet": _FLEET_HEAD
            + "".join(
                _HOST.format(name=name, data_centre=centre, ip=ip)
                for name, centre, ip in places
            ),
            "services": _SERVICES.format(count=services),
            "targets": _TARGETS.format(
                net=net, replicas=_REPLICAS, first_port=_FIRST_PORT
            ),
        }
        self.change()

    def change(self) -> None:
        """Changes a comment in the smallest part of the declaration."""
        self.parts["lookups"] = _LOOKUPS.format(change=self.revision + 1)


def _place_host(number: int, net: int) -> tuple[str, str, str]:
    """Returns name, data centre and IP address of a host.

    Raises:
      ValueError: The number is above the range of addresses.
    """
    centre_number, row = number % len(DATA_CENTRES), number // 3
    centre = DATA_CENTRES[centre_number]
    if row >= _HOSTS_PER_NET:
        raise ValueError(f"host number {number} is above the address range")
    ip = f"127.{net}.{centre_number + 1}.{row + 1}"
    return f"{centre}-{row + 1}", centre, ip
