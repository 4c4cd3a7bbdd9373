import logging
import os

import pytest

from bramleyfork.core import ranges
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_cuts
from bramleyfork.transports import peer_links


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
    return peer_links.Outgoing(
        kind="subrequest", message=message, payload=b"x" * size
    )


def test_expired_subrequests_are_not_reported_as_lost():
    link = peer_links.Link(host="b")
    first, second = object(), object()
    link.note_sent(create_request("old", deadline=1.0), first)
    link.note_sent(create_request("new"), first)
    link.note_sent(create_request("other"), second)
    link.note_sent(create_request("answered"), first)
    link.forget("answered")
    lost = link.take_lost(first, 2.0)
    assert [request.attempt_id for request in lost] == ["new"]
    assert link.has_outstanding
    link.forget_expired(11.0)
    assert not link.has_outstanding


def test_cancelled_subrequest_that_waits_is_not_sent():
    link = peer_links.Link(host="b")
    assert link.hold(create_outgoing(create_request("a-1")))
    assert link.hold(create_outgoing(create_request("a-2")))
    cancel = requests.Cancel(attempt_id="a-1", owner="b")
    assert link.hold(create_outgoing(cancel))
    held = link.take_held()
    assert [outgoing.message.attempt_id for outgoing in held] == ["a-2"]


def test_waiting_bytes_are_bounded():
    link = peer_links.Link(host="b")
    half = peer_links.OUTGOING_LIMIT // 2
    assert link.hold(create_outgoing(create_request(), half))
    assert link.hold(create_outgoing(create_request(), half))
    assert not link.hold(create_outgoing(create_request(), 1))
    link.take_held()
    assert link.hold(create_outgoing(create_request(), half))


def test_pause_between_tries_grows_up_to_two_seconds():
    link = peer_links.Link(host="b")
    pauses = []
    for _ in range(40):
        link.note_failure(100.0)
        pauses.append(link.retry_at - 100.0)
    assert 0.05 <= pauses[0] <= 0.1
    assert all(1.0 <= pause <= 2.0 for pause in pauses[10:])
    link.note_connected()
    assert link.retry_at < 0.0


def test_refusal_names_the_subrequest():
    loss = peer_links.build_loss(
        create_request(), verdicts.Verdict.NOT_RUN, "why"
    )
    assert (loss.attempt_id, loss.query_id) == ("a-1", "q")
    assert (loss.code, loss.detail) == ("owner_lost", "why")


def test_cut_file_is_read_when_it_changes(tmp_path, caplog):
    path = tmp_path / "cut"
    path.write_text("out b\n\nin c\nboth d\nsideways e\n")
    cuts = peer_cuts.Cuts(path=str(path))
    with caplog.at_level(logging.WARNING):
        cuts.refresh(1.0)
    assert caplog.records[0].line == "sideways e"
    found = [(cuts.is_out_cut(h), cuts.is_in_cut(h)) for h in "bcde"]
    assert found == [(True, False), (False, True), (True, True), (False, False)]
    path.write_text("out e\n")
    os.utime(path, ns=(1, 1))
    cuts.refresh(1.05)
    assert cuts.is_cut("b")
    cuts.refresh(1.2)
    assert not cuts.is_cut("b")
    assert cuts.is_cut("e")
    path.unlink()
    cuts.refresh(1.4)
    assert not cuts.is_cut("e")


@pytest.mark.parametrize(
    ("kind", "group"), [("ping", "control"), ("subreply", "data")]
)
def test_counters_are_split_into_control_and_data(kind, group):
    counters = peer_counters.Counters()
    counters.count_in(kind, 10)
    counters.count_out(kind, 20)
    counters.count_out(kind, 30)
    counters.count_dropped(kind)
    total = counters.sum_groups()[group]
    assert (total.messages_in, total.bytes_in) == (1, 10)
    assert (total.messages_out, total.bytes_out) == (2, 50)
    assert total.dropped == 1


def test_counters_are_exported_as_metrics_by_kind():
    # Guards against control traffic that operators and the bench cannot see.
    counters = peer_counters.Counters()
    counters.count_out("ping", 20)
    assert counters["bytes_out"]["ping"] == 20
    assert set(counters) == set(peer_counters.Traffic.__slots__)
