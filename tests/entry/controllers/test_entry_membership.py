import heapq
import itertools

import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.controllers import lifecycle
from bramleyfork.entry.controllers import membership as controller
from tests.entry import boards
from tests.entry import creators
from tests.entry.decisions import test_entry_gossip as member_updates

SEED = ("127.0.0.9", 70)


def start(number=1, seeds=(SEED,)):
    settings = creators.create_settings(
        host=f"host-{number}",
        seeds=seeds,
        peer_address=(f"127.0.0.{number}", 70),
        caller_address=(f"127.0.0.{number}", 80),
    )
    context = creators.create_context(settings=settings, incarnation=1)
    harness = boards.ComponentHarness(controller.Membership, context=context)
    harness.put("lifecycle", "current", lifecycle.Phase(phase="serving"))
    harness.step()
    return harness


def put_route_table(harness):
    harness.put(
        "route_table",
        "current",
        creators.create_table(creators.create_route()),
    )


def deliver(harness, *updates, kind="ack", sequence=0):
    harness.append(
        "peer_messages",
        fleet.PeerMessage(
            kind=kind, sequence=sequence, address=SEED, updates=updates
        ),
    )
    harness.step()


def find_state(harness, number):
    member = harness.get("members", f"host-{number}")
    return member.update.state if member else None


def test_a_host_without_peers_sends_a_join_to_a_seed():
    harness = start()
    (join,) = harness.read_new_records("peer_sends")
    assert (join.kind, join.address) == ("join", SEED)


def test_a_host_serves_once_it_has_routes():
    harness = start()
    assert find_state(harness, 1) == fleet.STARTING
    put_route_table(harness)
    harness.step()
    assert find_state(harness, 1) == fleet.SERVING


def test_a_ping_is_answered_with_its_number():
    harness = start()
    harness.read_new_records("peer_sends")
    deliver(harness, member_updates.create_update(2), kind="ping", sequence=7)
    (ack,) = harness.read_new_records("peer_sends")
    assert (ack.kind, ack.sequence) == ("ack", 7)
    assert ack.address == ("127.0.0.2", 70)
    assert ack.updates[0].host == "host-1"


def test_a_host_that_does_not_answer_is_suspect_and_then_dead():
    harness = start()
    deliver(harness, member_updates.create_update(2))
    harness.step(1.9)
    assert find_state(harness, 2) == fleet.SUSPECT
    harness.step(2.7)
    assert find_state(harness, 2) == fleet.DEAD


def test_a_host_that_acks_pings_stays_a_member():
    harness = start()
    deliver(harness, member_updates.create_update(2))
    for _ in range(20):
        harness.step(0.3)
        for ping in harness.read_new_records("peer_sends"):
            if ping.address == ("127.0.0.2", 70):
                deliver(
                    harness,
                    member_updates.create_update(2),
                    sequence=ping.sequence,
                )
    assert find_state(harness, 2) == fleet.SERVING


def test_a_dead_host_is_not_revived_by_an_old_update():
    # Guards against hosts that keep telling each other that a dead host is
    # serving.
    harness = start()
    deliver(harness, member_updates.create_update(2))
    harness.step(5.0)
    deliver(
        harness,
        member_updates.create_update(3),
        member_updates.create_update(2),
    )
    assert find_state(harness, 2) == fleet.DEAD


def test_a_restarted_host_is_known_again():
    harness = start()
    deliver(harness, member_updates.create_update(2))
    harness.step(5.0)
    deliver(
        harness, member_updates.create_update(2, incarnation=2), kind="ping"
    )
    assert find_state(harness, 2) == fleet.SERVING


def test_a_wrong_suspicion_of_this_host_is_refuted():
    harness = start()
    put_route_table(harness)
    harness.step()
    wrong = harness.get("members", "host-1").update.replace(state=fleet.SUSPECT)
    deliver(harness, member_updates.create_update(2), wrong)
    own = harness.get("members", "host-1").update
    assert own.state == fleet.SERVING
    assert own.count > wrong.count


def test_a_leaving_host_pings_all_hosts_at_once():
    harness = start()
    for number in range(2, 7):
        deliver(harness, member_updates.create_update(number))
    harness.read_new_records("peer_sends")
    harness.put("lifecycle", "current", lifecycle.Phase(phase="leaving"))
    harness.step()
    sends = harness.read_new_records("peer_sends")
    assert len(sends) == 5
    assert {send.updates[0].state for send in sends} == {fleet.LEAVING}


class Fleet:
    """Simulated hosts whose datagrams take 10 ms.

    Every ``loss_interval``-th datagram is lost; none if it is 0.
    """

    def __init__(self, count, *, loss_interval=0):
        seeds = tuple((f"127.0.0.{n}", 70) for n in (1, 2, 3))
        self.hosts = {n: start(n, seeds) for n in range(1, count + 1)}
        self.cut = set()
        self._loss_interval = loss_interval
        self._order = itertools.count(1)
        self._events = []
        for number, harness in self.hosts.items():
            put_route_table(harness)
            self._schedule(harness.now + number / 1000, number, None)

    def _schedule(self, at, number, message):
        heapq.heappush(self._events, (at, next(self._order), number, message))

    def run(self, seconds):
        end = min(event[0] for event in self._events) + seconds
        while self._events and self._events[0][0] <= end:
            at, _, number, message = heapq.heappop(self._events)
            if number in self.cut:
                continue
            harness = self.hosts[number]
            harness.now = at
            if message is not None:
                harness.append("peer_messages", message)
            due = harness.component.step(at)
            if message is None:
                self._schedule(due, number, None)
            for send in harness.read_new_records("peer_sends"):
                receiver = int(send.address[0].rpartition(".")[2])
                if (
                    self._loss_interval
                    and next(self._order) % self._loss_interval == 0
                ):
                    continue
                if receiver in self.hosts:
                    self._schedule(at + 0.01, receiver, send)

    def count_hosts_that_see(self, number, state):
        return sum(
            find_state(harness, number) == state
            for other, harness in self.hosts.items()
            if other not in self.cut
        )


@pytest.mark.parametrize("count", [6, 40])
def test_all_hosts_find_each_other_and_detect_a_killed_one(count):
    fleet_of_hosts = Fleet(count, loss_interval=20)
    # Traffic begins at the earliest 12 s after the hosts start.
    fleet_of_hosts.run(12.0)
    for number in range(1, count + 1):
        known = fleet_of_hosts.count_hosts_that_see(number, fleet.SERVING)
        assert known >= count - 2
    fleet_of_hosts.cut = {count}
    # The directory may name a killed host for 7 s.
    fleet_of_hosts.run(6.5)
    assert fleet_of_hosts.count_hosts_that_see(count, fleet.SERVING) == 0


def test_lost_datagrams_do_not_make_a_host_dead():
    fleet_of_hosts = Fleet(6, loss_interval=15)
    fleet_of_hosts.run(60.0)
    for number in range(1, 7):
        assert fleet_of_hosts.count_hosts_that_see(number, fleet.DEAD) == 0
