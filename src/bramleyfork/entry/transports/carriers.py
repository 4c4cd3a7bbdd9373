"""Exchanges calls and results with other entry hosts over record streams.

A call asks a host in another data centre to make attempts on targets there.
"""

import asyncio
import itertools

from bramleyfork.core import verdicts
from bramleyfork.entry import carriage
from bramleyfork.entry import exchanges
from bramleyfork.entry import parts
from bramleyfork.entry.transports import _links

_CONNECT_LIMIT_S = 0.3


class _Route:
    """The stream to one other host and the pending calls on it.

    Attributes:
      link: The stream; None while it is not open.
      calls: Request key and unanswered attempts of each pending call, by the
        number of the call.
      held: Calls that are queued until the stream is open.
    """

    __slots__ = ("link", "calls", "held")

    def __init__(self):
        self.link: _links.Link | None = None
        self.calls: dict[int, tuple[int, set[int]]] = {}
        self.held: list[carriage.Call] = []


@parts.register(
    parts.TRANSPORTS,
    "carriers_transport",
    reads=("via_sends", "aborts", "carried_departures"),
    writes=("carried_arrivals", "via_replies", "via_failures"),
)
class Carriers(parts.Part):
    """Sends calls to other hosts and receives calls from them."""

    __slots__ = (
        "_loop",
        "_server",
        "_routes",
        "_numbers",
        "_call_of",
        "_accepted",
        "_link_keys",
        "_tasks",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._routes: dict[tuple[str, int], _Route] = {}
        self._numbers = itertools.count(1)
        self._call_of: dict[int, tuple[tuple[str, int], int]] = {}
        self._accepted: dict[int, _links.Link] = {}
        self._link_keys = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens for streams of other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._accept, *self.context.settings.carrier_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        for link in list(self._accepted.values()):
            link.close()
        for route in self._routes.values():
            if route.link is not None:
                route.link.close()

    def step(self, now: float) -> float | None:
        """Sends new calls, cancellations of attempts, and results.

        New attempts of one request that go to the same host share a call.

        Args:
          now: Monotonic time in seconds.

        Returns:
          None: the transport is woken by changes only.
        """
        self._hand_over(self.take("via_sends"), now)
        self._end(self.take("aborts"))
        for departure in self.take("carried_departures"):
            link = self._accepted.get(departure.link)
            if link is not None:
                link.send(departure.result)
        return None

    # Outgoing calls.

    def _hand_over(self, sends: list[carriage.CarriedSend], now: float) -> None:
        groups: dict[tuple, list[carriage.CarriedSend]] = {}
        for send in sends:
            groups.setdefault((send.via, send.request.key), []).append(send)
        for (via, key), group in groups.items():
            number = next(self._numbers)
            attempts = tuple((s.attempt, s.target.target) for s in group)
            route = self._routes.get(via)
            if route is None:
                route = self._routes[via] = _Route()
            route.calls[number] = (key, {attempt for attempt, _ in attempts})
            for attempt, _ in attempts:
                self._call_of[attempt] = (via, number)
            call = carriage.Call(
                number=number,
                request=group[0].request,
                record_limit=group[0].record_limit,
                flush_s=group[0].flush_s,
                wait_s=max(0.0, group[0].deadline_at - now),
                attempts=attempts,
            )
            if route.link is not None and route.link.is_open:
                route.link.send(call)
                continue
            route.held.append(call)
            if len(route.held) == 1:
                self._run(self._connect(via, route))

    def _run(self, work) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, via: tuple[str, int], route: _Route) -> None:
        try:
            async with asyncio.timeout(_CONNECT_LIMIT_S):
                _, link = await self._loop.create_connection(
                    lambda: _links.Link(
                        take=lambda _, record: self._take_result(via, record),
                        closed=lambda _: self._lose(via),
                    ),
                    *via,
                )
        except (OSError, TimeoutError):
            held, route.held = route.held, []
            for call in held:
                self._fail(via, call.number, verdicts.Verdict.NOT_RUN)
            return
        route.link = link
        held, route.held = route.held, []
        for call in held:
            if call.number in route.calls:
                # Attempts may have been cancelled while the stream was opened.
                _, left = route.calls[call.number]
                attempts = tuple(a for a in call.attempts if a[0] in left)
                link.send(call.replace(attempts=attempts))

    def _lose(self, via: tuple[str, int]) -> None:
        route = self._routes.pop(via, None)
        if route is None:
            return
        self._routes[via] = _Route()
        self._routes[via].calls = route.calls
        for number in list(route.calls):
            self._fail(via, number, verdicts.Verdict.MAY_HAVE_RUN)

    def _fail(
        self, via: tuple[str, int], number: int, verdict: verdicts.Verdict
    ) -> None:
        found = self._routes[via].calls.pop(number, None)
        if found is None:
            return
        for attempt in found[1]:
            self._call_of.pop(attempt, None)
            self.writer("via_failures").append(
                exchanges.Reply(
                    attempt=attempt, verdict=verdict, fault="carrier"
                )
            )

    def _end(self, attempts: list[int]) -> None:
        ended: dict[tuple, list[int]] = {}
        for attempt in attempts:
            call = self._call_of.pop(attempt, None)
            if call is not None:
                ended.setdefault(call, []).append(attempt)
        for (via, number), group in ended.items():
            route = self._routes[via]
            if number not in route.calls:
                continue
            left = route.calls[number][1]
            left.difference_update(group)
            if route.link is not None:
                route.link.send(
                    carriage.Abort(number=number, attempts=tuple(group))
                )
            if not left:
                del route.calls[number]

    def _take_result(self, via: tuple[str, int], record) -> None:
        route = self._routes[via]
        if not isinstance(record, carriage.Result):
            if route.link is not None:
                route.link.refuse("expected a Result record")
            return
        found = route.calls.get(record.number)
        if found is None:
            return
        key, left = found
        for attempt, word, verdict in record.failures:
            left.discard(attempt)
            self._call_of.pop(attempt, None)
            self.writer("via_failures").append(
                carriage.build_failure(attempt, word, verdict)
            )
        for attempt, _ in record.parts:
            left.discard(attempt)
            self._call_of.pop(attempt, None)
        if not left:
            del route.calls[record.number]
        if record.parts:
            self.writer("via_replies").append(
                carriage.MergedReply(
                    key=key, via=via, parts=record.parts, body=record.body
                )
            )

    # Incoming calls.

    def _accept(self) -> _links.Link:
        key = next(self._link_keys)
        link = _links.Link(
            take=lambda _, record: self._take_call(key, record),
            closed=lambda _: self._forget(key),
        )
        self._accepted[key] = link
        return link

    def _take_call(self, key: int, record) -> None:
        if not isinstance(record, carriage.Call | carriage.Abort):
            self._accepted[key].refuse("expected a Call or Abort record")
            return
        self.writer("carried_arrivals").append(
            carriage.Arrival(link=key, record=record)
        )

    def _forget(self, key: int) -> None:
        self._accepted.pop(key, None)
        self.writer("carried_arrivals").append(
            carriage.Arrival(link=key, record=None)
        )
