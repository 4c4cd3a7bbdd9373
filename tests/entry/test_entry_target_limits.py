"""Targets that name a limit, on simulated fleets of entry hosts."""

import pytest

from tests.entry import creators
from tests.entry import fleets

# A limit is kept from this time on after a target first names it.
CONTACT_S = fleets.CONTACT_S

ROUTES = {
    "single": creators.create_route(),
    "gather": creators.create_gather(4),
    "not idempotent": creators.create_route(idempotent=False),
}


def start(route="single", *, limit_per_s=5.0, limited=("s1a",), **changes):
    """Returns a fleet of which some targets begin to name a limit."""
    fleet = fleets.Fleet(route=ROUTES[route], **changes)
    for name in limited:
        fleet.targets[name].limit_per_s = limit_per_s
    return fleet


def play(fleet, seconds=16.0, *, per_s=40.0, disturb=None):
    """Sends requests at random moments to random hosts."""
    names = sorted(fleet.hosts)
    end = fleet.now + seconds
    number = 0
    while fleet.now < end:
        number += 1
        fleet.send(fleet.random.choice(names), f"/find/{number}")
        fleet.run(fleet.random.expovariate(per_s))
        if disturb is not None:
            disturb(number)


def find_excess(fleet, start_at):
    return max(
        fleet.find_limit_excess(name, start_at + CONTACT_S)
        for name, target in fleet.targets.items()
        if target.limit_per_s is not None
    )


def compute_served(fleet):
    statuses = [s for found in fleet.statuses.values() for s in found]
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("hosts", [1, 2, 6, 30])
@pytest.mark.parametrize("limit_per_s", [0.5, 5.0, 14.0])
def test_all_hosts_together_keep_to_the_limit_of_a_target(
    route, hosts, limit_per_s
):
    # Guards against hosts that don't know a limit or each use all of it.
    fleet = start(route, hosts=hosts, limit_per_s=limit_per_s)
    start_at = fleet.now
    play(fleet)
    assert find_excess(fleet, start_at) <= 0
    # The other target of the service has room for all requests.
    assert compute_served(fleet) > 0.97


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("seed", range(3))
def test_a_limit_holds_if_all_targets_name_one(route, seed):
    # Guards against requests that are sent for lack of another target.
    limited = ("s1a", "s1b", "s2a", "s2b", "s3a", "s3b", "s4a", "s4b")
    names = limited if route == "gather" else limited[:2]
    fleet = start(route, hosts=6, limited=names, seed=seed)
    start_at = fleet.now
    play(fleet)
    assert find_excess(fleet, start_at) <= 0
    # 10 of 40 requests a second have room.
    assert compute_served(fleet) > 0.15


def test_requests_beyond_a_limit_are_refused_at_once():
    # Guards against callers that wait until their deadline for nothing.
    fleet = start(limited=("s1a", "s1b"), limit_per_s=0.5)
    play(fleet, 2.0)
    fleet.run(2.0)
    before = len([s for found in fleet.statuses.values() for s in found])
    for number in range(20):
        fleet.send("host-1", f"/find/late-{number}")
    fleet.run(0.03)
    after = [s for found in fleet.statuses.values() for s in found]
    assert len(after) - before >= 19
    assert set(after) <= {200, 503}


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("seed", range(4))
def test_hosts_that_restart_or_learn_late_keep_the_limit(route, seed):
    # Guards against a host that forgets the limit or hears of it late.
    fleet = start(route, hosts=6, seed=seed, loss=0.5)
    start_at = fleet.now

    def disturb(number):
        if number % 150 == 0:
            fleet.restart_host(f"host-{fleet.random.randint(1, 6)}")

    play(fleet, disturb=disturb)
    assert find_excess(fleet, start_at) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_hosts_with_other_views_of_the_fleet_keep_the_limit(seed):
    # Guards against shares that add up to more where hosts know few others.
    fleet = start(hosts=6, seed=seed)
    for number, host in enumerate(fleet.hosts.values()):
        for other in list(fleet.hosts)[number % 3 :: 3]:
            if other != host.name:
                host.remove("members", other)
    start_at = fleet.now
    play(fleet)
    assert find_excess(fleet, start_at) <= 0


def test_a_limit_ends_when_the_target_names_none():
    # Guards against targets that stay limited after they are well again.
    fleet = start(hosts=3)
    play(fleet, 8.0)
    fleet.targets["s1a"].limit_per_s = None
    play(fleet, 3.0)
    before = len(fleet.arrivals_by_target["s1a"])
    play(fleet, 4.0)
    assert len(fleet.arrivals_by_target["s1a"]) - before > 4.0 * 10


def test_the_room_of_a_limit_is_used():
    # Guards against hosts that stop sending to a target with a limit.
    fleet = start(hosts=3, limited=("s1a", "s1b"))
    play(fleet)
    for name in ("s1a", "s1b"):
        assert len(fleet.arrivals_by_target[name]) > 16.0 * 5.0 * 0.7
