"""Finds out whether a request may be sent, and records how its attempts end."""

import collections.abc
import typing

from bramleyfork.core import verdicts
from bramleyfork.entry import declarations
from bramleyfork.entry import exchanges
from bramleyfork.entry import observations
from bramleyfork.entry.controllers import _evidence
from bramleyfork.entry.controllers import _exchange
from bramleyfork.entry.decisions import observations as kinds
from bramleyfork.entry.decisions import quarantine


class Quarantine:
    """Rules on the requests of this host's callers.

    Args:
      reader: Reads what hosts have observed.
      has_target: Returns whether a service has a usable target.
      writer: Writer of the section "request_findings".
    """

    __slots__ = (
        "_has_target",
        "_reader",
        "_writer",
        "_trials",
        "_targets_on_trial",
    )

    def __init__(
        self,
        *,
        reader: _evidence.EvidenceReader,
        has_target: collections.abc.Callable[[str], bool],
        writer: typing.Any,
    ):
        self._reader = reader
        self._has_target = has_target
        self._writer = writer
        # Key of the request that is being tried, by fingerprint.
        self._trials: dict[str, int] = {}
        # Number of the trial in flight, by target.
        self._targets_on_trial: dict[str, int] = {}

    def find_ruling(
        self, exchange: _exchange.Exchange, now: float
    ) -> quarantine.Ruling:
        """Returns whether a request may be sent to targets."""
        if self._reader.is_empty() and not exchange.crashes:
            return quarantine.Ruling.FREE
        # The controller "observations" publishes them in its next step.
        if exchange.crashes and not self._reader.is_published(exchange, now):
            return quarantine.Ruling.HELD
        fingerprint = exchange.find_fingerprint()
        ruling = self._reader.judge(fingerprint, now)
        tried_by = self._trials.get(fingerprint, exchange.request.key)
        if (
            ruling is quarantine.Ruling.TRIAL
            and tried_by != exchange.request.key
        ):
            return quarantine.Ruling.HELD
        return ruling

    def may_send(
        self,
        exchange: _exchange.Exchange,
        shard: _exchange.Shard,
        target: declarations.ListedTarget,
        now: float,
    ) -> bool:
        """Returns whether a shard may be sent to a target.

        A suspect is tried at one shard at a time. Until any shard has answered
        it, it is tried at a target that runs no other trial, so that an end
        shows which request caused it.
        """
        ruling = self.find_ruling(exchange, now)
        if ruling is not quarantine.Ruling.TRIAL:
            return ruling is quarantine.Ruling.FREE
        evidence = self._reader.read(exchange.find_fingerprint(), now)
        if not quarantine.needs_trial(evidence, shard.service):
            return True
        if exchange.trials:
            return any(attempt.is_trial for attempt in shard.attempts)
        is_taken = target.target in self._targets_on_trial
        if is_taken and not quarantine.has_answer(evidence):
            return False
        return shard.service == self._choose_trial_service(exchange, evidence)

    def _choose_trial_service(
        self, exchange: _exchange.Exchange, evidence: quarantine.Evidence
    ) -> str:
        """Returns the service at which a suspect is tried first, or "".

        It is one whose targets have ended, if such a one is in use. Requests
        that were in flight together are spread over these services, so that one
        which crashes targets doesn't incriminate the others.
        """
        suspects = quarantine.list_suspect_services(evidence)
        sendable = [
            shard.service
            for shard in exchange.shards
            if shard.is_pending() and self._has_target(shard.service)
        ]
        found = [s for s in sendable if s in suspects] or sendable
        if not found:
            return ""
        return found[int(exchange.fingerprint, 16) % len(found)]

    def is_refused(self, exchange: _exchange.Exchange, now: float) -> bool:
        """Returns whether a request may never be sent again."""
        return self.find_ruling(exchange, now) is quarantine.Ruling.REFUSED

    def find_retry_delay(
        self, exchange: _exchange.Exchange, now: float
    ) -> float:
        """Returns the seconds until a refused request may be sent again."""
        evidence = self._reader.read(exchange.find_fingerprint(), now)
        return max(0.0, quarantine.find_refusal_end(evidence) - now)

    def start_trial_if_suspect(
        self, attempt: _exchange.Attempt, now: float
    ) -> None:
        """Marks an attempt as a trial if its request is a suspect."""
        exchange = attempt.exchange
        if self.find_ruling(exchange, now) is not quarantine.Ruling.TRIAL:
            return
        evidence = self._reader.read(exchange.find_fingerprint(), now)
        if not quarantine.needs_trial(evidence, attempt.shard.service):
            return
        attempt.is_trial = True
        exchange.trials.add(attempt.number)
        self._targets_on_trial[attempt.target.target] = attempt.number
        self._trials[exchange.find_fingerprint()] = exchange.request.key

    def record_end(self, attempt: _exchange.Attempt) -> None:
        """Records that an attempt isn't in flight any more."""
        if not attempt.is_trial:
            return
        exchange = attempt.exchange
        exchange.trials.discard(attempt.number)
        target = attempt.target.target
        if self._targets_on_trial.get(target) == attempt.number:
            del self._targets_on_trial[target]
        fingerprint = exchange.find_fingerprint()
        is_own = self._trials.get(fingerprint) == exchange.request.key
        if is_own and not exchange.trials:
            del self._trials[fingerprint]

    def record_reply(
        self, attempt: _exchange.Attempt, reply: exchanges.Reply, now: float
    ) -> None:
        """Records how an attempt ended.

        An answer of any status shows that the target survived the request. A
        trial whose connection was lost counts as a crash even if the target
        was up again when it was checked.
        """
        self.record_end(attempt)
        if reply.fault == "ended" or (
            reply.fault == "lost" and attempt.is_trial
        ):
            self._record_crash(attempt)
        elif reply.fault == "lost":
            attempt.exchange.losses += 1
        elif not reply.fault and reply.verdict is verdicts.Verdict.RAN:
            attempt.exchange.is_answered = True
            self.record_completion(attempt, now)

    def record_failure(self, exchange: _exchange.Exchange) -> None:
        """Records that a request ended without an answer.

        If its connections were lost, its targets may have ended and started
        again at once. It counts as one crash then.
        """
        if exchange.is_answered or exchange.crashes or not exchange.losses:
            return
        self._write_crash(
            exchange, exchange.shards[0].service, kind=kinds.CRASH
        )

    def record_completion(self, attempt: _exchange.Attempt, now: float) -> None:
        """Records that a target has answered an attempt."""
        exchange = attempt.exchange
        if self._reader.is_empty() and not exchange.crashes:
            return
        fingerprint = exchange.find_fingerprint()
        evidence = self._reader.read(fingerprint, now)
        is_suspect = evidence.crashes or evidence.trial_crashes
        if not exchange.crashes and not is_suspect:
            return
        service = attempt.shard.service
        if not quarantine.is_worth_telling(
            evidence, service, is_trial=attempt.is_trial
        ):
            return
        is_cleared = (
            attempt.is_trial
            and service in quarantine.list_suspect_services(evidence)
        )
        self._writer.append(
            observations.Finding(
                kind=kinds.COMPLETION,
                subject=fingerprint,
                service=service,
                value=float(is_cleared),
            )
        )

    def _record_crash(self, attempt: _exchange.Attempt) -> None:
        attempt.exchange.crashes += 1
        self._write_crash(
            attempt.exchange,
            attempt.shard.service,
            kind=kinds.TRIAL_CRASH if attempt.is_trial else kinds.CRASH,
        )

    def _write_crash(
        self, exchange: _exchange.Exchange, service: str, *, kind: str
    ) -> None:
        self._writer.append(
            observations.Finding(
                kind=kind,
                subject=exchange.find_fingerprint(),
                occasion=exchange.find_occasion(),
                service=service,
                value=1.0,
            )
        )
