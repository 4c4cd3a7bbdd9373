"""Open-loop load generator: queries are sent at scheduled times."""

import asyncio
import collections.abc
import random
import time
import typing

import aiohttp

from bench import fleet as fleet_module
from bramleyfork.core import records

# Bounds the length of a run at high rates.
MAX_ARRIVALS = 5000
_PLACEMENT_S = 1.0
# Distinct query parameters; few, so that the warm-up completes each of them on
# every host. A host holds back queries with parameters that are new to it.
_DAYS = 2

Event = tuple[float, collections.abc.Callable[[], object]]


class Arrival(records.Record):
    """One query of a schedule.

    Attributes:
      at_s: When to send it, seconds after the start.
      lookup: Name of the lookup.
      number: Its index in the schedule.
    """

    __slots__ = ("at_s", "lookup", "number")

    def __init__(self, *, at_s: float, lookup: str, number: int):
        self.at_s = at_s
        self.lookup = lookup
        self.number = number


class QuerySample(records.Record):
    """Result of one query.

    Attributes:
      lookup: Name of the lookup.
      latency_s: Time from the scheduled send to the answer, seconds.
      code: Code of the answer; "lost" if there was none.
      coverage: Coverage of the answer; 0 for a refusal.
    """

    __slots__ = ("lookup", "latency_s", "code", "coverage")

    def __init__(
        self, *, lookup: str, latency_s: float, code: str, coverage: float
    ):
        self.lookup = lookup
        self.latency_s = latency_s
        self.code = code
        self.coverage = coverage


def build_schedule(
    rates: dict[str, float], seconds: float, seed: int
) -> list[Arrival]:
    """Returns Poisson arrivals; equal arguments give equal schedules.

    Args:
      rates: Queries per second by lookup.
      seconds: Length of the schedule in seconds.
      seed: Seed of the arrival times.
    """
    times = []
    for lookup, rate in sorted(rates.items()):
        rng = random.Random(f"{seed}/{lookup}")
        at_s = rng.expovariate(rate)
        while at_s < seconds and len(times) < MAX_ARRIVALS:
            times.append((at_s, lookup))
            at_s += rng.expovariate(rate)
    return [
        Arrival(at_s=at_s, lookup=lookup, number=number)
        for number, (at_s, lookup) in enumerate(sorted(times))
    ]


class OpenLoopCallers:
    """Sends scheduled queries to the hosts of a fleet.

    Send times don't depend on answers. Callers are spread evenly over the
    data centres and use the hosts of their latest placement answer.

    Args:
      fleet: Fleet to query.
      deadline_ms: Deadline of every query.
    """

    __slots__ = ("_deadline_ms", "_addresses", "_centres", "_hosts")

    def __init__(self, *, fleet: fleet_module.Fleet, deadline_ms: int):
        self._deadline_ms = deadline_ms
        hosts = fleet.declaration.hosts.values()
        self._addresses = [host.caller_address for host in hosts]
        self._centres = sorted(fleet.declaration.data_centres)
        self._hosts: dict[str, list[str]] = {}

    def run(
        self,
        schedule: collections.abc.Sequence[Arrival],
        events: collections.abc.Sequence[Event] = (),
    ) -> list[QuerySample]:
        """Sends every query at its time and returns the samples.

        Args:
          schedule: From build_schedule.
          events: Times in seconds, each with a function to call then, such as
            one that injects a fault.
        """
        return asyncio.run(self._run(schedule, events))

    async def _run(
        self,
        schedule: collections.abc.Sequence[Arrival],
        events: collections.abc.Sequence[Event],
    ) -> list[QuerySample]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._refresh_placements(session)
            started = time.monotonic()
            placing = asyncio.create_task(self._keep_refreshing(session))
            calls = [
                asyncio.create_task(_call_at(started, at_s, call))
                for at_s, call in events
            ]
            queries = [
                asyncio.create_task(self._ask(session, started, arrival))
                for arrival in schedule
            ]
            samples = await asyncio.gather(*queries)
            await asyncio.gather(*calls)
            placing.cancel()
        return list(samples)

    async def _keep_refreshing(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(_PLACEMENT_S)
            await self._refresh_placements(session)

    async def _refresh_placements(self, session: aiohttp.ClientSession) -> None:
        for centre in self._centres:
            for address in self._addresses:
                url = f"http://{address}/v1/placement?data_centre={centre}"
                try:
                    async with session.get(url) as reply:
                        placed = await reply.json()
                except (aiohttp.ClientError, ValueError):
                    continue
                if reply.status == 200:
                    self._hosts[centre] = [
                        row["address"] for row in placed["hosts"]
                    ]
                    break

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        started: float,
        arrival: Arrival,
    ) -> QuerySample:
        due = started + arrival.at_s
        await asyncio.sleep(due - time.monotonic())
        number = arrival.number
        centre = self._centres[number % len(self._centres)]
        # Each data centre has two hosts; a placement answer names them first.
        hosts = self._hosts[centre][:2]
        address = hosts[number // len(self._centres) % len(hosts)]
        body = {
            "lookup": arrival.lookup,
            "deadline_ms": self._deadline_ms,
            "parameters": f"day={number // 6 % _DAYS}",
        }
        answer: dict[str, typing.Any] = {"code": "lost", "coverage": 0.0}
        try:
            url = f"http://{address}/v1/query"
            async with session.post(url, json=body) as reply:
                answer = await reply.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        return QuerySample(
            lookup=arrival.lookup,
            latency_s=time.monotonic() - due,
            code=answer["code"],
            coverage=answer["coverage"],
        )


async def _call_at(
    started: float, at_s: float, call: collections.abc.Callable[[], object]
) -> None:
    await asyncio.sleep(started + at_s - time.monotonic())
    await asyncio.to_thread(call)
