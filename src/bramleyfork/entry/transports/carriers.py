"""Exchanges calls and results with other entry hosts over record streams.

A call asks a host in another data centre, the carrier, to make attempts at
targets there.
"""

import asyncio
import itertools

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import _accepted_streams
from bramleyfork.entry.transports import _record_streams
from bramleyfork.listeners import sockets

_CONNECT_TIMEOUT_S = 0.3
# A call holds one request with a small body and the names of its targets.
_MAX_CALL_BYTES = 256 * 1024
_MAX_RESULT_BYTES = 4 * 1024 * 1024  # The merged records of one request.


class _CarrierStream:
    """The stream to one other host and the pending calls on it.

    Attributes:
      stream: The stream; None while it is not open.
      pending_calls: Request key and unanswered attempts of each pending call,
        by the number of the call.
      queued: Calls that are queued until the stream is open.
    """

    __slots__ = ("stream", "pending_calls", "queued")

    def __init__(self):
        self.stream: _record_streams.RecordStream | None = None
        self.pending_calls: dict[int, tuple[int, set[int]]] = {}
        self.queued: list[carrier_records.Call] = []


@components.register(
    components.TRANSPORTS,
    "carriers_transport",
    reads=("via_sends", "aborts", "carried_departures"),
    writes=("carried_arrivals", "via_replies", "via_failures"),
)
class CarrierTransport(components.Component):
    """Sends calls to other hosts and receives calls from them."""

    __slots__ = (
        "_loop",
        "_server",
        "_carrier_streams",
        "_call_numbers",
        "_call_by_attempt",
        "_accepted_streams",
        "_stream_keys",
        "_tasks",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._carrier_streams: dict[tuple[str, int], _CarrierStream] = {}
        self._call_numbers = itertools.count(1)
        self._call_by_attempt: dict[int, tuple[tuple[str, int], int]] = {}
        self._accepted_streams: dict[int, _record_streams.RecordStream] = {}
        self._stream_keys = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens for streams of other hosts."""
        self._loop = asyncio.get_running_loop()
        self._server = await sockets.open_server(
            self._accept, self.context.settings.carrier_address
        )

    def close(self) -> None:
        """Closes the listener and all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._accepted_streams.values()):
            stream.close()
        for carrier_stream in self._carrier_streams.values():
            if carrier_stream.stream is not None:
                carrier_stream.stream.close()

    def step(self, now: float) -> float | None:
        """Sends new calls, aborts of attempts, and results.

        New attempts of one request that go to the same host share a call.

        Args:
          now: Monotonic time in seconds.

        Returns:
          None, as the transport is stepped on changes only.
        """
        self._send_calls(self.read_new_records("via_sends"), now)
        self._send_aborts(self.read_new_records("aborts"))
        for outgoing in self.read_new_records("carried_departures"):
            stream = self._accepted_streams.get(outgoing.stream)
            if stream is not None:
                stream.send(outgoing.result)
        return None

    # Outgoing calls.

    def _send_calls(
        self, sends: list[carrier_records.CarrierRequest], now: float
    ) -> None:
        groups: dict[tuple, list[carrier_records.CarrierRequest]] = {}
        for send in sends:
            groups.setdefault(
                (send.carrier_address, send.request.key), []
            ).append(send)
        for (carrier_address, key), group in groups.items():
            number = next(self._call_numbers)
            attempts = tuple((s.attempt, s.target.target) for s in group)
            carrier_stream = self._carrier_streams.get(carrier_address)
            if carrier_stream is None:
                carrier_stream = self._carrier_streams[carrier_address] = (
                    _CarrierStream()
                )
            carrier_stream.pending_calls[number] = (
                key,
                {attempt for attempt, _ in attempts},
            )
            for attempt, _ in attempts:
                self._call_by_attempt[attempt] = (carrier_address, number)
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
            carrier_stream.queued.append(call)
            if len(carrier_stream.queued) == 1:
                self._start_task(self._connect(carrier_address, carrier_stream))

    def _start_task(self, work) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(
        self, carrier_address: tuple[str, int], carrier_stream: _CarrierStream
    ) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, stream = await self._loop.create_connection(
                    lambda: _record_streams.RecordStream(
                        max_frame_bytes=_MAX_RESULT_BYTES,
                        on_record=lambda _, record: self._handle_result(
                            carrier_address, record
                        ),
                        on_closed=lambda _: self._handle_disconnect(
                            carrier_address
                        ),
                    ),
                    *carrier_address,
                )
        except (OSError, TimeoutError):
            queued, carrier_stream.queued = carrier_stream.queued, []
            for call in queued:
                self._fail_call(
                    carrier_address, call.number, verdicts.Verdict.NOT_RUN
                )
            return
        carrier_stream.stream = stream
        queued, carrier_stream.queued = carrier_stream.queued, []
        for call in queued:
            if call.number in carrier_stream.pending_calls:
                # Attempts may have been aborted while the stream was being
                # opened.
                _, unanswered = carrier_stream.pending_calls[call.number]
                attempts = tuple(a for a in call.attempts if a[0] in unanswered)
                stream.send(call.replace(attempts=attempts))

    def _handle_disconnect(self, carrier_address: tuple[str, int]) -> None:
        carrier_stream = self._carrier_streams.pop(carrier_address, None)
        if carrier_stream is None:
            return
        self._carrier_streams[carrier_address] = _CarrierStream()
        self._carrier_streams[
            carrier_address
        ].pending_calls = carrier_stream.pending_calls
        for number in list(carrier_stream.pending_calls):
            self._fail_call(
                carrier_address, number, verdicts.Verdict.MAY_HAVE_RUN
            )

    def _fail_call(
        self,
        carrier_address: tuple[str, int],
        number: int,
        verdict: verdicts.Verdict,
    ) -> None:
        call = self._carrier_streams[carrier_address].pending_calls.pop(
            number, None
        )
        if call is None:
            return
        for attempt in call[1]:
            self._call_by_attempt.pop(attempt, None)
            self.get_writer("via_failures").append(
                exchanges.Reply(
                    attempt=attempt, verdict=verdict, fault="carrier"
                )
            )

    def _send_aborts(self, attempts: list[int]) -> None:
        attempts_by_call: dict[tuple, list[int]] = {}
        for attempt in attempts:
            call = self._call_by_attempt.pop(attempt, None)
            if call is not None:
                attempts_by_call.setdefault(call, []).append(attempt)
        for (carrier_address, number), group in attempts_by_call.items():
            carrier_stream = self._carrier_streams[carrier_address]
            if number not in carrier_stream.pending_calls:
                continue
            unanswered = carrier_stream.pending_calls[number][1]
            unanswered.difference_update(group)
            if carrier_stream.stream is not None:
                carrier_stream.stream.send(
                    carrier_records.Abort(number=number, attempts=tuple(group))
                )
            if not unanswered:
                del carrier_stream.pending_calls[number]

    def _handle_result(self, carrier_address: tuple[str, int], record) -> None:
        carrier_stream = self._carrier_streams[carrier_address]
        if not isinstance(record, carrier_records.Result):
            if carrier_stream.stream is not None:
                carrier_stream.stream.close_with_error(
                    "expected a Result record"
                )
            return
        # The end of a target is also returned for an attempt that was aborted.
        for attempt, fault, verdict in record.failures:
            self.get_writer("via_failures").append(
                carrier_records.build_failure(attempt, fault, verdict)
            )
        call = carrier_stream.pending_calls.get(record.number)
        if call is None:
            return
        key, unanswered = call
        for attempt, _, _ in record.failures:
            unanswered.discard(attempt)
            self._call_by_attempt.pop(attempt, None)
        for attempt, _ in record.parts:
            unanswered.discard(attempt)
            self._call_by_attempt.pop(attempt, None)
        if not unanswered:
            del carrier_stream.pending_calls[record.number]
        if record.parts:
            self.get_writer("via_replies").append(
                carrier_records.MergedReply(
                    key=key,
                    carrier_address=carrier_address,
                    parts=record.parts,
                    body=record.body,
                )
            )

    # Incoming calls.

    def _accept(self) -> _record_streams.RecordStream:
        key = next(self._stream_keys)
        stream = _accepted_streams.AcceptedStream(
            connections=self.context.connections,
            max_frame_bytes=_MAX_CALL_BYTES,
            on_record=lambda _, record: self._handle_call(key, record),
            on_closed=lambda _: self._handle_accepted_closed(key),
        )
        self._accepted_streams[key] = stream
        return stream

    def _handle_call(self, key: int, record) -> None:
        if not isinstance(record, carrier_records.Call | carrier_records.Abort):
            self._accepted_streams[key].close_with_error(
                "expected a Call or Abort record"
            )
            return
        self.get_writer("carried_arrivals").append(
            carrier_records.ReceivedRecord(stream=key, record=record)
        )

    def _handle_accepted_closed(self, key: int) -> None:
        self._accepted_streams.pop(key, None)
        self.get_writer("carried_arrivals").append(
            carrier_records.ReceivedRecord(stream=key, record=None)
        )
