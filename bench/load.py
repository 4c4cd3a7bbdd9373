"""Open-loop callers with a fixed schedule of arrivals."""

import asyncio
import collections.abc
import random
import time
import typing

import aiohttp

from bench import fleet as fleet_module
from bramleyfork.core import records

# Bounds a run whatever its rates are.
MAX_ARRIVALS = 5000
_PLACEMENT_S = 1.0
# Parameters in use; few, so that the warm-up has completed each of them once
# on every host and none is held back as a new request.
_DAYS = 2

Event = tuple[float, collections.abc.Callable[[], object]]


class Arrival(records.Record):
    """One query of the schedule.

    Attributes:
      at_s: When it is due, seconds after the start.
      lookup: What is asked.
      number: Its place in the schedule.
    """

    __slots__ = ("at_s", "lookup", "number")

    def __init__(self, *, at_s: float, lookup: str, number: int):
        self.at_s = at_s
        self.lookup = lookup
        self.number = number


class QuerySample(records.Record):
    """What became of one query.

    Attributes:
      lookup: What was asked.
      latency_s: From the time it was due to its answer, seconds.
      code: Code of the answer; "lost" without one.
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
    """Returns Poisson arrivals; equal arguments give an equal schedule.

    Args:
      rates: Queries a second by lookup.
      seconds: Length of the schedule.
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
    """Sends a schedule to a fleet's hosts, whatever the answers are.

    Callers are spread evenly over the data centres and use the hosts of
    their latest placement answer.

    Args:
      fleet: The fleet to ask.
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
        """Sends every arrival at its time and returns all samples.

        Args:
          schedule: From build_schedule.
          events: Calls such as faults, each at its time in seconds.
        """
        return asyncio.run(self._run(schedule, events))

    async def _run(
        self,
        schedule: collections.abc.Sequence[Arrival],
        events: collections.abc.Sequence[Event],
    ) -> list[QuerySample]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._refresh(session)
            started = time.monotonic()
            placing = asyncio.create_task(self._place(session))
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

    async def _place(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(_PLACEMENT_S)
            await self._refresh(session)

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
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
        # The first two hosts of the answer are those of the data centre.
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
