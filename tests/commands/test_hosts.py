import pytest

from bramleyfork.commands import host_client
from bramleyfork.commands import hosts
from bramleyfork.commands import registry
from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.transports import administration
from bramleyfork.transports import callers
from tests import boards


@pytest.fixture(scope="module")
def host_addresses():
    """A host without routing, so that queries get no answer."""
    harness = boards.DaemonBoardHarness()
    harness.put("declaration", "in_force", boards.create_active_declaration())
    arguments = {
        "board": harness.board,
        "settings": boards.create_settings(),
        "clock": clocks.SystemClock(),
    }
    started = [
        callers.CallerTransport(**arguments),
        administration.AdministrationTransport(**arguments),
    ]
    for transport in started:
        transport.start()
    member = fleet.Member(
        host="bilbao-2", incarnation=1, state="alive", changed_at=0.0
    )
    harness.put("members", "bilbao-2", member)
    view = fleet.PlacementView(
        hosts=tuple(boards.create_four_centre_declaration().hosts.values()),
        loads={},
        regions={},
        lifetime_s=5.0,
    )
    harness.put("placement", "current", view)
    yield {"caller": started[0].address, "administration": started[1].address}
    for transport in started:
        transport.stop()


def run(name, arguments, **options):
    command = registry.COMMANDS.find(name)
    return command(arguments, registry.CommandOptions(**options))


@pytest.mark.parametrize("page", hosts.PAGE_FORMATTERS.list_names())
def test_every_page_is_shown(host_addresses, page):
    result = run("show", [page], **host_addresses)
    assert (result.exit_code, result.message) == (0, "")


def test_members_have_ages(host_addresses):
    row = run("show", ["members"], **host_addresses).rows[0]
    assert row["host"] == "bilbao-2"
    assert row["changed_s_ago"] > 0


def test_placement_has_the_tickets_of_the_first_host(host_addresses):
    result = run("place", [], tickets=2, **host_addresses)
    assert result.exit_code == 0
    assert result.rows[0]["host"] == "bilbao-1"
    assert [len(row["tickets"]) for row in result.rows] == [2, 0, 0]
    result = run("place", [], tickets=1, data_centre="lisboa", **host_addresses)
    assert result.exit_code == 1
    assert result.rows[0]["address"] in result.message


@pytest.mark.parametrize(
    ("options", "words"),
    [
        ({"deadline_ms": 20}, ("no_answer", "may have run")),
        ({"deadline_ms": 9000}, ("bad_deadline", "did not run")),
    ],
)
def test_refused_query_says_whether_it_ran(host_addresses, options, words):
    # Guards against advice to repeat a request that may have run.
    result = run("query", ["availability"], **(host_addresses | options))
    assert result.exit_code == 1
    assert all(word in result.message for word in words)


@pytest.mark.parametrize(
    ("name", "arguments", "options"),
    [
        ("show", [], {}),
        ("show", ["colour"], {}),
        ("show", ["state"], {}),
        ("place", ["x"], {}),
        ("place", [], {}),
        ("query", [], {}),
        ("query", ["availability"], {}),
    ],
)
def test_wrong_usage_says_what_to_do(name, arguments, options):
    result = run(name, arguments, **options)
    assert result.exit_code == 2
    assert "usage:" in result.message or "give the" in result.message


@pytest.mark.parametrize(
    ("name", "arguments"),
    [("show", ["state"]), ("place", []), ("query", ["availability"])],
)
def test_unreachable_host_has_its_own_exit_code(name, arguments):
    address = "127.0.0.1:9"  # The discard port; nothing listens there.
    result = run(name, arguments, caller=address, administration=address)
    assert result.exit_code == 3
    assert "ask another host" in result.message


def test_malformed_address_is_reported():
    response = host_client.send_request("GET", "127.0.0.1:port", "/v1/state")
    assert response.is_error()
