"""Load cases of bench.policies and the scaled deployments they run on.

A case is a function registered by a decorator that declares its load. The
function gets the fleet and returns the events of the measured phase.
"""

import collections.abc
import pathlib
import re

from absl import flags

from bench import demo
from bench import fleet as fleet_module
from bench import load
from bramleyfork.core import records
from bramleyfork.core import registries

# All times are multiplied by this factor, so that the CPU time of the daemons
# (2 to 4 ms per sub-request) stays small beside them. Slots and other counts
# stay as declared.
TIME_SCALE = flags.DEFINE_float(
    "time_scale", 4.0, "Factor of all times; more for a busy machine."
)
_SERVICE_MS = 10.0
_CONNECT_MS = 6.0
_DEADLINE_MS = 250.0
# One-way latency between data centres, from section 1.4 of design.md.
CENTRE_LATENCY_MS = {"torno-norte": 1.0, "waagner": 1.5}

# Services of the narrow lookups. A load of 150 % on all targets of a group
# needs more CPU time than one machine has.
NARROW_SERVICES = 3
URGENT = "narrow-urgent"
ORDINARY = "narrow-ordinary"

Events = list[load.Event]


class LoadReference(records.Record):
    """Figures of a deployment that the loads of cases are derived from.

    Attributes:
      wide: Name of the lookup with the most services.
      group: Name of the first service template; the narrow lookups use it.
      capacity: Queries per second that the slots of a service can serve.
    """

    __slots__ = ("wide", "group", "capacity")

    def __init__(self, *, wide: str, group: str, capacity: float):
        self.wide = wide
        self.group = group
        self.capacity = capacity


class Case(records.Record):
    """A load and the events during it.

    Attributes:
      name: Unique name.
      seconds: Length of the measured phase in seconds.
      warm_s: Length of the warm-up before it, seconds; not measured.
      wide: Rate of wide queries as a fraction of the capacity.
      urgent: Rate of urgent narrow queries as a fraction of the capacity.
      ordinary: Rate of ordinary narrow queries as a fraction of the capacity.
      prepare: Called with the fleet before the warm-up.
      plan: Returns the events of the measured phase.
    """

    __slots__ = (
        "name",
        "seconds",
        "warm_s",
        "wide",
        "urgent",
        "ordinary",
        "prepare",
        "plan",
    )

    def __init__(
        self,
        *,
        name: str,
        plan: collections.abc.Callable[[fleet_module.Fleet], Events],
        seconds: float = 5.0,
        warm_s: float = 2.0,
        wide: float = 0.0,
        urgent: float = 0.0,
        ordinary: float = 0.0,
        prepare: collections.abc.Callable[[fleet_module.Fleet], object]
        | None = None,
    ):
        self.name = name
        self.plan = plan
        self.seconds = seconds
        self.warm_s = warm_s
        self.wide = wide
        self.urgent = urgent
        self.ordinary = ordinary
        self.prepare = prepare

    def list_rates(self, load_reference: LoadReference) -> dict[str, float]:
        """Returns queries per second by lookup."""
        rates = {
            load_reference.wide: self.wide * load_reference.capacity,
            URGENT: self.urgent * load_reference.capacity,
            ORDINARY: self.ordinary * load_reference.capacity,
        }
        return {lookup: rate for lookup, rate in rates.items() if rate > 0}


CASES: registries.Registry[Case] = registries.Registry(kind="case")


def register(name: str, **fields: object):
    """Returns a decorator that registers a function as the plan of a case.

    Args:
      name: Name of the case.
      **fields: Further fields of the case.
    """

    def decorate(plan):
        CASES.register(name)(Case(name=name, plan=plan, **fields))
        return plan

    return decorate


def find_service_ms() -> float:
    """Returns the targets' service time in milliseconds."""
    return _SERVICE_MS * TIME_SCALE.value


def find_deadline_ms() -> int:
    """Returns the deadline of every query in milliseconds."""
    return int(_DEADLINE_MS * TIME_SCALE.value)


def build_deployment(
    name: str, net: int, part: float
) -> fleet_module.Deployment:
    """Returns an example deployment with fewer services and narrow lookups.

    Args:
      name: Folder under ``examples``.
      net: Second number of its loopback addresses.
      part: Fraction of the services of each template that is kept, above 0
        and at most 1.
    """
    deployment = fleet_module.Deployment(name=name, net=net)
    deployment.parts["services"] = re.sub(
        r"count = (\d+)",
        lambda found: f"count = {max(1, round(int(found[1]) * part))}",
        deployment.parts["services"],
    )
    group = _find_group(deployment)
    names = [f'"{group}-{n:02d}"' for n in range(1, NARROW_SERVICES + 1)]
    for lookup, urgent in ((URGENT, "true"), (ORDINARY, "false")):
        deployment.parts["lookups"] += (
            f'\n[[lookups]]\nname = "{lookup}"\n'
            f"services = [{', '.join(names)}]\nurgent = {urgent}\n"
        )
    return deployment


def build_fleet(
    deployment: fleet_module.Deployment,
    name: str,
    product: pathlib.Path | None = None,
) -> fleet_module.Fleet:
    """Returns a fleet with scaled times, not started.

    Args:
      deployment: Deployment to run.
      name: Folder of the example it was built from.
      product: Source folder of the daemon; None for this checkout.
    """
    return fleet_module.Fleet(
        deployment=deployment,
        python_path=str(product) if product else None,
        data_centre_latency_ms=CENTRE_LATENCY_MS[name] * TIME_SCALE.value,
        service_ms=find_service_ms(),
        connect_ms=_CONNECT_MS * TIME_SCALE.value,
        fall_over=True,
        record_stride=16384,
    )


def compute_load_reference(
    deployment: fleet_module.Deployment,
) -> LoadReference:
    """Returns the figures that the loads on a deployment are derived from."""
    declaration = deployment.read_declaration()
    wide = max(declaration.lookups.values(), key=lambda x: len(x.services))
    group = _find_group(deployment)
    service = declaration.services[f"{group}-01"]
    replicas = [
        t for t in declaration.targets.values() if t.service == service.name
    ]
    capacity = len(replicas) * service.slots * 1000.0 / find_service_ms()
    return LoadReference(wide=wide.name, group=group, capacity=capacity)


def _find_group(deployment: fleet_module.Deployment) -> str:
    return re.search(r'name = "([^"]+)"', deployment.parts["services"])[1]


def _find_fault_target(fleet: fleet_module.Fleet) -> str:
    """Returns the target of faults; wide and narrow lookups both use it."""
    return f"{_find_group(fleet.deployment)}-01-1"


def _delay(fleet: fleet_module.Fleet, delay_ms: float) -> None:
    target = _find_fault_target(fleet)
    stand_in = fleet.find_stand_in(target)
    stand_in.control("faults", target=target, delay_ms=delay_ms)


def _crash(fleet: fleet_module.Fleet, restart_after_s: float) -> None:
    target = _find_fault_target(fleet)
    stand_in = fleet.find_stand_in(target)
    stand_in.control("crash", target=target, restart_after_s=restart_after_s)


@register("calm", wide=0.2)
def plan_calm(fleet: fleet_module.Fleet) -> Events:
    """A low wide load without faults."""
    del fleet
    return []


@register("calm narrow", urgent=0.2, ordinary=0.2)
def plan_calm_narrow(fleet: fleet_module.Fleet) -> Events:
    """A low narrow load without faults; baseline of the overload case."""
    del fleet
    return []


@register(
    "straggler",
    wide=0.2,
    prepare=lambda fleet: _delay(fleet, 9 * find_service_ms()),
)
def plan_straggler(fleet: fleet_module.Fleet) -> Events:
    """One target is ten times slower, from the warm-up on.

    The time until routers detect it is thus not measured. Routers keep its
    latency for up to 30 s, so later pairs start with it.
    """
    return [(5.0, lambda: _delay(fleet, 0.0))]


@register("replica lost", wide=0.2, seconds=4.0, warm_s=5.0)
def plan_loss(fleet: fleet_module.Fleet) -> Events:
    """One replica crashes and does not return in the measured phase.

    No control call restarts a stand-in, so the crash has a restart time after
    the measured phase, for the next pair.
    """
    return [(0.5, lambda: _crash(fleet, 4.5))]


# One replica alone has half of the capacity, so this load is 90 % of it.
@register("cold restart", urgent=0.2, ordinary=0.25, warm_s=4.0)
def plan_cold_restart(fleet: fleet_module.Fleet) -> Events:
    """One replica restarts cold at a load of 90 % of the other's capacity."""
    return [(0.5, lambda: _crash(fleet, 0.5))]


@register("overload", urgent=0.5, ordinary=1.0, warm_s=4.0)
def plan_overload(fleet: fleet_module.Fleet) -> Events:
    """The load is 150 % of the capacity of the target slots."""
    del fleet
    return []


@register("data centre out", wide=0.2, seconds=8.0, warm_s=3.0)
def plan_centre_out(fleet: fleet_module.Fleet) -> Events:
    """Operators take one data centre out and bring it back."""
    centre = next(iter(fleet.declaration.data_centres))
    return [
        (1.0, lambda: demo.set_data_centre_out(fleet, centre, out=True)),
        (4.5, lambda: demo.set_data_centre_out(fleet, centre, out=False)),
    ]
