"""The controller that acts as a carrier for other entry hosts.

A host in another data centre sends a call with several attempts of a request.
This host sends them to targets and returns the replies merged.
"""

import heapq
import itertools
import logging

from bramleyfork.core import verdicts
from bramleyfork.entry import carrier_records
from bramleyfork.entry import components
from bramleyfork.entry import exchanges
from bramleyfork.entry.controllers import _aborted_attempts
from bramleyfork.entry.controllers import _connection_limits
from bramleyfork.entry.controllers import _evidence
from bramleyfork.entry.decisions import fingerprints
from bramleyfork.entry.decisions import gathers
from bramleyfork.entry.decisions import quarantine

_LOG = logging.getLogger("bramleyfork.decisions")


class _Call:
    """A call in progress.

    Attributes:
      stream: Number of the stream that the call was received on.
      record: The call as received.
      pending: This host's numbers of unanswered attempts, by the number that
        the calling host gave them.
      replies: Successful replies not returned yet, with the calling host's
        attempt numbers.
      failures: Failures not returned yet: the calling host's attempt number,
        fault and verdict.
      is_flushed: Whether the flush delay has passed, so that replies are
        returned at once.
    """

    __slots__ = (
        "stream",
        "record",
        "pending",
        "replies",
        "failures",
        "is_flushed",
    )

    def __init__(self, *, stream: int, record: carrier_records.Call):
        self.stream = stream
        self.record = record
        self.pending: dict[int, int] = {}
        self.replies: list[tuple[int, exchanges.Reply]] = []
        self.failures: list[tuple[int, str, str]] = []
        self.is_flushed = False


@components.register(
    components.CONTROLLERS,
    "carriers",
    reads=("carried_arrivals", "replies"),
    passive_reads=(
        "usable",
        "listed_targets",
        "members",
        "route_table",
        "request_observations",
    ),
    writes=("carried_sends", "carried_aborts", "carried_departures"),
)
class Carriers(components.Component):
    """Makes attempts for other hosts and returns their results."""

    __slots__ = (
        "_calls",
        "_attempts",
        "_aborted",
        "_numbers",
        "_timers",
        "_limits",
        "_evidence",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._calls: dict[tuple[int, int], _Call] = {}
        # Call and the calling host's attempt number by this host's number.
        self._attempts: dict[int, tuple[_Call, int]] = {}
        self._aborted: _aborted_attempts.AbortedAttempts[tuple[_Call, int]] = (
            _aborted_attempts.AbortedAttempts()
        )
        # Negative numbers, to tell them from attempts for this host's callers.
        self._numbers = itertools.count(-1, -1)
        self._timers: list[tuple[float, int, tuple[int, int]]] = []
        self._limits = _connection_limits.ConnectionLimits(
            settings=self.context.settings,
            members=self.get_table("members"),
            routes=self.get_table("route_table"),
        )
        self._evidence = _evidence.EvidenceReader(
            settings=self.context.settings,
            known=self.get_table("request_observations"),
            members=self.get_table("members"),
        )
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Handles calls, aborts and replies, then flushes calls when due."""
        self._now = now
        for received in self.read_new_records("carried_arrivals"):
            self._handle_record(received)
        for reply in self.read_new_records("replies"):
            self._handle_reply(reply)
        while self._timers and self._timers[0][0] <= now:
            _, _, key = heapq.heappop(self._timers)
            call = self._calls.get(key)
            if call is not None:
                call.is_flushed = True
                self._flush(call)
        return self._timers[0][0] if self._timers else None

    def _handle_record(self, received: carrier_records.ReceivedRecord) -> None:
        if isinstance(received.record, carrier_records.Call):
            self._handle_call(received.stream, received.record)
        elif isinstance(received.record, carrier_records.Abort):
            call = self._calls.get((received.stream, received.record.number))
            if call is not None:
                self._abort(call, received.record.attempts)
        else:
            # The stream of the calling host was closed.
            for key, call in list(self._calls.items()):
                if key[0] == received.stream:
                    self._abort(call, tuple(call.pending))

    def _handle_call(self, stream: int, record: carrier_records.Call) -> None:
        call = _Call(stream=stream, record=record)
        key = (stream, record.number)
        self._calls[key] = call
        is_free = self._is_free(record.request)
        for attempt, name in record.attempts:
            target = self._find_target(name) if is_free else None
            if target is None:
                fault = "not_usable" if is_free else "quarantined"
                call.failures.append(
                    (attempt, fault, verdicts.Verdict.NOT_RUN.value)
                )
                continue
            number = next(self._numbers)
            call.pending[attempt] = number
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

    def _is_free(self, request: exchanges.CallerRequest) -> bool:
        """Returns whether a request may be sent to several targets at once.

        A suspect is tried by the host that received it.
        """
        if self._evidence.is_empty():
            return True
        fingerprint = fingerprints.compute_fingerprint(request)
        ruling = self._evidence.judge(fingerprint, self._now)
        return ruling is quarantine.Ruling.FREE

    def _find_target(self, name: str):
        """Returns the target of a name if this host may use it, or None."""
        listed = self.get_table("listed_targets").get(name)
        if listed is None:
            return None
        for target in self.get_table("usable").get(listed.service) or ():
            if target.target == name:
                return target
        return None

    def _handle_reply(self, reply: exchanges.Reply) -> None:
        found = self._attempts.pop(reply.attempt, None)
        if found is None:
            self._handle_late(reply)
            return
        call, attempt = found
        del call.pending[attempt]
        if not reply.fault and 200 <= reply.status < 300:
            call.replies.append((attempt, reply))
        else:
            fault = reply.fault or f"status_{reply.status}"
            call.failures.append((attempt, fault, reply.verdict.value))
        # Replies are held back until the flush delay to be merged. Failures are
        # returned at once, so that the calling host can retry elsewhere.
        if not call.pending or call.is_flushed or call.failures:
            self._flush(call)

    def _handle_late(self, reply: exchanges.Reply) -> None:
        """Returns the end of a target whose attempt was aborted meanwhile."""
        found = self._aborted.pop(reply.attempt)
        if found is None or reply.fault != "ended":
            return
        call, attempt = found
        call.failures.append((attempt, reply.fault, reply.verdict.value))
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
        if not call.pending:
            self._calls.pop((call.stream, call.record.number), None)

    def _abort(self, call: _Call, attempts: tuple[int, ...]) -> None:
        for attempt in attempts:
            number = call.pending.pop(attempt, None)
            if number is not None:
                del self._attempts[number]
                self._aborted.add(number, (call, attempt), self._now)
                self.get_writer("carried_aborts").append(number)
        call.replies = [r for r in call.replies if r[0] not in attempts]
        if not call.pending:
            self._flush(call)
