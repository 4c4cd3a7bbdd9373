import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.configuration import declared_options
from bramleyfork.decisions import replicas
from bramleyfork.decisions import shares
from tests import creators


@pytest.mark.parametrize("strategy", shares.STRATEGIES.list_names())
@hypothesis.given(
    budget=strategies.integers(min_value=0, max_value=200),
    host_count=strategies.integers(min_value=1, max_value=50),
)
def test_parts_never_exceed_the_budget(strategy, budget, host_count):
    # Guards against hosts that together exceed the limits of a target.
    divide = shares.STRATEGIES.find(strategy)
    parts = [divide(budget, rank, host_count) for rank in range(host_count)]
    assert min(parts) >= 0
    assert sum(parts) <= budget


@pytest.mark.parametrize(
    ("budget", "expected"),
    [(1, (1, 0)), (2, (1, 1)), (3, (2, 1)), (25, (18, 7))],
)
def test_first_two_ranks_divide_the_budget(budget, expected):
    parts = tuple(
        shares.divide_among_owners(budget, rank, 6) for rank in range(2)
    )
    assert parts == expected


def test_rank_does_not_depend_on_the_order_of_declaration():
    # Guards against hosts that disagree on the owners of a target.
    target = creators.create_target()
    forward = creators.create_declaration(hosts=6)
    backward = forward.replace(
        hosts=dict(reversed(list(forward.hosts.items())))
    )
    assert shares.rank_hosts(target, forward) == shares.rank_hosts(
        target, backward
    )


def test_removing_a_host_keeps_the_order_of_the_others():
    # Guards against a change of the host list that moves most targets.
    target = creators.create_target()
    declaration = creators.create_declaration(hosts=6)
    ranked = shares.rank_hosts(target, declaration)
    hosts = dict(declaration.hosts)
    del hosts[ranked[0]]
    fewer = declaration.replace(hosts=hosts)
    assert shares.rank_hosts(target, fewer) == ranked[1:]


def test_share_keeps_a_connection_free_for_cancellations():
    service = creators.create_service(connections=4, slots=4, queue=8)
    share = shares.compute_share(
        service=service, strategy="owner", rank=0, host_count=3
    )
    assert share.in_flight == share.connections - 1


def test_declaration_accepts_every_registered_strategy():
    # Guards against a strategy or policy that no declaration can name.
    assert set(declared_options.STRATEGIES) == set(
        shares.STRATEGIES.list_names()
    )
    assert set(declared_options.REPLICA_POLICIES) == set(
        replicas.POLICIES.list_names()
    )
