import pytest

from bramleyfork.entry import feeds
from bramleyfork.entry.decisions import eras
from tests.entry import creators


def change(subject, *, is_removed=False, is_draining=False):
    content = None
    if subject == "target" and not is_removed:
        content = creators.create_target("a", is_draining=is_draining)
    return feeds.Change(
        key=f"{subject}:a",
        revision=3,
        subject=subject,
        name="a",
        content=content,
        is_removed=is_removed,
    )


@pytest.mark.parametrize(
    ("subject", "known", "copied", "delay_s"),
    [
        # What is in effect stays until it is written again.
        ("evacuation", {}, {"is_removed": True}, 60.0),
        ("target", {"is_draining": True}, {}, 5.0),
        ("target", {"is_removed": True}, {}, 5.0),
        # What the copy demands takes effect at once.
        ("evacuation", {"is_removed": True}, {}, None),
        ("evacuation", {}, {}, None),
        ("target", {}, {"is_draining": True}, None),
        ("target", {}, {}, None),
        # A target that is missing has a delay of its own.
        ("target", {}, {"is_removed": True}, None),
        ("other", {}, {"is_removed": True}, None),
    ],
)
def test_what_a_copy_contradicts_is_deferred(subject, known, copied, delay_s):
    # Guards against an evacuation or a drain that ends as the store goes back.
    found = eras.find_delay(change(subject, **known), change(subject, **copied))
    assert found == delay_s


def test_an_entry_that_was_not_known_takes_effect_at_once():
    assert eras.find_delay(None, change("target")) is None
