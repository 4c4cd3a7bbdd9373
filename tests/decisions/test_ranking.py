import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import declarations
from bramleyfork.decisions import ranking
from bramleyfork.decisions import shares
from tests import creators

CENTRES = ("a", "b", "c", "d")
REGIONS = ("one", "one", "two", "two")


def create_fleet(places, targets=8):
    """Returns a declaration with a host in each of ``places``, by number."""
    hosts = [
        creators.create_host(number, CENTRES[place])
        for number, place in sorted(places.items())
    ]
    rows = [
        creators.create_target(f"t-{n}", data_centre=CENTRES[n % 4])
        for n in range(targets)
    ]
    return creators.create_declaration(
        targets=rows,
        data_centres={
            name: declarations.DataCentre(name=name, region=region)
            for name, region in zip(CENTRES, REGIONS, strict=True)
        },
    ).replace(hosts={host.name: host for host in hosts})


def list_owners(ranked, declaration):
    return {
        name: ranked.find_owners(target)
        for name, target in declaration.targets.items()
    }


def rank_all(declaration):
    return {
        name: tuple(
            shares.rank_hosts(target, declaration)[: shares.OWNERS_PER_TARGET]
        )
        for name, target in declaration.targets.items()
    }


PLACES = strategies.dictionaries(
    strategies.integers(min_value=1, max_value=12),
    strategies.integers(min_value=0, max_value=3),
    min_size=1,
)


@hypothesis.given(history=strategies.lists(PLACES, min_size=1, max_size=4))
def test_owners_are_the_first_ranks_after_any_changes_of_hosts(history):
    # Guards against hosts that disagree on the owners of a target and together
    # exceed its limits.
    ranked = ranking.Ranking()
    for places in history:
        declaration = create_fleet(places)
        before = list_owners(ranked, declaration)
        changed = ranked.use_declaration(declaration)
        after = list_owners(ranked, declaration)
        assert after == rank_all(declaration)
        for name, target in declaration.targets.items():
            if target.data_centre not in changed and before[name]:
                assert after[name] == before[name]


@hypothesis.given(places=PLACES)
def test_a_host_that_may_not_own_is_no_owner(places):
    # Guards against owners whose shares are never computed.
    declaration = create_fleet(places)
    ranked = ranking.Ranking()
    ranked.use_declaration(declaration)
    for name, owners in rank_all(declaration).items():
        centre = declaration.targets[name].data_centre
        for owner in owners:
            assert ranked.may_own(declaration.hosts[owner], centre)


def test_owners_follow_a_target_to_another_data_centre():
    declaration = create_fleet({n: n % 4 for n in range(1, 13)})
    ranked = ranking.Ranking()
    ranked.use_declaration(declaration)
    list_owners(ranked, declaration)
    moved = declaration.targets["t-0"].replace(data_centre="c")
    declaration = declaration.replace(
        targets=declaration.targets | {"t-0": moved}
    )
    ranked.use_declaration(declaration)
    assert list_owners(ranked, declaration) == rank_all(declaration)


@pytest.mark.parametrize("strategy", shares.STRATEGIES.list_names())
def test_ranks_after_the_owners_get_the_same(strategy):
    # Guards against a strategy that needs ranks which are not computed.
    divide = shares.STRATEGIES.find(strategy)
    parts = {
        divide(100, rank, 9) for rank in range(shares.OWNERS_PER_TARGET, 9)
    }
    assert len(parts) == 1


@pytest.mark.parametrize(
    ("change", "affected"),
    [
        (lambda d: {}, set()),
        (lambda d: {"strategy": "direct"}, {"t-0", "t-1", "t-2", "t-3"}),
        (
            lambda d: {
                "services": {"booking-01": creators.create_service(slots=3)}
            },
            {"t-0", "t-1", "t-2", "t-3"},
        ),
        (
            lambda d: {
                "targets": d.targets
                | {"t-1": d.targets["t-1"].replace(out=True)}
            },
            {"t-1"},
        ),
    ],
)
def test_only_targets_that_a_revision_affects_are_computed_again(
    change, affected
):
    # Guards against computing the shares of all targets, or of none, after each
    # revision.
    before = create_fleet({1: 0, 2: 0, 3: 1, 4: 1}, targets=4)
    after = before.replace(**change(before))
    listed = ranking.list_affected_targets(before, after, frozenset())
    assert {target.name for target in listed} == affected


def test_equal_parts_are_computed_again_when_the_number_of_hosts_changes():
    before = create_fleet({1: 0, 2: 0}).replace(strategy="direct")
    after = before.replace(hosts=create_fleet({1: 0, 2: 0, 3: 1}).hosts)
    listed = ranking.list_affected_targets(before, after, frozenset({"b"}))
    assert len(listed) == len(after.targets)
