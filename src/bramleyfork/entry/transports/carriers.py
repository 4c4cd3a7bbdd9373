"""The transport of attempts between hosts: streams of msgpack."""

import asyncio
import itertools

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import _record_streams

_CONNECT_LIMIT_S = 0.3


class _CarrierStream:
    """The stream to one host and the calls that are under way on it.

    Attributes:
      stream: The stream; None while it is opened.
      calls: Request key and attempts that are not answered, by call.
      held: Calls that wait for the stream.
    """

    __slots__ = ("stream", "calls", "held")

    def __init__(self):
        self.stream: _record_streams.RecordStream | None = None
        self.calls: dict[int, tuple[int, set[int]]] = {}
        self.held: list[carrier_records.Call] = []


@components.register(
    components.TRANSPORTS,
    "carriers_transport",
    reads=("via_sends", "aborts", "carried_departures"),
    writes=("carried_arrivals", "via_replies", "via_failures"),
)
class CarrierTransport(components.Component):
    """Hands attempts to other hosts and takes theirs."""

    __slots__ = (
        "_loop",
        "_server",
        "_carrier_streams",
        "_numbers",
        "_call_of",
        "_accepted",
        "_stream_keys",
        "_tasks",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._carrier_streams: dict[tuple[str, int], _CarrierStream] = {}
        self._numbers = itertools.count(1)
        self._call_of: dict[int, tuple[tuple[str, int], int]] = {}
        self._accepted: dict[int, _record_streams.RecordStream] = {}
        self._stream_keys = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens for other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._accept, *self.context.settings.carrier_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._accepted.values()):
            stream.close()
        for carrier_stream in self._carrier_streams.values():
            if carrier_stream.stream is not None:
                carrier_stream.stream.close()

    def step(self, now: float) -> float | None:
        """Hands over attempts, ends others, returns results."""
        self._hand_over(self.read_new_records("via_sends"), now)
        self._end(self.read_new_records("aborts"))
        for outgoing in self.read_new_records("carried_departures"):
            stream = self._accepted.get(outgoing.stream)
            if stream is not None:
                stream.send(outgoing.result)
        return None

    # Towards other hosts.

    def _hand_over(
        self, sends: list[carrier_records.CarrierRequest], now: float
    ) -> None:
        groups: dict[tuple, list[carrier_records.CarrierRequest]] = {}
        for send in sends:
            groups.setdefault(
                (send.carrier_address, send.request.key), []
            ).append(send)
        for (carrier_address, key), group in groups.items():
            number = next(self._numbers)
            attempts = tuple((s.attempt, s.target.target) for s in group)
            carrier_stream = self._carrier_streams.get(carrier_address)
            if carrier_stream is None:
                carrier_stream = self._carrier_streams[carrier_address] = (
                    _CarrierStream()
                )
            carrier_stream.calls[number] = (
                key,
                {attempt for attempt, _ in attempts},
            )
            for attempt, _ in attempts:
                self._call_of[attempt] = (carrier_address, number)
            call = carrier_records.Call(
                number=number,
                request=group[0].request,
                record_limit=group[0].record_limit,
                flush_s=group[0].flush_s,
                wait_s=max(0.0, group[0].deadline_at - now),
                attempts=attempts,
            )
            if (
                carrier_stream.stream is not None
                and carrier_stream.stream.is_open
            ):
                carrier_stream.stream.send(call)
                continue
            carrier_stream.held.append(call)
            if len(carrier_stream.held) == 1:
                self._run(self._connect(carrier_address, carrier_stream))

    def _run(self, work) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(
        self, carrier_address: tuple[str, int], carrier_stream: _CarrierStream
    ) -> None:
        try:
            async with asyncio.timeout(_CONNECT_LIMIT_S):
                _, stream = await self._loop.create_connection(
                    lambda: _record_streams.RecordStream(
                        on_record=lambda _, record: self._take_result(
                            carrier_address, record
                        ),
                        on_closed=lambda _: self._handle_disconnect(
                            carrier_address
                        ),
                    ),
                    *carrier_address,
                )
        except (OSError, TimeoutError):
            held, carrier_stream.held = carrier_stream.held, []
            for call in held:
                self._fail(
                    carrier_address, call.number, verdicts.Verdict.NOT_RUN
                )
            return
        carrier_stream.stream = stream
        held, carrier_stream.held = carrier_stream.held, []
        for call in held:
            if call.number in carrier_stream.calls:
                # Some may have been given up while the stream was opened.
                _, left = carrier_stream.calls[call.number]
                attempts = tuple(a for a in call.attempts if a[0] in left)
                stream.send(call.replace(attempts=attempts))

    def _handle_disconnect(self, carrier_address: tuple[str, int]) -> None:
        carrier_stream = self._carrier_streams.pop(carrier_address, None)
        if carrier_stream is None:
            return
        self._carrier_streams[carrier_address] = _CarrierStream()
        self._carrier_streams[carrier_address].calls = carrier_stream.calls
        for number in list(carrier_stream.calls):
            self._fail(carrier_address, number, verdicts.Verdict.MAY_HAVE_RUN)

    def _fail(
        self,
        carrier_address: tuple[str, int],
        number: int,
        verdict: verdicts.Verdict,
    ) -> None:
        found = self._carrier_streams[carrier_address].calls.pop(number, None)
        if found is None:
            return
        for attempt in found[1]:
            self._call_of.pop(attempt, None)
            self.get_writer("via_failures").append(
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
        for (carrier_address, number), group in ended.items():
            carrier_stream = self._carrier_streams[carrier_address]
            if number not in carrier_stream.calls:
                continue
            left = carrier_stream.calls[number][1]
            left.difference_update(group)
            if carrier_stream.stream is not None:
                carrier_stream.stream.send(
                    carrier_records.Abort(number=number, attempts=tuple(group))
                )
            if not left:
                del carrier_stream.calls[number]

    def _take_result(self, carrier_address: tuple[str, int], record) -> None:
        carrier_stream = self._carrier_streams[carrier_address]
        if not isinstance(record, carrier_records.Result):
            if carrier_stream.stream is not None:
                carrier_stream.stream.close_with_error("no result of a call")
            return
        found = carrier_stream.calls.get(record.number)
        if found is None:
            return
        key, left = found
        for attempt, fault, verdict in record.failures:
            left.discard(attempt)
            self._call_of.pop(attempt, None)
            self.get_writer("via_failures").append(
                carrier_records.build_failure(attempt, fault, verdict)
            )
        for attempt, _ in record.parts:
            left.discard(attempt)
            self._call_of.pop(attempt, None)
        if not left:
            del carrier_stream.calls[record.number]
        if record.parts:
            self.get_writer("via_replies").append(
                carrier_records.MergedReply(
                    key=key,
                    carrier_address=carrier_address,
                    parts=record.parts,
                    body=record.body,
                )
            )

    # From other hosts.

    def _accept(self) -> _record_streams.RecordStream:
        key = next(self._stream_keys)
        stream = _record_streams.RecordStream(
            on_record=lambda _, record: self._take_call(key, record),
            on_closed=lambda _: self._forget(key),
        )
        self._accepted[key] = stream
        return stream

    def _take_call(self, key: int, record) -> None:
        if not isinstance(record, carrier_records.Call | carrier_records.Abort):
            self._accepted[key].close_with_error("no call")
            return
        self.get_writer("carried_arrivals").append(
            carrier_records.ReceivedRecord(stream=key, record=record)
        )

    def _forget(self, key: int) -> None:
        self._accepted.pop(key, None)
        self.get_writer("carried_arrivals").append(
            carrier_records.ReceivedRecord(stream=key, record=None)
        )
