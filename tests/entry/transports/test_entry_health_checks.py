import contextlib

import pytest

from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import health_checks
from standins.entry import http_stand_in
from standins.entry import replicas
from tests.entry import component_runner
from tests.entry import creators
from tests.entry.transports import test_entry_targets_transport as attempts

HUGE_NUMBER = attempts.HUGE_NUMBER
build_reply_fault = attempts.build_reply_fault
run = attempts.run


@contextlib.asynccontextmanager
async def run_targets():
    replica = replicas.Replica(name="t1")
    await replica.open()
    context = creators.create_context(header_names=attempts.HEADER_NAMES)
    async with component_runner.run_component(
        health_checks.HealthChecks, context
    ) as harness:
        harness.target = creators.create_target("t1", address=replica.address)
        yield harness, replica
    await replica.close()


async def check_health(harness):
    harness.append(
        "probes", exchanges.Probe(target=harness.target, path="/health")
    )
    (result,) = await component_runner.wait_for(
        lambda: harness.read_new_records("probe_results")
    )
    return result


def test_a_health_check_without_end_fails():
    async def work():
        async with run_targets() as (harness, replica):
            replica.health_fault = build_reply_fault(
                raw=b"HTTP/1.1 200 OK\r\n", endless=b"X-Field: a\r\n" * 4096
            )
            assert not (await check_health(harness)).is_healthy

    run(work)


@pytest.mark.parametrize(
    ("changes", "healthy", "warmup_s"),
    [
        ({}, True, 0.0),
        ({"warmup_ms": 1500}, True, 1.5),
        ({"is_healthy": False}, False, 0.0),
        ({"name": "t2"}, False, 0.0),
    ],
)
def test_a_health_check_is_valid_only_for_the_checked_target(
    changes, healthy, warmup_s
):
    async def work():
        async with run_targets() as (harness, replica):
            for name, value in changes.items():
                setattr(replica, name, value)
            result = await check_health(harness)
            assert result.is_healthy is healthy
            assert result.warmup_s == warmup_s

    run(work)


def test_a_warmup_of_too_many_digits_is_a_long_one():
    async def work():
        async with run_targets() as (harness, replica):
            replica.warmup_ms = HUGE_NUMBER
            assert (await check_health(harness)).warmup_s > 1e9

    run(work)


def test_a_health_check_of_a_target_that_is_down_fails():
    async def work():
        async with run_targets() as (harness, replica):
            await replica.close()
            assert not (await check_health(harness)).is_healthy

    run(work)


def test_a_health_check_reads_what_the_target_says():
    # Guards against a target that is used because its leave was forgotten.
    async def work():
        async with run_targets() as (harness, replica):
            replica.health_fault = lambda request, reply: http_stand_in.Reply(
                status=200, headers=(*reply.headers, ("Rate-Limit", "3"))
            )
            await check_health(harness)
            (finding,) = harness.read_new_records("probe_findings")
            assert (finding.subject, finding.value) == ("t1", 3.0)

    run(work)
