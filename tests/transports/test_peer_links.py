import logging
import os

import pytest

from bramleyfork.core import ranges
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_links
from bramleyfork.transports import peer_partitions


def create_request(attempt_id="a-1", *, deadline=10.0):
    return requests.SubRequest(
        attempt_id=attempt_id,
        query_id="q",
        router="a",
        owner="b",
        target="t",
        service="s",
        lookup="l",
        key_range=ranges.FULL_RANGE,
        snapshot=requests.Snapshot(index_version=1, map_version=1),
        parameters="",
        urgent=True,
        idempotent=True,
        deadline=deadline,
        fingerprint="f",
        exclusive=False,
    )


def create_outgoing(message, size=100):
    return peer_links.OutgoingMessage(
        kind="subrequest", message=message, payload=b"x" * size
    )


def test_expired_subrequests_are_not_reported_as_lost():
    link = peer_links.Link(host="b")
    first, second = object(), object()
    link.record_sent(create_request("old", deadline=1.0), first)
    link.record_sent(create_request("new"), first)
    link.record_sent(create_request("other"), second)
    link.record_sent(create_request("answered"), first)
    link.remove_unanswered("answered")
    unanswered = link.pop_unanswered(first, 2.0)
    assert [request.attempt_id for request in unanswered] == ["new"]
    assert link.has_unanswered
    link.remove_expired(11.0)
    assert not link.has_unanswered


def test_cancelled_subrequest_that_waits_is_not_sent():
    link = peer_links.Link(host="b")
    assert link.enqueue(create_outgoing(create_request("a-1")))
    assert link.enqueue(create_outgoing(create_request("a-2")))
    cancel = requests.Cancel(attempt_id="a-1", owner="b")
    assert link.enqueue(create_outgoing(cancel))
    queued = link.pop_queued()
    assert [outgoing.message.attempt_id for outgoing in queued] == ["a-2"]


def test_waiting_bytes_are_bounded():
    link = peer_links.Link(host="b")
    half = peer_links.MAX_QUEUED_BYTES // 2
    assert link.enqueue(create_outgoing(create_request(), half))
    assert link.enqueue(create_outgoing(create_request(), half))
    assert not link.enqueue(create_outgoing(create_request(), 1))
    link.pop_queued()
    assert link.enqueue(create_outgoing(create_request(), half))


def test_connect_backoff_grows_up_to_two_seconds():
    link = peer_links.Link(host="b")
    pauses = []
    for _ in range(40):
        link.extend_backoff(100.0)
        pauses.append(link.retry_at - 100.0)
    assert 0.05 <= pauses[0] <= 0.1
    assert all(1.0 <= pause <= 2.0 for pause in pauses[10:])
    link.reset_backoff()
    assert link.retry_at < 0.0


def test_owner_lost_reply_names_the_subrequest():
    reply = peer_links.build_owner_lost_reply(
        create_request(), verdicts.Verdict.NOT_RUN, "why"
    )
    assert (reply.attempt_id, reply.query_id) == ("a-1", "q")
    assert (reply.code, reply.detail) == ("owner_lost", "why")


def test_cut_file_is_read_when_it_changes(tmp_path, caplog):
    path = tmp_path / "cut"
    path.write_text("out b\n\nin c\nboth d\nsideways e\n")
    injected_partitions = peer_partitions.InjectedPartitions(path=str(path))
    with caplog.at_level(logging.WARNING):
        injected_partitions.refresh(1.0)
    assert caplog.records[0].line == "sideways e"
    found = [
        (
            injected_partitions.blocks_outgoing(h),
            injected_partitions.blocks_incoming(h),
        )
        for h in "bcde"
    ]
    assert found == [(True, False), (False, True), (True, True), (False, False)]
    path.write_text("out e\n")
    os.utime(path, ns=(1, 1))
    injected_partitions.refresh(1.05)
    assert injected_partitions.blocks_connecting("b")
    injected_partitions.refresh(1.2)
    assert not injected_partitions.blocks_connecting("b")
    assert injected_partitions.blocks_connecting("e")
    path.unlink()
    injected_partitions.refresh(1.4)
    assert not injected_partitions.blocks_connecting("e")


@pytest.mark.parametrize(
    ("kind", "group"), [("ping", "control"), ("subreply", "data")]
)
def test_counters_are_split_into_control_and_data(kind, group):
    counters = peer_counters.TrafficCounters()
    counters.count_received(kind, 10)
    counters.count_sent(kind, 20)
    counters.count_sent(kind, 30)
    counters.count_dropped(kind)
    total = counters.sum_groups()[group]
    assert (total.messages_in, total.bytes_in) == (1, 10)
    assert (total.messages_out, total.bytes_out) == (2, 50)
    assert total.dropped == 1


def test_counters_are_exported_as_metrics_by_kind():
    # Guards against control traffic that is missing in the metrics, which
    # operators and the benchmark read.
    counters = peer_counters.TrafficCounters()
    counters.count_sent("ping", 20)
    assert counters["bytes_out"]["ping"] == 20
    assert set(counters) == set(peer_counters.TrafficCounts.__slots__)
