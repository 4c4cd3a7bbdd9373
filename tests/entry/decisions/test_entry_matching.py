import pytest

from bramleyfork.entry import declarations
from bramleyfork.entry.decisions import matching
from tests.entry import creators


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/find/x", "short"),
        ("a.example", "/find/deep/x", "long"),
        ("a.example", "/find/deeper", "short"),
        ("a.example", "/other/", None),
        ("b.example", "/find/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_taken(host, path, expected):
    table = creators.create_table(
        creators.create_route(name="short"),
        creators.create_route(name="long", prefix="/find/deep/"),
    )
    route = matching.find_route(table, host, path)
    assert (route.name if route else None) == expected


@pytest.mark.parametrize("offset", [0.0, 0.3, 0.99])
def test_shares_hold_over_any_span(offset):
    shares = (
        declarations.Share(service="a", weight=1.0),
        declarations.Share(service="b", weight=3.0),
        declarations.Share(service="c", weight=6.0),
    )
    counter = matching.WeightedRoundRobin(shares=shares, offset=offset)
    chosen = [counter.choose_next() for _ in range(400)]
    for begin in (0, 37, 150):
        span = chosen[begin : begin + 200]
        for share in shares:
            part = span.count(share.service) / len(span)
            assert abs(part - share.weight / 10) < 0.02


def test_a_service_without_weight_gets_nothing():
    shares = (
        declarations.Share(service="a", weight=0.0),
        declarations.Share(service="b", weight=1.0),
    )
    counter = matching.WeightedRoundRobin(shares=shares, offset=0.5)
    assert {counter.choose_next() for _ in range(20)} == {"b"}
