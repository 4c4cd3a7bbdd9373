"""The controller that makes attempts for other hosts and joins replies."""

import heapq
import itertools
import logging

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.decisions import gathers

_LOG = logging.getLogger("bramleyfork.decisions")


class _Call:
    """A call of another host under way.

    Attributes:
      stream: The stream it came on.
      record: The call.
      waiting: The other host's attempt numbers that are not answered.
      replies: Good replies that were not returned yet.
      failures: Failures that were not returned yet.
      is_flushed: Whether replies wait for others no longer.
    """

    __slots__ = (
        "stream",
        "record",
        "waiting",
        "replies",
        "failures",
        "is_flushed",
    )

    def __init__(self, *, stream: int, record: carrier_records.Call):
        self.stream = stream
        self.record = record
        self.waiting: dict[int, int] = {}
        self.replies: list[tuple[int, exchanges.Reply]] = []
        self.failures: list[tuple[int, str, str]] = []
        self.is_flushed = False


@components.register(
    components.CONTROLLERS,
    "carriers",
    reads=("carried_arrivals", "replies"),
    passive_reads=("usable", "listed_targets", "members", "route_table"),
    writes=("carried_sends", "carried_aborts", "carried_departures"),
)
class Carriers(components.Component):
    """Sends attempts of other hosts and returns what came of them."""

    __slots__ = (
        "_calls",
        "_attempts",
        "_numbers",
        "_timers",
        "_limits",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._calls: dict[tuple[int, int], _Call] = {}
        # Calls and the other host's number, by this host's number.
        self._attempts: dict[int, tuple[_Call, int]] = {}
        # Below zero, apart from the attempts for this host's own callers.
        self._numbers = itertools.count(-1, -1)
        self._timers: list[tuple[float, int, tuple[int, int]]] = []
        self._limits = _connection_limits.ConnectionLimits(
            settings=self.context.settings,
            members=self.get_table("members"),
            routes=self.get_table("route_table"),
        )
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Takes calls and replies, and returns what is due."""
        self._now = now
        for received in self.read_new_records("carried_arrivals"):
            self._handle_received(received)
        for reply in self.read_new_records("replies"):
            self._take_reply(reply)
        while self._timers and self._timers[0][0] <= now:
            _, _, key = heapq.heappop(self._timers)
            call = self._calls.get(key)
            if call is not None:
                call.is_flushed = True
                self._flush(call)
        return self._timers[0][0] if self._timers else None

    def _handle_received(
        self, received: carrier_records.ReceivedRecord
    ) -> None:
        if isinstance(received.record, carrier_records.Call):
            self._begin(received.stream, received.record)
        elif isinstance(received.record, carrier_records.Abort):
            call = self._calls.get((received.stream, received.record.number))
            if call is not None:
                self._abort(call, received.record.attempts)
        else:
            # The host that asked is gone.
            for key, call in list(self._calls.items()):
                if key[0] == received.stream:
                    self._abort(call, tuple(call.waiting))

    def _begin(self, stream: int, record: carrier_records.Call) -> None:
        call = _Call(stream=stream, record=record)
        key = (stream, record.number)
        self._calls[key] = call
        for attempt, name in record.attempts:
            target = self._find_target(name)
            if target is None:
                call.failures.append(
                    (attempt, "not_usable", verdicts.Verdict.NOT_RUN.value)
                )
                continue
            number = next(self._numbers)
            call.waiting[attempt] = number
            self._attempts[number] = (call, attempt)
            self.get_writer("carried_sends").append(
                exchanges.TargetRequest(
                    attempt=number,
                    request=record.request,
                    target=target,
                    deadline_at=self._now + record.wait_s,
                    connection_limit=self._limits.find(target),
                )
            )
        self.context.metrics.count("carried_calls")
        flush_at = self._now + record.flush_s
        heapq.heappush(self._timers, (flush_at, next(self._numbers), key))
        if call.failures:
            self._flush(call)

    def _find_target(self, name: str):
        """Returns a target that this host too would send to, or None."""
        listed = self.get_table("listed_targets").get(name)
        if listed is None:
            return None
        for target in self.get_table("usable").get(listed.service) or ():
            if target.target == name:
                return target
        return None

    def _take_reply(self, reply: exchanges.Reply) -> None:
        found = self._attempts.pop(reply.attempt, None)
        if found is None:
            return
        call, attempt = found
        del call.waiting[attempt]
        if not reply.fault and 200 <= reply.status < 300:
            call.replies.append((attempt, reply))
        else:
            fault = reply.fault or f"status_{reply.status}"
            call.failures.append((attempt, fault, reply.verdict.value))
        # Replies wait for each other for a while; failures don't, as the
        # other host has to ask elsewhere.
        if not call.waiting or call.is_flushed or call.failures:
            self._flush(call)

    def _flush(self, call: _Call) -> None:
        if call.replies or call.failures:
            body = gathers.merge_records(
                [reply.body for _, reply in call.replies],
                call.record.record_limit,
            )
            self.get_writer("carried_departures").append(
                carrier_records.OutgoingResult(
                    stream=call.stream,
                    result=carrier_records.Result(
                        number=call.record.number,
                        parts=tuple((a, r.stamp) for a, r in call.replies),
                        body=body,
                        failures=tuple(call.failures),
                    ),
                )
            )
            call.replies, call.failures = [], []
        if not call.waiting:
            self._calls.pop((call.stream, call.record.number), None)

    def _abort(self, call: _Call, attempts: tuple[int, ...]) -> None:
        for attempt in attempts:
            number = call.waiting.pop(attempt, None)
            if number is not None:
                del self._attempts[number]
                self.get_writer("carried_aborts").append(number)
        call.replies = [r for r in call.replies if r[0] not in attempts]
        if not call.waiting:
            self._flush(call)
