import pytest

from bramleyfork.entry import declarations
from bramleyfork.entry.decisions import placement
from tests.entry import creators


def create_host(address, region, capacity=1.0):
    return placement.Host(address=address, region=region, capacity=capacity)


HOSTS = (
    create_host("1", "left"),
    create_host("2", "left"),
    create_host("3", "right"),
    create_host("4", "far"),
)


@pytest.mark.parametrize(
    ("region", "services_by_region", "expected"),
    [
        ("left", {"left": {"a", "b"}, "right": set()}, ["left"]),
        (
            "far",
            {"left": {"a", "b"}, "right": {"a"}, "far": set()},
            ["left", "right"],
        ),
        ("far", {"left": set(), "far": set()}, []),
    ],
)
def test_callers_are_sent_to_regions_with_targets(
    region, services_by_region, expected
):
    found = placement.choose_regions(
        caller_region=region,
        services={"a", "b"},
        services_by_region=services_by_region,
    )
    assert found == expected


@pytest.mark.parametrize(
    ("allowed_regions", "expected"),
    [({"left"}, ["left"]), ({"far"}, ["far"]), (set(), ["far"])],
)
def test_callers_of_restricted_routes_stay_in_allowed_regions(
    allowed_regions, expected
):
    # Guards against request bodies that leave the regions to which their route
    # is restricted.
    found = placement.choose_regions(
        caller_region="far",
        services={"a"},
        services_by_region={"left": {"a"}, "right": {"a"}, "far": set()},
        allowed_regions=frozenset(allowed_regions),
    )
    assert found == expected


def choose(**changes):
    fields = {
        "hosts": HOSTS,
        "caller_region": "left",
        "regions": None,
        "per_region": 4,
    }
    return sorted(placement.choose_hosts(**(fields | changes)))


def test_hosts_of_the_callers_region_are_listed():
    assert choose() == ["1", "2"]


def test_hosts_of_suitable_regions_are_listed():
    assert choose(caller_region="far", regions=["right"]) == ["3"]


def test_all_hosts_are_listed_if_no_region_suits():
    assert choose(regions=["nowhere"]) == ["1", "2", "3", "4"]


def create_region(count, capacity=1.0):
    return [create_host(f"h{n}", "left", capacity) for n in range(count)]


def test_every_host_lists_the_same_hosts_of_a_region():
    hosts = create_region(30)
    chosen = choose(hosts=hosts, per_region=3)
    assert len(chosen) == 3
    assert choose(hosts=hosts[::-1], per_region=3) == chosen


def test_a_host_that_leaves_is_replaced_and_the_others_stay():
    hosts = create_region(30)
    chosen = choose(hosts=hosts, per_region=3)
    left = [host for host in hosts if host.address != chosen[0]]
    assert set(chosen[1:]) < set(choose(hosts=left, per_region=3))


def test_large_hosts_are_listed_first():
    hosts = [
        create_host(f"h{n}", "left", 2.0 if n % 3 else 0.5) for n in range(30)
    ]
    chosen = choose(hosts=hosts, per_region=20)
    assert all(int(address[1:]) % 3 for address in chosen)


def test_small_differences_of_capacity_do_not_order_hosts():
    hosts = [create_host(f"h{n}", "left", 1.0 + n / 100) for n in range(30)]
    chosen = choose(hosts=hosts, per_region=10)
    assert min(int(address[1:]) for address in chosen) < 15


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [(1.0, 1000.0, 1.0), (2.0, 10.0, 0.2), (0.5, 100.0, 0.5)],
)
def test_capacity_is_the_lower_of_cores_and_link(cores, link_mbps, expected):
    assert placement.find_capacity(cores, link_mbps) == expected


def test_no_more_addresses_than_the_limit_are_listed():
    hosts = create_region(200)
    chosen = choose(hosts=hosts, per_region=200)
    assert len(chosen) == placement.MAX_LISTED_HOSTS


@pytest.mark.parametrize("limit", [2, 25, 30, 53, 430])
@pytest.mark.parametrize("regions", [1, 3])
def test_the_connections_of_a_target_suffice_for_the_hosts(limit, regions):
    count = placement.count_listed_hosts(limit, regions)
    assert count >= 2
    if count > 2:
        assert count * regions * 4 <= limit


def test_a_service_is_sent_to_by_the_hosts_listed_for_its_host_name():
    # Guards against a demand or a budget that is worked out for all hosts of a
    # large fleet, though the directory lists few: callers of a host name use
    # the hosts that its service with the fewest connections allows.
    routes = (
        creators.create_route(
            name="a", shares=(declarations.Share(service="few", weight=1.0),)
        ),
        creators.create_route(
            name="b",
            prefix="/b/",
            shares=(declarations.Share(service="many", weight=1.0),),
        ),
        creators.create_route(
            name="c",
            host="b.example",
            shares=(declarations.Share(service="other", weight=1.0),),
        ),
    )
    limits = {"few": 25, "many": 1200, "other": 430}
    table = creators.create_table(*routes).replace(
        services={
            name: creators.create_service(name, connection_limit=limit)
            for name, limit in limits.items()
        }
    )
    assert placement.find_listing_limits(table) == {
        "few": 25,
        "many": 25,
        "other": 430,
    }
