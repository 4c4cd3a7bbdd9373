import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.decisions import quarantine

_NOW = 100.0


def create_death(target="t1", fingerprints=("f",), alone=True):
    return fleet.TargetDeath(
        target=target, fingerprints=fingerprints, alone=alone, died_at=_NOW
    )


def create_entry(level="suspect", until=150.0, targets=("t1",)):
    return fleet.QuarantineEntry(
        fingerprint="f", level=level, until=until, targets=targets
    )


def create_notice(level="suspect", remaining_s=50.0, targets=("t1",)):
    return messages.QuarantineNotice(
        to="h",
        fingerprint="f",
        level=level,
        remaining_s=remaining_s,
        targets=targets,
    )


@pytest.mark.parametrize(
    ("entry", "death", "level"),
    [
        (None, create_death(), "suspect"),
        (create_entry(), create_death("t2"), "refused"),
        (create_entry(), create_death("t1"), "suspect"),
        (create_entry(), create_death("t2", ("f", "g"), False), "suspect"),
        (create_entry(), create_death("t2", alone=False), "suspect"),
        (create_entry(targets=("t1", "t2")), create_death("t1"), "refused"),
        (create_entry("refused"), create_death("t2"), "refused"),
    ],
)
def test_level_after_a_death(entry, death, level):
    # Guards against refusing requests that merely ran beside a crashing one.
    after = quarantine.record_death(entry, death, "f", _NOW)
    assert after.level == level
    assert after.until == (
        entry.until
        if entry is not None and entry.level == "refused"
        else _NOW + 60.0
    )


@pytest.mark.parametrize(
    ("entry", "notice", "level", "until"),
    [
        (None, create_notice(), "suspect", 150.0),
        (None, create_notice(remaining_s=1e9), "suspect", 160.0),
        (create_entry(until=120.0), create_notice(), "suspect", 150.0),
        (create_entry(until=155.0), create_notice(), "suspect", 155.0),
        (create_entry(until=159.0), create_notice("refused"), "refused", 150.0),
        (create_entry("refused", 110.0), create_notice(), "refused", 110.0),
        (create_entry("refused"), create_notice("cleared"), "refused", 150.0),
    ],
)
def test_entry_after_a_notice(entry, notice, level, until):
    after = quarantine.merge_notice(entry, notice, _NOW)
    assert (after.level, after.until) == (level, until)


def test_notice_without_effect():
    assert quarantine.merge_notice(None, create_notice("cleared"), _NOW) is None
    past = create_notice(remaining_s=0.0)
    assert quarantine.merge_notice(None, past, _NOW) is None
    cleared = create_notice("cleared")
    assert quarantine.merge_notice(create_entry(), cleared, _NOW) is None


@hypothesis.given(
    strategies.permutations(
        [
            create_notice("suspect", 10.0, ("t1",)),
            create_notice("suspect", 40.0, ("t2",)),
            create_notice("refused", 20.0, ("t3",)),
            create_notice("refused", 30.0, ("t4",)),
        ]
    )
)
def test_notices_lead_to_one_entry_in_any_order(notices):
    entry = None
    for notice in notices:
        entry = quarantine.merge_notice(entry, notice, _NOW)
    assert (entry.level, entry.until) == ("refused", 130.0)
    assert set(entry.targets) == {"t1", "t2", "t3", "t4"}


def test_own_notice_gives_the_same_entry_to_a_peer():
    entry = create_entry("refused", 150.0, ("t1", "t2"))
    notice = quarantine.build_notice(entry, _NOW)
    assert quarantine.merge_notice(None, notice, _NOW) == entry
