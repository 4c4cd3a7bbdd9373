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


def list_row(evidence, state, now, *versions):
    row = state and fleet.ListedTarget(
        target="t", state=state, holdings=create_holdings(*versions)
    )
    return targets.note_listing(evidence, row, now)


def create_observation(state, epoch, at, *versions):
    report = requests.TargetReport(
        epoch=epoch, state=state, load=0.5, holdings=create_holdings(*versions)
    )
    return fleet.TargetObservation(target="t", report=report, seen_at=at)


def see(evidence, state, epoch, at, *versions):
    observation = create_observation(state, epoch, at, *versions)
    return targets.apply_observation(evidence, observation)


def hear(evidence, state, epoch, at):
    notice = messages.TargetNotice(to="*", target="t", state=state, epoch=epoch)
    return targets.note_notice(evidence, notice, "h-2", at)


def decide(evidence, now=100.0, out=""):
    return targets.decide_status("t", out, evidence, now).state


def test_unknown_target_is_usable_without_holdings():
    status = targets.decide_status("t", "", targets.NOTHING, 1.0)
    assert (status.state, status.holdings) == ("usable", ())


def test_out_goes_before_leaving():
    assert decide(see(targets.NOTHING, "leaving", "a", 1), 2, "x") == "out"


@pytest.mark.parametrize(
    ("epoch", "at", "expected"),
    [("a", 11, "leaving"), ("b", 11, "usable"), ("b", 10, "leaving")],
)
def test_newer_word_of_a_new_process_wins_over_the_list(epoch, at, expected):
    # Guards against the lagging list keeping a restarted target idle.
    evidence = see(targets.NOTHING, "warm", "a", 5)
    evidence = list_row(evidence, "leaving", 10)
    assert decide(see(evidence, "warm", epoch, at)) == expected


def test_own_word_of_leaving_wins_over_a_list_that_says_live():
    # Guards H8 while the list lags.
    evidence = list_row(targets.NOTHING, "live", 1)
    evidence = see(evidence, "leaving", "a", 5)
    assert decide(evidence, 6) == "leaving"
    evidence = list_row(evidence, "leaving", 8)
    assert decide(list_row(evidence, None, 9), 10) == "leaving"
    assert decide(list_row(evidence, "live", 9), 10) == "usable"


def test_word_of_leaving_ends_when_nothing_more_is_heard():
    # Guards against a target that came back unseen being idle for ever.
    evidence = see(targets.NOTHING, "leaving", "a", 5)
    assert (
        decide(evidence, 5 + targets.LEAVING_REPORT_LIFETIME_S - 1) == "leaving"
    )
    assert decide(evidence, 5 + targets.LEAVING_REPORT_LIFETIME_S) == "usable"


def test_peer_word_counts_until_the_target_says_otherwise():
    evidence = see(targets.NOTHING, "warm", "a", 5)
    evidence = hear(evidence, "leaving", "a", 6)
    assert decide(evidence, 7) == "leaving"
    assert decide(hear(evidence, "cold", "a", 7), 8) == "leaving"
    assert decide(hear(evidence, "cold", "b", 7), 8) == "usable"
    assert decide(see(evidence, "warm", "b", 8), 9) == "usable"


def test_holdings_come_from_the_word_and_a_newer_list():
    # Guards against a replica never asked again after it has got a snapshot.
    evidence = list_row(targets.NOTHING, "live", 1, 41)
    assert targets.merge_holdings(evidence) == create_holdings(41)
    evidence = see(evidence, "warm", "a", 2, 42)
    assert targets.merge_holdings(evidence) == create_holdings(42)
    evidence = list_row(evidence, "live", 3, 42, 43)
    assert targets.merge_holdings(evidence) == create_holdings(42, 43)
    evidence = see(evidence, "warm", "a", 4, 42)
    assert targets.merge_holdings(evidence) == create_holdings(42)


def announce(evidence, *word):
    evidence, notice = targets.announce_observation(
        evidence, create_observation(*word)
    )
    return see(evidence, *word), notice and (notice.state, notice.epoch)


def test_peers_hear_once_of_leaving_and_of_each_new_epoch():
    evidence, notice = announce(targets.NOTHING, "warm", "a", 1)
    assert notice is None
    evidence, notice = announce(evidence, "leaving", "a", 2)
    assert notice == ("leaving", "a")
    evidence, notice = announce(evidence, "leaving", "a", 3)
    assert notice is None
    evidence, notice = announce(evidence, "cold", "b", 4)
    assert notice == ("cold", "b")
    evidence, notice = announce(evidence, "warm", "b", 5)
    assert notice is None
    _, notice = announce(hear(evidence, "leaving", "b", 6), "leaving", "b", 7)
    assert notice is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["list", "see", "hear"]),
            strategies.sampled_from(["live", "warm", "cold", "leaving"]),
            strategies.sampled_from(["a", "b"]),
        )
    ),
    strategies.sampled_from(["a", "b"]),
)
def test_word_just_given_decides(events, epoch):
    # Guards H8: no history hides that the target now says it is leaving.
    evidence = targets.NOTHING
    for now, (source, state, word_epoch) in enumerate(events):
        if source == "list":
            listed = state if state in ("live", "leaving") else None
            evidence = list_row(evidence, listed, now)
        elif source == "see":
            word = "warm" if state == "live" else state
            evidence = see(evidence, word, word_epoch, now)
        else:
            word = "leaving" if state == "leaving" else "cold"
            evidence = hear(evidence, word, word_epoch, now)
    now = len(events)
    assert decide(see(evidence, "leaving", epoch, now), now) == "leaving"
    assert decide(hear(evidence, "leaving", epoch, now), now) == "leaving"
