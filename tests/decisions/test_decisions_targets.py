import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import ranges
from bramleyfork.core import requests
from bramleyfork.decisions import targets


def create_holdings(*versions):
    return tuple(
        requests.Holding(
            snapshot=requests.Snapshot(index_version=v, map_version=1),
            key_range=ranges.FULL_RANGE,
        )
        for v in versions
    )


def apply_row(evidence, state, now, *versions):
    row = state and fleet.ListedTarget(
        target="t", state=state, holdings=create_holdings(*versions)
    )
    return targets.apply_listing(evidence, row, now)


def create_observation(state, epoch, at, *versions):
    report = requests.TargetReport(
        epoch=epoch, state=state, load=0.5, holdings=create_holdings(*versions)
    )
    return fleet.TargetObservation(target="t", report=report, seen_at=at)


def apply_report(evidence, state, epoch, at, *versions):
    observation = create_observation(state, epoch, at, *versions)
    return targets.apply_observation(evidence, observation)


def apply_notice(evidence, state, epoch, at):
    notice = messages.TargetNotice(to="*", target="t", state=state, epoch=epoch)
    return targets.apply_notice(evidence, notice, "h-2", at)


def decide(evidence, now=100.0, out=""):
    return targets.decide_status("t", out, evidence, now).state


def test_unknown_target_is_usable_without_holdings():
    status = targets.decide_status("t", "", targets.NO_EVIDENCE, 1.0)
    assert (status.state, status.holdings) == ("usable", ())


def test_out_takes_precedence_over_leaving():
    assert (
        decide(apply_report(targets.NO_EVIDENCE, "leaving", "a", 1), 2, "x")
        == "out"
    )


@pytest.mark.parametrize(
    ("epoch", "at", "expected"),
    [("a", 11, "leaving"), ("b", 11, "usable"), ("b", 10, "leaving")],
)
def test_newer_report_of_a_new_process_overrides_the_list(epoch, at, expected):
    # Guards against a restarted target without requests while the list lags.
    evidence = apply_report(targets.NO_EVIDENCE, "warm", "a", 5)
    evidence = apply_row(evidence, "leaving", 10)
    assert decide(apply_report(evidence, "warm", epoch, at)) == expected


def test_leaving_report_overrides_a_list_that_says_live():
    # Guards against new work for a leaving target while the list lags (H8 in
    # docs/design.md).
    evidence = apply_row(targets.NO_EVIDENCE, "live", 1)
    evidence = apply_report(evidence, "leaving", "a", 5)
    assert decide(evidence, 6) == "leaving"
    evidence = apply_row(evidence, "leaving", 8)
    assert decide(apply_row(evidence, None, 9), 10) == "leaving"
    assert decide(apply_row(evidence, "live", 9), 10) == "usable"


def test_leaving_report_expires_without_further_reports():
    # Guards against a target that is back, unnoticed by the hosts, and never
    # gets a request again.
    evidence = apply_report(targets.NO_EVIDENCE, "leaving", "a", 5)
    assert (
        decide(evidence, 5 + targets.LEAVING_REPORT_LIFETIME_S - 1) == "leaving"
    )
    assert decide(evidence, 5 + targets.LEAVING_REPORT_LIFETIME_S) == "usable"


def test_peer_notice_counts_until_the_target_reports_otherwise():
    evidence = apply_report(targets.NO_EVIDENCE, "warm", "a", 5)
    evidence = apply_notice(evidence, "leaving", "a", 6)
    assert decide(evidence, 7) == "leaving"
    assert decide(apply_notice(evidence, "cold", "a", 7), 8) == "leaving"
    assert decide(apply_notice(evidence, "cold", "b", 7), 8) == "usable"
    assert decide(apply_report(evidence, "warm", "b", 8), 9) == "usable"


def test_holdings_come_from_the_last_report_and_a_newer_list():
    # Guards against a replica that gets no requests although it has loaded a
    # snapshot that it lacked.
    evidence = apply_row(targets.NO_EVIDENCE, "live", 1, 41)
    assert targets.merge_holdings(evidence) == create_holdings(41)
    evidence = apply_report(evidence, "warm", "a", 2, 42)
    assert targets.merge_holdings(evidence) == create_holdings(42)
    evidence = apply_row(evidence, "live", 3, 42, 43)
    assert targets.merge_holdings(evidence) == create_holdings(42, 43)
    evidence = apply_report(evidence, "warm", "a", 4, 42)
    assert targets.merge_holdings(evidence) == create_holdings(42)


def announce(evidence, *report):
    evidence, notice = targets.announce_observation(
        evidence, create_observation(*report)
    )
    return apply_report(evidence, *report), notice and (
        notice.state,
        notice.epoch,
    )


def test_peers_are_notified_once_of_leaving_and_of_each_new_epoch():
    evidence, notice = announce(targets.NO_EVIDENCE, "warm", "a", 1)
    assert notice is None
    evidence, notice = announce(evidence, "leaving", "a", 2)
    assert notice == ("leaving", "a")
    evidence, notice = announce(evidence, "leaving", "a", 3)
    assert notice is None
    evidence, notice = announce(evidence, "cold", "b", 4)
    assert notice == ("cold", "b")
    evidence, notice = announce(evidence, "warm", "b", 5)
    assert notice is None
    _, notice = announce(
        apply_notice(evidence, "leaving", "b", 6), "leaving", "b", 7
    )
    assert notice is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["list", "report", "notice"]),
            strategies.sampled_from(["live", "warm", "cold", "leaving"]),
            strategies.sampled_from(["a", "b"]),
        )
    ),
    strategies.sampled_from(["a", "b"]),
)
def test_latest_report_of_leaving_decides(events, epoch):
    # Guards against earlier reports that hide that a target is leaving (H8 in
    # docs/design.md).
    evidence = targets.NO_EVIDENCE
    for now, (source, state, report_epoch) in enumerate(events):
        if source == "list":
            listed = state if state in ("live", "leaving") else None
            evidence = apply_row(evidence, listed, now)
        elif source == "report":
            report = "warm" if state == "live" else state
            evidence = apply_report(evidence, report, report_epoch, now)
        else:
            report = "leaving" if state == "leaving" else "cold"
            evidence = apply_notice(evidence, report, report_epoch, now)
    now = len(events)
    assert (
        decide(apply_report(evidence, "leaving", epoch, now), now) == "leaving"
    )
    assert (
        decide(apply_notice(evidence, "leaving", epoch, now), now) == "leaving"
    )
