import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import clocks
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.decisions import membership
from bramleyfork.decisions import probes
from bramleyfork.decisions import update_queue

states = strategies.sampled_from(["alive", "suspect", "leaving", "dead"])
updates = strategies.builds(
    messages.MemberUpdate,
    host=strategies.just("h"),
    incarnation=strategies.integers(1, 4),
    state=states,
    load=strategies.just(0.0),
    leased=strategies.just(True),
)


def create_member(host="h", incarnation=1, state="alive", changed_at=0.0):
    return fleet.Member(
        host=host, incarnation=incarnation, state=state, changed_at=changed_at
    )


def create_update_queue(*hosts):
    created = update_queue.UpdateQueue()
    for host in hosts:
        created.add(host)
    return created


def merge_all(batch):
    member = None
    for update in batch:
        member = (
            membership.merge_update(member, update, 0.0, direct=False) or member
        )
    return member.incarnation, member.state


@hypothesis.given(strategies.lists(updates, min_size=1, max_size=4))
def test_member_state_does_not_depend_on_the_order_of_updates(batch):
    # Guards against states on different hosts that never converge.
    results = {merge_all(order) for order in itertools.permutations(batch)}
    assert len(results) == 1


@hypothesis.given(updates, states.filter(lambda s: s in ("alive", "leaving")))
def test_refutation_supersedes_the_update_it_refutes(update, own_state):
    own = create_member(incarnation=2, state=own_state)
    incarnation = membership.find_refutation(own, update)
    if incarnation is None:
        assert not membership.supersedes(update, own)
        return
    refutation = membership.build_update(own.replace(incarnation=incarnation))
    known = membership.merge_update(None, update, 0.0, direct=False)
    assert membership.supersedes(refutation, known)


def test_load_in_an_update_from_a_third_party_is_ignored():
    # Guards against an old load that is forwarded by several hosts and then
    # replaces a newer one.
    member = create_member()
    update = membership.build_update(member.replace(load=0.5))
    assert membership.merge_update(member, update, 1.0, direct=False) is None
    merged = membership.merge_update(member, update, 1.0, direct=True)
    assert (merged.load, merged.changed_at) == (0.5, 0.0)


@pytest.mark.parametrize(
    ("state", "after"),
    [
        ("alive", "suspect"),
        ("leaving", "dead"),
        ("suspect", None),
        ("dead", None),
    ],
)
def test_state_of_a_host_that_did_not_answer(state, after):
    suspected = membership.suspect_member(create_member(state=state), 5.0)
    assert (suspected and suspected.state) == after


def test_suspicion_expires():
    clock = clocks.ManualClock()
    suspect = membership.suspect_member(create_member(), clock.read_monotonic())
    now = clock.advance(membership.SUSPICION_TIMEOUT_S - 0.01)
    assert membership.expire_suspicion(suspect, now) is None
    dead = membership.expire_suspicion(suspect, clock.advance(0.02))
    assert dead.state == "dead"
    assert membership.expire_suspicion(dead, now + 10) is None


@hypothesis.given(strategies.integers(1, 30), strategies.integers(0, 99))
def test_each_round_visits_each_host_once(count, seed):
    hosts = [f"h{n}" for n in range(count)]
    rotation = membership.Rotation(hosts=hosts, rng=random.Random(seed))
    for _ in range(3):
        turn = [rotation.choose_next(lambda _: True) for _ in hosts]
        assert sorted(turn) == sorted(hosts)


@hypothesis.given(strategies.integers(1, 9), strategies.integers(0, 30))
def test_the_only_accepted_host_is_always_found(count, skipped):
    hosts = [f"h{n}" for n in range(count)]
    rotation = membership.Rotation(hosts=hosts, rng=random.Random(1))
    for _ in range(skipped):
        rotation.choose_next(lambda _: True)
    assert rotation.choose_next(lambda host: host == "h0") == "h0"
    assert rotation.choose_next(lambda _: False) is None


@hypothesis.given(strategies.integers(1, 40))
def test_each_update_is_sent_a_limited_number_of_times(count):
    members = {f"h{n}": create_member(f"h{n}") for n in range(count)}
    limit = membership.compute_send_limit(count)
    waiting = create_update_queue(*members)
    seen = dict.fromkeys(members, 0)
    for _ in range(10_000):
        chosen = waiting.choose_updates(
            members, own="own", receiver="other", limit=limit
        )
        spread = max(seen.values()) - min(seen.values())
        assert spread <= 1  # Updates with the fewest sends go first.
        assert len(chosen) <= membership.UPDATES_PER_MESSAGE
        for update in chosen:
            seen[update.host] += 1
        if not waiting:
            break
    assert set(seen.values()) == {limit}


def test_update_about_the_receiver_goes_before_other_updates():
    members = {n: create_member(n) for n in ("own", "a", "b")}
    members["a"] = create_member("a", state="dead")
    chosen = create_update_queue("b", "a").choose_updates(
        members, own="own", receiver="a", limit=9
    )
    assert [update.host for update in chosen] == ["own", "a", "b"]


def test_ack_counts_only_from_the_host_that_was_asked():
    # Guards against an ack from another host that renews the lease.
    pings = probes.PendingPings()
    sequence = pings.record_sent("b", 0.0, is_probe=True)
    assert pings.match_ack(sequence, "c", "b") is None
    assert pings.match_ack(sequence, "b", "c") is None
    assert pings.match_ack(sequence, "b", "b").sent_at == 0.0
    assert pings.match_ack(sequence, "b", "b") is None
    assert pings.pop_unanswered_probe() is None


def test_late_probe_is_reported_once_and_old_pings_are_forgotten():
    pings = probes.PendingPings()
    sequence = pings.record_sent("b", 0.0, is_probe=True)
    assert pings.pop_late_probe(0.1) is None
    assert pings.pop_late_probe(0.2) == "b"
    assert pings.pop_late_probe(0.3) is None
    pings.remove_expired(2.5)
    assert pings.match_ack(sequence, "b", "b") is None
