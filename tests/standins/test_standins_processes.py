"""Tests the stand-in programs as processes, over HTTP."""

import json
import threading
import time

import pytest
import urllib3

from standins import launch
from standins import target_records


def create_http(**options):
    return urllib3.PoolManager(retries=False, timeout=10.0, **options)


@pytest.fixture(scope="module")
def targets():
    settings = launch.build_targets_document(
        [
            launch.build_target_settings("plain", "s"),
            launch.build_target_settings("narrow", "s", connections=1),
            launch.build_target_settings(
                "far", "s", latency={"127.0.0.": 30.0}
            ),
            launch.build_target_settings("fragile", "s", restart_after_s=None),
        ]
    )
    with launch.start_targets(settings) as running:
        yield running


@pytest.fixture
def platform(tmp_path):
    (tmp_path / "manifest").write_text("one")
    (tmp_path / "part").write_text("a")
    with launch.start_platform(
        launch.build_platform_document(tmp_path)
    ) as running:
        yield running


def send(http, targets, target, *, kind="read", **fields):
    headers = {
        "Attempt-Id": "id-1",
        "Deadline-Ms": "5000",
        "Urgency": "urgent",
        "Index-Version": "1",
        "Map-Version": "1",
    }
    body = {
        "lookup": "l",
        "service": "s",
        "low": 0,
        "high": 4096,
        "parameters": "p",
        **fields,
    }
    url = f"http://{targets.ready['targets'][target]}/v1/{kind}"
    return http.request("POST", url, headers=headers, body=json.dumps(body))


def wait_for_calls(platform, count):
    """Waits until the platform has received ``count`` calls."""
    for _ in range(10_000):
        if platform.read("calls")["total"] >= count:
            return
    raise AssertionError("the calls did not arrive")


def get(platform, path, **fields):
    url = f"http://{platform.ready['address']}/v1/{path}"
    return create_http().request("GET", url, fields=fields)


def test_read_answers_the_expected_records(targets):
    reply = send(create_http(), targets, "plain")
    expected = target_records.list_records("s", 0, 4096, 1, 1, 1024)
    assert json.loads(reply.data)["records"] == expected
    assert reply.headers["Run"] == "ran"
    assert reply.headers["Attempt-Id"] == "id-1"


def test_latency_is_added_in_both_directions(targets):
    # Guards against latency that is added in one direction only, or that counts
    # as waiting time at the target.
    before = time.monotonic()
    send(create_http(), targets, "far")
    assert time.monotonic() - before >= 0.06
    found = targets.read("journal", target="far")["targets"]["far"]
    assert found["attempts"][0]["waited_ms"] < 30.0


def test_invalid_request_is_rejected(targets):
    reply = send(create_http(), targets, "plain", low=9, high=9)
    assert reply.status == 400
    assert reply.headers["Run"] == "not-run"
    assert "high 9 must be in [10, 65536]" in reply.data.decode()


def test_writes_are_counted_by_parameters_and_key(targets):
    for parameters in ("w1", "w2", "w1"):
        send(
            create_http(),
            targets,
            "plain",
            kind="write",
            low=7,
            high=8,
            parameters=parameters,
        )
    found = targets.read("journal", target="plain")["targets"]["plain"]
    counts = {(w["parameters"], w["key"]): w["count"] for w in found["writes"]}
    assert counts == {("w1", 7): 2, ("w2", 7): 1}


def test_connection_above_the_limit_is_closed_but_control_works(targets):
    # Guards against control calls that fail because the connection limit under
    # test is reached.
    first = create_http()
    send(first, targets, "narrow")
    with pytest.raises(urllib3.exceptions.ProtocolError):
        send(create_http(), targets, "narrow")
    url = f"http://{targets.ready['targets']['narrow']}/control/journal"
    reply = create_http().request("GET", url)
    found = json.loads(reply.data)["targets"]["narrow"]
    assert found["peak_connections"] == 1
    assert found["refused_connections"] == 1
    first.clear()


def test_crash_aborts_the_connection_and_stops_listening(targets):
    targets.control("faults", target="fragile", crash_on="poison")
    with pytest.raises(urllib3.exceptions.ProtocolError):
        send(create_http(), targets, "fragile", parameters="poison")
    with pytest.raises(urllib3.exceptions.NewConnectionError):
        send(create_http(), targets, "fragile")


def test_blocked_source_is_cut_off_but_control_works(targets):
    # Guards against a partition that a test can't end, because control calls to
    # the target's address are blocked as well.
    address = targets.ready["targets"]["plain"]
    url = f"http://{address}/control/blocked_sources"
    http = create_http()
    for sources, works in ((["127.0.0.1"], False), ([], True)):
        body = json.dumps({"sources": sources})
        assert http.request("POST", url, body=body).status == 200
        if works:
            assert send(create_http(), targets, "plain").status == 200
            continue
        with pytest.raises(urllib3.exceptions.ProtocolError):
            send(create_http(), targets, "plain")


def test_cut_reply_sends_half_of_the_body_once(targets):
    targets.control("faults", target="plain", cut_reply=1)
    with pytest.raises(urllib3.exceptions.ProtocolError, match="Incomplete"):
        send(create_http(), targets, "plain")
    assert send(create_http(), targets, "plain").status == 200


def test_unknown_fault_is_refused_with_the_valid_names(targets):
    with pytest.raises(launch.LaunchError, match="crash_on"):
        targets.control("faults", target="plain", crash=1)


def test_programs_end_with_status_0(tmp_path):
    settings = launch.build_platform_document(tmp_path)
    assert launch.start_platform(settings).stop() == 0


def test_publication_wakes_a_watch_and_each_call_counts(platform):
    # Guards against watches that return only after their timeout, even though
    # the value has changed.
    etag = get(platform, "values/manifest").headers["ETag"]
    found = []
    watch = threading.Thread(
        target=lambda: found.append(
            get(platform, "watch/manifest", after=etag, wait_ms="60000")
        )
    )
    watch.start()
    wait_for_calls(platform, 2)
    platform.control("publish", values={"manifest": "two", "part": "b"})
    watch.join(10.0)
    assert [reply.data for reply in found] == [b"two"]
    assert get(platform, "values/part").data == b"b"
    calls = platform.read("calls")
    assert calls["by_kind"] == {"values": 2, "watch": 1}


def test_watch_without_a_change_ends_with_304(platform):
    etag = get(platform, "values/manifest").headers["ETag"]
    reply = get(platform, "watch/manifest", after=etag, wait_ms="1")
    assert reply.status == 304


def test_stale_serves_an_older_set(platform):
    platform.control("publish", values={"manifest": "two", "part": "b"})
    platform.control("stale", manifest_age=1)
    assert get(platform, "values/manifest").data == b"one"
    assert get(platform, "values/part").data == b"a"
    with pytest.raises(launch.LaunchError, match="manifest_age 2"):
        platform.control("stale", manifest_age=2)


@pytest.mark.parametrize("mode", ["refuse", "cut_mid_read"])
def test_outage_loses_reads_of_its_sources_only(platform, mode):
    platform.control("outage", mode=mode, sources=["127.0.0.1"])
    with pytest.raises(urllib3.exceptions.ProtocolError):
        get(platform, "values/manifest")
    platform.control("outage", mode=mode, sources=["127.0.0.2"])
    platform.control("outage", mode="none", sources=["127.0.0.1"])
    assert get(platform, "values/manifest").data == b"one"


def test_hanging_read_is_lost_when_the_outage_ends(platform):
    platform.control("outage", mode="hang")
    errors = []

    def read():
        try:
            get(platform, "values/manifest")
        except urllib3.exceptions.ProtocolError as error:
            errors.append(error)

    reader = threading.Thread(target=read)
    reader.start()
    wait_for_calls(platform, 1)
    platform.control("outage", mode="none")
    reader.join(10.0)
    assert len(errors) == 1
