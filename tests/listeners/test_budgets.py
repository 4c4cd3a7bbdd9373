import threading

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.listeners import budgets

KIB = 1024
MIB = 1024 * 1024


class Loop:
    """Keeps what other threads want to be called."""

    def __init__(self):
        self.calls = []

    def call_soon_threadsafe(self, call):
        self.calls.append(call)


class Client:
    """A connection that ends when it is evicted."""

    def __init__(self, budget, now=0.0, loop=None):
        self.is_evicted = False
        self.account = budget.open_account(
            evict=self.evict, loop=loop or Loop(), now=now
        )
        self.account.admit(now)

    def evict(self):
        self.is_evicted = True


def create_budget(*, memory_bytes=8 * MIB, connection_limit=100):
    return budgets.ConnectionBudget(
        memory_bytes=memory_bytes, connection_limit=connection_limit
    )


def test_a_stalled_large_connection_makes_room_for_another_one():
    budget = create_budget()
    stalled = [Client(budget) for _ in range(3)]
    for client in stalled:
        client.account.hold(MIB, 0.0)
    moving = Client(budget, now=5.0)
    moving.account.hold(2 * MIB, 5.0)
    assert not moving.is_evicted
    assert any(client.is_evicted for client in stalled)
    assert budget.counters["memory"] > 0


def test_large_connections_leave_room_for_small_ones():
    # Guards against small requests that are lost as large bodies take all.
    budget = create_budget()
    small = [Client(budget) for _ in range(20)]
    for client in small:
        client.account.hold(16 * KIB, 0.0)
    for _ in range(20):
        Client(budget, now=9.0).account.hold(MIB, 9.0)
    assert not any(client.is_evicted for client in small)
    assert budget.held_bytes <= 8 * MIB


def test_a_connection_with_a_request_to_answer_is_not_evicted():
    # Guards against an accepted request that is cut off without an answer.
    budget = create_budget()
    working = [Client(budget) for _ in range(4)]
    for client in working:
        client.account.is_working = True
        client.account.hold(MIB, 0.0)
    late = Client(budget, now=9.0)
    late.account.hold(MIB, 9.0)
    assert late.is_evicted
    assert not any(client.is_evicted for client in working)


def test_responses_of_targets_count_in_the_same_budget():
    budget = create_budget()
    clients = [Client(budget) for _ in range(60)]
    for client in clients:
        client.account.hold(60 * KIB, 0.0)
    budget.reserve(6 * MIB, 5.0)
    assert budget.held_bytes <= 8 * MIB
    assert any(client.is_evicted for client in clients)
    budget.release(6 * MIB)


def test_an_idle_connection_makes_room_for_a_new_one():
    # Guards against connections that use up the descriptors.
    budget = create_budget(connection_limit=10)
    idle = [Client(budget, now=float(number)) for number in range(10)]
    new = Client(budget, now=20.0)
    assert not new.is_evicted
    assert [client.is_evicted for client in idle] == [True] + [False] * 9
    assert budget.connection_count == 10


def test_a_new_connection_is_closed_if_all_others_are_working():
    budget = create_budget(connection_limit=3)
    for _ in range(3):
        Client(budget).account.is_working = True
    assert Client(budget).is_evicted


def test_a_connection_of_another_thread_is_closed_on_its_own_loop():
    # Guards against a transport that is used from a thread not its own.
    budget = create_budget(connection_limit=1)
    loop = Loop()
    clients = []
    thread = threading.Thread(
        target=lambda: clients.append(Client(budget, loop=loop))
    )
    thread.start()
    thread.join()
    Client(budget, now=9.0)
    (client,) = clients
    assert not client.is_evicted
    assert budget.connection_count == 1
    loop.calls[0]()
    assert client.is_evicted


@pytest.mark.parametrize(
    ("memory_bytes", "expected"),
    [(300_000_000, 120_000_000), (200_000_000, 70_000_000), (1, 16 * MIB)],
)
def test_the_memory_of_the_machine_sets_the_budget(memory_bytes, expected):
    budget = budgets.build_budget(memory_bytes=memory_bytes, descriptors=200)
    assert budget.memory_bytes == expected
    assert budget.connection_limit == 100


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["open", "hold", "work", "close", "wait"]),
        strategies.integers(0, 11),
        strategies.integers(0, 3 * MIB),
    ),
    max_size=60,
)


@hypothesis.given(steps=STEPS)
def test_the_sums_of_a_budget_match_its_connections(steps):
    # Guards against sums that drift, so that a budget fills up for good.
    budget = create_budget(connection_limit=8)
    clients, now = [], 0.0
    for step, index, count in steps:
        if step == "open":
            clients.append(Client(budget, now=now))
        elif step == "wait":
            now += 0.2
        elif clients:
            account = clients[index % len(clients)].account
            if step == "hold":
                account.hold(count, now)
            elif step == "work":
                account.is_working = not account.is_working
            else:
                account.close()
        open_clients = budget._accounts
        assert budget.held_bytes == sum(a.held_bytes for a in open_clients)
        assert budget._large_bytes == sum(
            a.held_bytes
            for a in open_clients
            if a.held_bytes > budgets.SMALL_BYTES
        )
        if step == "open":
            evictable = [a for a in open_clients if not a.is_working]
            assert budget.connection_count <= 8 or not evictable
