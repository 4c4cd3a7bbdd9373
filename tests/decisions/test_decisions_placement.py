import collections

import pytest

from bramleyfork.core import fleet
from bramleyfork.decisions import placement
from tests import boards

DECLARATION = boards.create_four_centre_declaration()


def create_member(host, **changes):
    fields = {"incarnation": 1, "state": "alive", "changed_at": 0.0}
    return fleet.Member(host=host, **(fields | changes))


def create_view(loads=None, own_usable=True, links=None, **changes):
    members = {name: create_member(name) for name in DECLARATION.hosts}
    for name, fields in changes.get("members", {}).items():
        members[name] = fields and create_member(name, **fields)
    view = placement.build_view(
        changes.get("declaration", DECLARATION),
        {name: member for name, member in members.items() if member},
        links or {},
        own_host="bilbao-1",
        own_usable=own_usable,
    )
    return view.replace(loads=loads or {})


def list_names(view):
    return {host.name for host in view.hosts}


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "suspect"},
        {"state": "dead"},
        {"state": "leaving"},
        {"leased": False},
        None,
    ],
)
def test_unusable_member_is_left_out(fields):
    # Guards against callers being sent to a host that refuses them.
    view = create_view(members={"oviedo-1": fields})
    assert list_names(view) == DECLARATION.hosts.keys() - {"oviedo-1"}


def test_own_host_unreachable_host_and_data_centre_out_are_left_out():
    link = fleet.PeerLink(host="oviedo-2", connected=False, since=0.0)
    view = create_view(
        own_usable=False,
        links={"oviedo-2": link},
        declaration=boards.create_four_centre_declaration(
            out=("zaragoza", "lisboa")
        ),
    )
    assert list_names(view) == {"bilbao-2", "oviedo-1"}


def test_nearer_hosts_come_first():
    view = create_view()
    hosts = placement.order_hosts(view, "lisboa", "caller")
    assert [h.data_centre for h in hosts[:2]] == ["lisboa", "lisboa"]
    hosts = placement.order_hosts(view, "oviedo", "caller")
    assert [h.data_centre for h in hosts[:2]] == ["oviedo", "oviedo"]
    assert hosts[2].data_centre != "lisboa"
    assert len(hosts) == placement.HOST_LIMIT


def test_callers_spread_by_load():
    # Guards against all callers choosing the same least loaded host.
    view = create_view(loads={"bilbao-1": 0.75, "bilbao-2": 0.25})
    first = collections.Counter(
        placement.order_hosts(view, "bilbao", f"caller-{n}")[0].name
        for n in range(2000)
    )
    assert 1400 < first["bilbao-2"] < 1600


def test_answering_host_goes_first_for_tickets():
    view = create_view()
    for number in range(20):
        hosts = placement.order_hosts(
            view,
            "bilbao",
            f"caller-{number}",
            own_host="bilbao-1",
            prefer_own=True,
        )
        assert hosts[0].name == "bilbao-1"
