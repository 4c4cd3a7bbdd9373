"""Checks of a soak, registered by a decorator.

Each check compares the callers' requests with the logs of the replicas and
yields a text per violation.
"""

import collections
import collections.abc

from bench.soak import callers
from bench.soak import environment as environments
from bench.soak import replicas
from bramleyfork.core import registries

Check = collections.abc.Callable[
    [environments.SoakEnvironment, list[callers.Call]],
    collections.abc.Iterator[str],
]
CHECKS: registries.Registry[Check] = registries.Registry(kind="soak check")

_NOT_RUN = (408, 421, 429, 503)
# Longest time after a change in the store until a replica gets no new requests,
# as documented for the platform. It holds for hosts without faults shortly
# before and after, which _FAULT_MARGIN_S covers.
_LEAVE_BOUND_S = 3.0
_FAULT_MARGIN_S = 4.0
# Requests that crash replicas may reach three, and three more later than
# _FAULT_MARGIN_S after the third, as documented for the platform.
_FREE_CRASHES = 3
_LATE_CRASHES = 3
# A limit that a replica names, as documented for the platform.
_LIMIT_TOLERANCE = 1.5
_LIMIT_SLACK = 5
_LIMIT_WINDOW_S = 4.0
_COLD_LIMIT = 5  # Requests per second that a cold replica may get.


def _index_runs(
    environment: environments.SoakEnvironment,
) -> dict[str, list[replicas.SoakReplica]]:
    """Returns the replicas that ran each request, by request id."""
    runs = collections.defaultdict(list)
    for replica in environment.all_replicas:
        for _, _, request_id in replica.run_log:
            runs[request_id].append(replica)
    return runs


@CHECKS.register("answers hold what they say")
def check_answers(environment, calls):
    """Yields gathers whose parts, missing count or records are wrong."""
    services = {
        replica.name: replica.service for replica in environment.all_replicas
    }
    for call in calls:
        if not call.is_gather or call.status != 200:
            continue
        stamps = call.headers.get("x-part-stamps", "").split(", ")
        names = []
        for stamp in stamps:
            name, _, request_id = stamp.partition(".")
            if request_id != call.request_id or name not in services:
                yield (
                    f"{call.request_id}: stamp {stamp!r} is not from this"
                    " request"
                )
                break
            names.append(services[name])
        else:
            yield from _check_parts(environment, call, names)


def _check_parts(environment, call, names):
    """Yields errors of a gather whose parts are from these services."""
    missing = int(call.headers.get("x-missing-parts", 0))
    if len(set(names)) != len(names):
        yield f"{call.request_id}: a service occurs twice: {names}"
    matching_sets = [
        shards
        for shards in environment.sets
        if set(names) <= set(shards) and len(shards) == len(names) + missing
    ]
    if not matching_sets:
        yield (
            f"{call.request_id}: {names} and {missing} missing match no"
            " declared set of shards"
        )
    if len(names) < environments.MIN_SHARD_RATIO * environments.SHARDS:
        yield f"{call.request_id}: only {len(names)} parts"
    records = [
        record
        for name in names
        for record in replicas.build_records(name, call.request_id)
    ]
    expected = b"".join(sorted(records, reverse=True)[: environments.TOP])
    if call.body != expected:
        yield f"{call.request_id}: the body is not the greatest records"


@CHECKS.register("a seat is held once")
def check_once(environment, calls):
    """Yields seat requests, which may run once, that ran more often."""
    runs = _index_runs(environment)
    for call in calls:
        if not call.is_gather and len(runs[call.request_id]) > 1:
            yield f"{call.request_id}: ran {len(runs[call.request_id])} times"


@CHECKS.register("a refusal is true")
def check_refusals(environment, calls):
    """Yields seat requests that ran although their status says NOT_RUN."""
    runs = _index_runs(environment)
    for call in calls:
        is_refused = call.status in _NOT_RUN
        if is_refused and not call.is_gather and runs[call.request_id]:
            yield f"{call.request_id}: status {call.status}, but it ran"


@CHECKS.register("an answer is the replica's")
def check_single(environment, calls):
    """Yields seat requests whose body differs from the replica's reply."""
    for call in calls:
        if call.is_gather or call.status != 200:
            continue
        expected = replicas.build_records("seats", call.request_id)
        if call.body != b"".join(expected):
            yield f"{call.request_id}: the body differs from the replica's"


@CHECKS.register("nothing runs that nobody asked")
def check_asked(environment, calls):
    """Yields ids of requests that ran but that no caller sent."""
    asked = {call.request_id for call in calls} | environment.extra_ids
    for request_id in _index_runs(environment):
        if request_id not in asked:
            yield f"{request_id}: ran, but no caller sent it"


@CHECKS.register("a cold replica is left alone")
def check_cold(environment, calls):
    """Yields cold replicas with more requests in a second than allowed."""
    del calls
    for replica in environment.all_replicas:
        times = [at for at, _, _ in replica.run_log if at < replica.cold_until]
        for index in range(len(times) - _COLD_LIMIT):
            if times[index + _COLD_LIMIT] - times[index] < 1.0:
                yield (
                    f"{replica.name}: over {_COLD_LIMIT} requests in a second"
                    " while cold"
                )
                break


@CHECKS.register("a leaving replica gets no new work")
def check_leaving(environment, calls):
    """Yields replicas with requests too long after they began to leave."""
    sent = {call.request_id: call.sent_at for call in calls}
    fault_times = [at for host in environment.hosts for at in host.fault_times]
    fault_times += environment.store_fault_times
    for replica in environment.all_replicas:
        if replica.closed_at is None:
            continue
        limit = replica.closed_at + _LEAVE_BOUND_S
        begin, end = (
            replica.closed_at - _FAULT_MARGIN_S,
            limit + _FAULT_MARGIN_S,
        )
        if any(begin < at < end for at in fault_times):
            continue  # A fault may have delayed the change at a host.
        late = [
            request_id
            for at, _, request_id in replica.run_log
            if at > limit and sent.get(request_id, 0.0) > limit
        ]
        if late:
            yield (
                f"{replica.name}: {len(late)} requests too long after it began"
                f" to leave, first {late[0]}"
            )


@CHECKS.register("a crashing request is stopped")
def check_crashes(environment, calls):
    """Yields crashing requests that reach replicas long after three crashes.

    Requests of hosts that had a fault shortly before don't count.
    """
    del calls
    for path, crash in environment.crashes.items():
        if len(crash.arrivals) < _FREE_CRASHES:
            continue
        known_at = crash.arrivals[_FREE_CRASHES - 1][0] + _FAULT_MARGIN_S
        late = [
            request_id
            for at, request_id in crash.arrivals
            if at > known_at and not _had_fault(environment, request_id, at)
        ]
        if len(late) > _LATE_CRASHES:
            yield f"{path}: {len(late)} requests too late, first {late[0]}"


def _had_fault(environment, request_id, at):
    """Returns whether the host that got a request had a fault before it."""
    host = environment.hosts[int(request_id.rpartition("-")[2])]
    return any(at - _FAULT_MARGIN_S < time < at for time in host.fault_times)


@CHECKS.register("a named limit is kept")
def check_limits(environment, calls):
    """Yields limits of replicas that were exceeded in some 4 s.

    Limits beside faults of hosts don't count, as a new process knows none.
    """
    del calls
    fault_times = [at for host in environment.hosts for at in host.fault_times]
    for replica in environment.all_replicas:
        for begin, end, limit_per_s in replica.limits:
            since = begin + _FAULT_MARGIN_S
            if any(begin - 1.0 < at < end for at in fault_times):
                continue
            times = [at for at, _, _ in replica.run_log if since <= at < end]
            allowed = _LIMIT_TOLERANCE * limit_per_s * _LIMIT_WINDOW_S
            allowed += _LIMIT_SLACK
            most = max(
                (
                    sum(first <= at < first + _LIMIT_WINDOW_S for at in times)
                    for first in times
                ),
                default=0,
            )
            if most > allowed:
                yield f"{replica.name}: {most} requests, {allowed} allowed"


@CHECKS.register("service comes back")
def check_recovery(environment, calls):
    """Yields an error if over 10 % of the last calls are not answered.

    The last calls are those of 1.5 s after the end of all faults.
    """
    del environment
    last = max(call.sent_at for call in calls) - 1.5
    late = [call for call in calls if call.sent_at > last]
    good = sum(call.status == 200 for call in late)
    if good < 0.9 * len(late):
        yield f"only {good} of the last {len(late)} calls were answered"
