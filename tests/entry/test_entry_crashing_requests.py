"""Requests that crash targets, on simulated fleets of entry hosts."""

import pytest

from tests.entry import creators
from tests.entry import fleets

CRASHING = "/find/crash"
ALLOWED_REPEATS = 3

ROUTES = {
    "single": creators.create_route(),
    "gather": creators.create_gather(4),
    "one attempt": creators.create_route(attempts=1),
    "not idempotent": creators.create_route(idempotent=False),
}


def play(fleet, seconds=40.0, *, interval_s=0.4, callers=1, disturb=None):
    """Lets callers repeat the crashing request beside other requests."""
    names = sorted(fleet.hosts)
    end = fleet.now + seconds
    number = 0
    while fleet.now < end:
        number += 1
        for _ in range(callers):
            fleet.send(fleet.random.choice(names), CRASHING)
        for _ in range(4):
            fleet.send(fleet.random.choice(names), f"/find/{number}")
            fleet.run(interval_s / 4)
        if disturb is not None:
            disturb(number)


def compute_served(fleet):
    statuses = [
        status
        for path, found in fleet.statuses.items()
        if path != CRASHING
        for status in found
    ]
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("hosts", [1, 2, 6])
def test_a_crashing_request_is_not_repeated(route, hosts):
    # Guards against a host that forgets a request when it has answered it.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=hosts)
    play(fleet)
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS
    assert compute_served(fleet) > 0.9


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("hosts", [1, 3])
def test_targets_that_start_again_at_once_are_protected_too(route, hosts):
    # Guards against ends that look like lost replies.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=hosts, is_up_at_once=True)
    play(fleet)
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS
    assert compute_served(fleet) > 0.9


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_miss_datagrams_keep_the_bound(route, seed):
    # Guards against hosts that are told once, by a datagram that is lost.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=6, seed=seed, loss=0.5)
    play(fleet)
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("seed", range(5))
def test_many_callers_at_once_keep_the_bound(route, seed):
    # Guards against hosts that each make a trial of their own.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=6, seed=seed, replicas=4)
    play(fleet, callers=6, interval_s=2.0)
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_restart_freeze_or_are_cut_off_keep_the_bound(route, seed):
    # Guards against a host that learns late, or forgets, what others know.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=6, seed=seed, replicas=4)

    def disturb(number):
        name = f"host-{fleet.random.randint(1, 6)}"
        host = fleet.hosts[name]
        if number % 5 == 0:
            fleet.restart_host(name)
        elif number % 5 == 2:
            host.is_frozen = True
        elif number % 5 == 3:
            fleet.cut.add(name)
        else:
            for each in fleet.hosts.values():
                if each.is_frozen or each.name in fleet.cut:
                    each.disturbed_at = fleet.now
                each.is_frozen = False
            fleet.cut.clear()

    play(fleet, disturb=disturb)
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("hosts", [1, 3])
def test_a_request_that_was_merely_in_flight_is_not_blamed(route, hosts):
    # Guards against a popular request that is refused by coincidence.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=hosts, replicas=3)
    names = sorted(fleet.hosts)
    for number in range(100):
        for name in names:
            fleet.send(name, "/find/popular")
        fleet.run(0.05)
        if number % 10 == 0:
            fleet.end_target(fleet.random.choice(sorted(fleet.targets)))
    fleet.run(0.5)
    statuses = fleet.statuses["/find/popular"]
    assert statuses.count(200) / len(statuses) > 0.9
    assert statuses[-len(names) :] == [200] * len(names)


@pytest.mark.parametrize("route", ["single", "gather"])
def test_requests_in_flight_when_most_targets_end_are_still_answered(route):
    # Guards against requests that are refused after a failure of many targets.
    fleet = fleets.Fleet(route=ROUTES[route], hosts=3, replicas=3)
    for number in range(9):
        fleet.send(f"host-{number % 3 + 1}", f"/find/{number}")
    fleet.run(0.01)
    for name in sorted(fleet.targets):
        if not name.endswith("c"):
            fleet.end_target(name)
    fleet.run(1.0)
    statuses = [s for found in fleet.statuses.values() for s in found]
    assert statuses == [200] * 9


@pytest.mark.parametrize("hosts", [1, 3])
def test_a_gather_is_answered_although_all_targets_of_a_shard_end(hosts):
    # Guards against a request that is held for a trial that can't be made.
    fleet = fleets.Fleet(route=ROUTES["gather"], hosts=hosts, replicas=2)
    for number in range(6):
        fleet.send(f"host-{number % hosts + 1}", f"/find/{number}")
    fleet.run(0.01)
    for name in ("s3a", "s3b", "s1a"):
        fleet.end_target(name)
    fleet.run(0.3)
    statuses = [s for found in fleet.statuses.values() for s in found]
    assert statuses == [200] * 6


def test_a_request_beside_a_crashing_one_is_not_blamed():
    # Guards against blame for all requests that were at the same targets.
    fleet = fleets.Fleet(route=ROUTES["single"], hosts=3, replicas=8)
    names = sorted(fleet.hosts)
    for _ in range(30):
        fleet.send(fleet.random.choice(names), CRASHING)
        for name in names:
            fleet.send(name, "/find/popular")
        fleet.run(0.2)
    statuses = fleet.statuses["/find/popular"]
    assert statuses[-30:] == [200] * 30
    assert fleet.count_late_arrivals() <= ALLOWED_REPEATS
