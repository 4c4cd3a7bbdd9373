from bramleyfork.controllers import quarantine as controller
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import sections
from bramleyfork.decisions import quarantine


class Bench:
    """The controller on a board whose inputs the test writes."""

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


def test_second_death_alone_refuses_and_tells_the_peers():
    bench = Bench()
    bench.kill("t1", "f", "g")
    assert bench.read_levels() == {"f": "suspect", "g": "suspect"}
    bench.kill("t2", "f")
    assert bench.read_levels() == {"f": "refused", "g": "suspect"}
    notices = bench.out.read_new_records()
    assert [n.level for n in notices] == ["suspect", "suspect", "refused"]
    assert {n.to for n in notices} == {messages.ALL_PEERS}


def test_entries_end_after_a_minute():
    bench = Bench()
    bench.kill("t1", "f")
    now = bench.clock.read_monotonic()
    assert bench.step(30.0) == now + 60.0
    bench.kill("t2", "f")
    assert bench.step(59.0) == now + 90.0
    assert bench.read_levels() == {"f": "refused"}
    assert bench.step(1.0) is None
    assert bench.read_levels() == {}


def test_clearance_removes_suspects_and_tells_the_peers():
    bench = Bench()
    bench.kill("t1", "f")
    bench.out.read_new_records()
    bench.suspicions.append(fleet.SuspectCleared(fingerprint="f", target="t2"))
    bench.step()
    assert bench.read_levels() == {}
    assert [n.level for n in bench.out.read_new_records()] == ["cleared"]


def test_notices_of_peers_are_merged_and_not_sent_on():
    # Guards against notices that hosts send one another for ever.
    first, second = Bench(), Bench()
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
    bench = Bench()
    bench.kill("t1", "old")
    bench.step(1.0)
    bench.kill("t2", *[f"f{n}" for n in range(quarantine.ENTRY_LIMIT)])
    assert len(bench.table) == quarantine.ENTRY_LIMIT
    assert bench.table.get("old") is None
