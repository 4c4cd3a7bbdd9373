from bramleyfork.controllers import quarantine as controller
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import sections
from bramleyfork.decisions import quarantine


class ControllerHarness:
    """A quarantine controller whose input sections the test writes."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.suspicions = board.grant_writer("suspicions", "ownership")
        self.control = board.grant_writer("peer_control", "peer_transport")
        self.out = board.find_log("quarantine_out").open_cursor()
        self.table = board.find_table("quarantine")
        self.controller = controller.QuarantineController(
            board=board, settings=None
        )

    def step(self, after_s=0.0):
        return self.controller.step(self.clock.advance(after_s))

    def kill(self, target, *fingerprints):
        self.suspicions.append(
            fleet.TargetDeath(
                target=target,
                fingerprints=fingerprints,
                alone=len(fingerprints) == 1,
                died_at=self.clock.read_monotonic(),
            )
        )
        self.step()

    def receive(self, notice):
        self.control.append(
            messages.Received(
                sender="peer",
                received_at=self.clock.read_monotonic(),
                message=notice,
            )
        )
        self.step()

    def read_levels(self):
        return {r.fingerprint: r.level for r in self.table.list_records()}


def test_second_death_during_an_exclusive_run_refuses_the_request():
    harness = ControllerHarness()
    harness.kill("t1", "f", "g")
    assert harness.read_levels() == {"f": "suspect", "g": "suspect"}
    harness.kill("t2", "f")
    assert harness.read_levels() == {"f": "refused", "g": "suspect"}
    notices = harness.out.read_new_records()
    assert [n.level for n in notices] == ["suspect", "suspect", "refused"]
    assert {n.to for n in notices} == {messages.ALL_PEERS}


def test_entries_expire_after_a_minute():
    harness = ControllerHarness()
    harness.kill("t1", "f")
    now = harness.clock.read_monotonic()
    assert harness.step(30.0) == now + 60.0
    harness.kill("t2", "f")
    assert harness.step(59.0) == now + 90.0
    assert harness.read_levels() == {"f": "refused"}
    assert harness.step(1.0) is None
    assert harness.read_levels() == {}


def test_clearance_removes_suspects_and_notifies_peers():
    harness = ControllerHarness()
    harness.kill("t1", "f")
    harness.out.read_new_records()
    harness.suspicions.append(
        fleet.SuspectCleared(fingerprint="f", target="t2")
    )
    harness.step()
    assert harness.read_levels() == {}
    assert [n.level for n in harness.out.read_new_records()] == ["cleared"]


def test_notices_of_peers_are_merged_and_not_forwarded():
    # Guards against notices that circulate between hosts without end.
    first, second = ControllerHarness(), ControllerHarness()
    first.kill("t1", "f")
    for notice in first.out.read_new_records():
        second.receive(notice)
    assert second.read_levels() == {"f": "suspect"}
    second.kill("t2", "f")
    for notice in second.out.read_new_records():
        first.receive(notice)
    assert first.read_levels() == {"f": "refused"}
    first.receive(quarantine.build_clearance("f"))
    assert first.read_levels() == {"f": "refused"}
    assert first.out.read_new_records() == []


def test_oldest_entries_are_dropped_beyond_the_limit():
    harness = ControllerHarness()
    harness.kill("t1", "old")
    harness.step(1.0)
    harness.kill("t2", *[f"f{n}" for n in range(quarantine.ENTRY_LIMIT)])
    assert len(harness.table) == quarantine.ENTRY_LIMIT
    assert harness.table.get("old") is None
