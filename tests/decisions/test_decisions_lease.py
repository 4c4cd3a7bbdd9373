import hashlib
import math

import hypothesis
from hypothesis import strategies
import pytest

from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import platform_calls
from bramleyfork.decisions import lease
from bramleyfork.decisions import platform_confirmations

_BODY = b"revision = 5"
_DIGEST = hashlib.sha256(_BODY).hexdigest()


def create_declaration(hosts=("a", "b"), revision=5, digest="m"):
    return declarations.Declaration(
        deployment="d",
        revision=revision,
        digest=digest,
        placement_lifetime_s=5.0,
        longest_deadline_s=1.0,
        strategy="owner",
        replica_policy="",
        hedge_percentile=0.0,
        hedge_budget=0.0,
        retry_budget=0.0,
        data_centres={},
        hosts=dict.fromkeys(hosts),
        services={},
        targets={},
        lookups={},
    )


def create_confirmation(sent_at=10.0, revision=5, digest="m"):
    return lease.Confirmation(
        sent_at=sent_at, revision=revision, digest=digest, source="b"
    )


def create_result(path="/v1/watch/manifest", *, status=200, etag='"e1"'):
    return platform_calls.PlatformResult(
        purpose="configuration",
        path=path,
        sent_at=1.0,
        received_at=2.0,
        status=status,
        etag=etag,
        body=_BODY if status == 200 else b"",
    )


def test_lease_runs_from_the_sending():
    clock = clocks.ManualClock(now=10.0)
    held = lease.renew(None, create_confirmation(), create_declaration())
    assert lease.is_held(held, clock.advance(2.49))
    assert not lease.is_held(held, clock.advance(0.01))
    assert not lease.is_held(None, 0.0)


@pytest.mark.parametrize(
    ("revision", "digest", "counts"),
    [
        (4, "z", True),
        (5, "l", True),
        (5, "m", True),
        (5, "n", False),
        (6, "a", False),
    ],
)
def test_answer_of_a_newer_configuration_does_not_renew(
    revision, digest, counts
):
    # Guards against H4: work under a configuration known to be outdated.
    confirmation = create_confirmation(revision=revision, digest=digest)
    renewed = lease.renew(None, confirmation, create_declaration())
    assert (renewed is not None) == counts
    pending = lease.choose_pending_confirmation(
        None, confirmation, create_declaration()
    )
    assert (pending is confirmation) == (not counts)


@hypothesis.given(strategies.lists(strategies.floats(0, 100), min_size=1))
def test_late_answers_never_shorten_the_lease(times):
    held = None
    for sent_at in times:
        held = lease.renew(
            held, create_confirmation(sent_at), create_declaration()
        )
    assert held.expires_at == max(times) + lease.LEASE_S


def test_exemption_holds_for_a_single_host_only():
    alone = create_declaration(hosts=("a",))
    exempt = lease.apply_declaration(None, alone, "a")
    assert exempt.expires_at == math.inf
    assert lease.apply_declaration(exempt, alone, "a") is exempt
    assert lease.apply_declaration(exempt, create_declaration(), "a") is None


def test_undeclared_host_loses_its_lease():
    held = fleet.Lease(expires_at=99.0, source="b")
    assert lease.apply_declaration(held, create_declaration(), "a") is held
    assert lease.apply_declaration(held, create_declaration(), "x") is None
    assert lease.apply_declaration(held, None, "a") is None


@pytest.mark.parametrize(
    ("path", "status", "digest", "expected"),
    [
        ("/v1/values/manifest", 200, _DIGEST, True),
        ("/v1/watch/manifest?after=", 200, _DIGEST, True),
        ("/v1/watch/manifest?after=%22e1%22&wait_ms=9", 304, _DIGEST, True),
        ("/v1/watch/manifest?after=%22e2%22&wait_ms=9", 304, _DIGEST, False),
        ("/v1/watch/manifest?wait_ms=9", 304, _DIGEST, False),
        ("/v1/values/manifest", 200, "other", False),
        ("/v1/watch/manifest?after=%22e1%22", 304, "other", False),
        ("/v1/values/targets", 200, _DIGEST, False),
        ("/v1/values/manifest", 0, _DIGEST, False),
        ("/v1/values/manifest", 404, _DIGEST, False),
    ],
)
def test_platform_confirms_only_what_is_in_force(
    path, status, digest, expected
):
    seen = platform_confirmations.read_manifest(create_result())
    result = create_result(path, status=status)
    assert platform_confirmations.confirms(result, seen, digest) == expected
