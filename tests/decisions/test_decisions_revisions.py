import hypothesis
from hypothesis import strategies as st
import pytest

from bramleyfork.core import declarations
from bramleyfork.decisions import revisions

VERSIONS = st.builds(
    revisions.Version,
    revision=st.integers(1, 3),
    digest=st.sampled_from("abc"),
)


def create_hosts(count, data_centres=("north", "south")):
    return [
        declarations.Host(
            name=f"h{n}",
            data_centre=data_centres[n % len(data_centres)],
            peer_address="",
            caller_address="",
        )
        for n in range(count)
    ]


@hypothesis.given(st.lists(VERSIONS, min_size=1), st.randoms())
def test_version_in_force_does_not_depend_on_the_order_of_offers(
    versions, random
):
    # Guards against hosts that end at different versions (H10). Each host only
    # moves to newer versions.
    def follow(order):
        in_force = revisions.NO_VERSION
        for version in order:
            if revisions.is_newer(version, in_force):
                in_force = version
        return in_force

    shuffled = list(versions)
    random.shuffle(shuffled)
    assert follow(versions) == follow(shuffled)


@hypothesis.given(VERSIONS, VERSIONS)
def test_exactly_one_of_two_versions_is_newer(first, second):
    newer = revisions.is_newer(first, second), revisions.is_newer(second, first)
    assert newer.count(True) == (first != second)


def test_conflict_is_reported_once_and_grows():
    first, second, third = (
        revisions.Version(revision=7, digest=digest) for digest in "abc"
    )
    conflict = revisions.merge_conflict(None, second, first, 1.0)
    assert conflict.digests == ("a", "b")
    assert revisions.merge_conflict(conflict, first, second, 2.0) is None
    extended = revisions.merge_conflict(conflict, third, second, 3.0)
    assert extended.digests == ("a", "b", "c")
    other = revisions.Version(revision=8, digest="a")
    assert revisions.merge_conflict(extended, other, third, 4.0) is None


@pytest.mark.parametrize(("count", "chosen"), [(0, 0), (1, 1), (3, 3), (9, 4)])
def test_two_hosts_of_each_data_centre_watch(count, chosen):
    hosts = create_hosts(count)
    ranked = revisions.rank_hosts_by_data_centre(hosts)
    watchers = revisions.choose_watchers(ranked, ())
    assert len(watchers) == chosen
    assert ranked == revisions.rank_hosts_by_data_centre(hosts)


@hypothesis.given(st.integers(5, 30), st.randoms())
def test_loss_of_a_watcher_moves_one_watch_only(count, random):
    # Guards against all watches moving when one host dies.
    ranked = revisions.rank_hosts_by_data_centre(
        create_hosts(count, ("north",))
    )
    before = revisions.choose_watchers(ranked, ())
    unavailable = random.choice(sorted(before))
    after = revisions.choose_watchers(ranked, {unavailable})
    assert len(after) == 2
    assert before - after == {unavailable}
