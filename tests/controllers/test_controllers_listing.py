from bramleyfork.configuration import declaration
from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings
from bramleyfork.controllers import listing
from bramleyfork.core import blackboard
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import sections
from bramleyfork.decisions import distribution_tree
from bramleyfork.decisions import revisions

PARTS = {
    "fleet": b"""
[deployment]
name = "test"
[[data_centres]]
name = "north"
region = "one"
"""
    + b"".join(
        b"""
[[hosts]]
name = "h%d"
data_centre = "north"
peer_address = "127.0.1.%d:7000"
caller_address = "127.0.1.%d:8080"
"""
        % (n, n, n)
        for n in (1, 2, 3)
    )
}


class Node:
    """A listing controller with its own blackboard."""

    def __init__(self, name):
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.reads = self.board.find_log("listing_reads").open_cursor()
        self.out = self.board.find_log("listing_out").open_cursor()
        grant = self.board.grant_writer
        self.results = grant("platform_results", "platform_transport")
        self.control = grant("peer_control", "peer_transport")
        self.declaration = grant("declaration", "configuration")
        self.table = self.board.find_table("listing")
        self.controller = listing.ListingController(
            board=self.board,
            settings=settings.Settings(
                deployment="test",
                host=name,
                data_centre="north",
                incarnation=1,
                peer_address="127.0.1.1:7000",
                caller_address="127.0.1.1:8080",
                administration_address="127.0.1.1:8081",
                platform_address="127.0.0.1:9000",
            ),
        )

    def declare(self):
        body = manifests.build_manifest(PARTS, revision=1)
        bodies = PARTS | {"manifest": body}
        active = declarations.ActiveDeclaration(
            declaration=declaration.check_declaration(bodies).ok,
            bodies=bodies,
            in_force_at=0.0,
            source="platform",
        )
        self.declaration.put("in_force", active)
        return self

    def answer(self, now, *row_list, rows=None, status=200):
        (read,) = self.reads.read_new_records()
        self.results.append(
            platform_calls.PlatformResult(
                purpose=read.purpose,
                path=read.path,
                sent_at=now,
                received_at=now,
                status=status,
                rows=row_list if rows is None else rows,
            )
        )
        return self.controller.step(now)


def create_row(target, state="live"):
    return fleet.ListedTarget(target=target, state=state, holdings=())


def list_hosts():
    """Returns the hosts of the data centre in rendezvous order."""
    declared = declaration.check_declaration(
        PARTS | {"manifest": manifests.build_manifest(PARTS, revision=1)}
    )
    return revisions.rank_hosts_by_data_centre(declared.ok.hosts.values())[
        "north"
    ]


def create_node(*, watching):
    """Returns a node that has read the list once, at time 0.

    Args:
      watching: Whether the node is a watcher.
    """
    # The first host is a watcher and the parent of the others in the tree.
    for name in list_hosts():
        node = Node(name).declare()
        node.controller.step(0.0)
        if node.controller._watching == watching:
            node.answer(0.0, create_row("a"), create_row("b"))
            assert node.out.read_new_records() == []
            return node
    raise AssertionError("no host with this role")


def test_nothing_is_read_before_a_declaration_is_in_force():
    node = Node("h1")
    assert node.controller.step(0.0) is None
    assert node.reads.read_new_records() == []


def test_watcher_reads_each_second_and_forwards_changes():
    node = create_node(watching=True)
    node.controller.step(1.0)
    wake = node.answer(1.0, create_row("a"), create_row("b", "leaving"))
    assert wake == 2.0
    updates = node.out.read_new_records()
    # Its child in the tree and the other watcher.
    assert {update.to for update in updates} == set(list_hosts()[1:])
    assert {update.rows for update in updates} == {(("b", "leaving", ()),)}
    node.controller.step(2.0)
    node.answer(2.0, create_row("a"))
    assert list(node.table.copy_records()) == ["a"]


def test_other_hosts_apply_rows_from_peers_and_read_rarely():
    node = create_node(watching=False)
    update = messages.ListingUpdate(to="h1", rows=(("b", "leaving", ()),))
    node.control.append(
        messages.Received(sender="h2", received_at=1.0, message=update)
    )
    assert 60.0 <= node.controller.step(1.0) <= 90.0
    assert node.table.get("b").state == "leaving"
    assert node.out.read_new_records() == []


def test_watcher_with_fresh_list_ignores_rows_of_peers():
    # Guards against a peer with an older list that undoes newer rows.
    node = create_node(watching=True)
    for now, state in ((1.0, "live"), (4.0, "leaving")):
        update = messages.ListingUpdate(to="h1", rows=(("b", "leaving", ()),))
        node.control.append(
            messages.Received(sender="h2", received_at=now, message=update)
        )
        node.controller.step(now)
        assert node.table.get("b").state == state


def measure_backoffs(node):
    """Returns the backoff after each of twelve failed reads, seconds."""
    now, backoffs = 1000.0, []
    for _ in range(12):
        node.controller.step(now)
        wake = node.answer(now, status=0)
        backoffs.append(wake - now)
        now = wake
    return backoffs


def test_failed_reads_of_other_hosts_keep_the_rows_and_back_off():
    node = create_node(watching=False)
    backoffs = measure_backoffs(node)
    assert len(node.table) == 2
    assert backoffs[0] <= 0.5
    assert 15.0 <= backoffs[-1] <= 30.0


def test_failed_reads_of_a_watcher_go_on_every_two_seconds():
    # Guards against a target that is listed as leaving after an outage of the
    # platform and still gets work for up to 30 s, because the watchers have
    # backed off from reading the list.
    node = create_node(watching=True)
    backoffs = measure_backoffs(node)
    assert len(node.table) == 2
    assert backoffs[0] <= 0.5
    assert 1.0 <= backoffs[-1] <= 2.0


def test_unchanged_rows_are_not_forwarded(monkeypatch):
    # Guards against updates that circulate without end while hosts have
    # different views of the tree.
    monkeypatch.setattr(distribution_tree, "list_children", lambda *_: ("h9",))
    node = create_node(watching=False)
    sent = []
    for now in (1.0, 2.0):
        update = messages.ListingUpdate(to="h1", rows=(("b", "leaving", ()),))
        node.control.append(
            messages.Received(sender="h2", received_at=now, message=update)
        )
        node.controller.step(now)
        sent.append([(u.to, u.rows) for u in node.out.read_new_records()])
    assert sent == [[("h9", (("b", "leaving", ()),))], []]


def test_the_same_list_is_compared_again_after_a_peer_has_changed_rows():
    # Guards against a wrong row from a peer that stays because the platform's
    # list is unchanged at the next read and is not compared.
    node = create_node(watching=True)
    rows = (create_row("a"), create_row("b"))
    update = messages.ListingUpdate(to="h1", rows=(("b", "leaving", ()),))
    for now, sender_at in ((1.0, None), (5.0, 4.5), (6.0, None)):
        if sender_at is not None:
            node.control.append(
                messages.Received(
                    sender="h2", received_at=sender_at, message=update
                )
            )
            node.controller.step(sender_at)
            assert node.table.get("b").state == "leaving"
        else:
            node.controller.step(now)
        node.answer(now, rows=rows)
    assert node.table.get("b").state == "live"
