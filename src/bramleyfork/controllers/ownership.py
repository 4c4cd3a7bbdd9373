"""The controller that sends sub-requests to the targets this host owns.

An owner holds a fixed share of a target's limits. Routers on all hosts send
their sub-requests through the owners, which queue them and keep to the share.
"""

import collections
import logging
import zlib

from bramleyfork.configuration import settings as settings_module
from bramleyfork.controllers import _owned_target
from bramleyfork.controllers import _share_finder
from bramleyfork.core import controllers
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts
from bramleyfork.decisions import admission
from bramleyfork.decisions import lease as lease_decisions
from bramleyfork.decisions import shares
from bramleyfork.decisions import warmup

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)

# Result codes whose elapsed time is not a latency of the target.
_UNTIMED_CODES = frozenset({"connect_failed", "expired", "cancelled", "shed"})


@controllers.register(
    "ownership",
    reads=(
        "subrequests",
        "peer_subrequests",
        "attempt_results",
        "declaration",
        "targets",
        "lease",
    ),
    passive_reads=("quarantine",),
    writes=(
        "attempts",
        "subreplies",
        "owned",
        "owned_sightings",
        "suspicions",
    ),
    loop=controllers.REQUEST_LOOP,
)
class OwnershipController(controllers.Controller):
    """Queues and sends sub-requests at a limited rate; replies to routers.

    Attributes:
      counters: Under "replies", the number of replies by code.
    """

    __slots__ = (
        "counters",
        "_shares",
        "_owned",
        "_target_by_attempt",
        "_queued_targets",
        "_replies",
    )

    settings: settings_module.Settings

    def start(self) -> None:
        """Sets the initial state."""
        # The code "queue_full" counts sub-requests that this host has shed.
        self.counters = {"replies": collections.Counter()}
        self._shares = _share_finder.ShareFinder(host=self.settings.host)
        self._owned: dict[str, _owned_target.OwnedTarget] = {}
        self._target_by_attempt: dict[str, str] = {}
        self._queued_targets: set[str] = (
            set()
        )  # Targets with queued sub-requests.
        self._replies: list[replies.SubReply] = []

    def step(self, now: float) -> float | None:
        """Handles results and new sub-requests, then sends what is due.

        Returns:
          When a queued sub-request may be sent or expires, monotonic seconds;
          None if nothing is queued.
        """
        self._apply_declaration(now)
        for result in self.read_new_records("attempt_results"):
            self._finish_attempt(result, now)
        for record in self.read_new_records("peer_subrequests"):
            self._accept_record(record, now)
        for record in self.read_new_records("subrequests"):
            if record.owner == self.settings.host:
                self._accept_record(record, now)
        due = [self._dispatch(name, now) for name in list(self._queued_targets)]
        self.get_writer("subreplies").extend(self._replies)
        self._replies = []
        return min((d for d in due if d is not None), default=None)

    def _apply_declaration(self, now: float) -> None:
        active = self.get_table("declaration").get("in_force")
        if active is None or active.declaration is self._shares.declaration:
            return
        for target in self._shares.use_declaration(active.declaration):
            self._update_share(target, now)
        for name in self._owned.keys() - active.declaration.targets.keys():
            self._drop_target(name, now)

    def _update_share(self, target: declarations.Target, now: float) -> None:
        share = self._shares.find_share(target)
        owned = self._owned.get(target.name)
        if owned is None and share == shares.NO_SHARE:
            return
        if owned is None:
            owned = _owned_target.OwnedTarget(name=target.name)
            self._owned[target.name] = owned
            self.get_writer("owned").put(target.name, owned)
        owned.address = target.address
        owned.service = self._shares.declaration.services[target.service]
        # The activation delay also applies to a starting process, as requests
        # of the previous process on this host may still be running.
        if owned.change_share(share, now):
            _DECISION_LOG.info(
                "share changed",
                extra={"target": target.name, "in_flight": share.in_flight},
            )

    def _drop_target(self, name: str, now: float) -> None:
        """Refuses the queue of an undeclared target and removes it.

        With requests in flight it is removed after the last result.
        """
        owned = self._owned[name]
        owned.change_share(shares.NO_SHARE, now)
        for request in owned.drain_queue():
            self._refuse(request, "no_share", now)
        self._queued_targets.discard(name)
        if not owned.in_flight:
            del self._owned[name]
            self.get_writer("owned").remove(name)

    def _accept_record(
        self, record: requests.SubRequest | requests.Cancel, now: float
    ) -> None:
        """Queues or refuses a sub-request, or handles a cancellation."""
        if isinstance(record, requests.Cancel):
            self._cancel(record.attempt_id)
            return
        owned = self._owned.get(record.target)
        if owned is None:
            self._refuse(record, "no_share", now)
            return
        owned.activate_pending_share(now)
        code = admission.find_refusal(
            record,
            share=owned.share,
            status=self.get_table("targets").get(record.target),
            quarantined=self.get_table("quarantine").get(record.fingerprint),
            min_latency_s=_estimate_min_latency(owned, now),
            now=now,
        )
        if code is not None:
            self._refuse(record, code, now)
            return
        shed = owned.queue.add(record)
        if shed is not None:
            self._refuse(shed, "queue_full", now)
        self._queued_targets.add(record.target)

    def _cancel(self, attempt_id: str) -> None:
        """Removes a queued attempt, or sends a cancellation if it runs."""
        target = self._target_by_attempt.get(attempt_id)
        if target is None:
            for name in self._queued_targets:
                if self._owned[name].queue.remove(attempt_id) is not None:
                    return
            return
        owned = self._owned.get(target)
        if owned is None:
            return
        request = owned.in_flight[attempt_id]
        self.get_writer("attempts").append(
            self._build_attempt(owned, request, is_cancellation=True)
        )

    def _dispatch(self, name: str, now: float) -> float | None:
        """Sends the queued sub-requests that the share allows now.

        Returns:
          When to try again, monotonic seconds; None if the queue is empty.
        """
        owned = self._owned[name]
        # A request that cannot finish before its deadline would waste a slot
        # of the target. Under overload, most requests wait in the queue until
        # shortly before their deadline.
        late = owned.queue.pop_expired(now + _estimate_min_latency(owned, now))
        for request in late:
            self._refuse(request, "expired", now)
        status = self.get_table("targets").get(name)
        if status is not None and status.state != "usable":
            for request in owned.drain_queue():
                code = "leaving" if status.state == "leaving" else "target_out"
                self._refuse(request, code, now)
        while len(owned.queue):
            if not self._holds_lease(now):
                self._refuse(owned.queue.pop(), "no_lease", now)
                continue
            due = self._find_send_time(owned, now)
            if due is None:
                return owned.queue.find_earliest_deadline()
            if due > now:
                return min(due, owned.queue.find_earliest_deadline())
            self._send(owned, owned.queue.pop(), now)
        self._queued_targets.discard(name)
        return None

    def _holds_lease(self, now: float) -> bool:
        return lease_decisions.is_held(
            self.get_table("lease").get("current"), now
        )

    def _find_send_time(
        self, owned: _owned_target.OwnedTarget, now: float
    ) -> float | None:
        """Returns when the next queued sub-request may be sent.

        Returns:
          Monotonic seconds; None while a result must arrive first.
        """
        if len(self._target_by_attempt) >= self.settings.target_threads:
            return None
        if owned.exclusive:
            return None
        request = owned.queue.peek()
        entry = self.get_table("quarantine").get(request.fingerprint)
        if admission.must_run_exclusively(request, entry) and owned.in_flight:
            return None
        return warmup.find_send_time(
            owned.warmup_state,
            share=owned.share,
            in_flight=len(owned.in_flight),
            now=now,
        )

    def _send(
        self,
        owned: _owned_target.OwnedTarget,
        request: requests.SubRequest,
        now: float,
    ) -> None:
        entry = self.get_table("quarantine").get(request.fingerprint)
        owned.exclusive = admission.must_run_exclusively(request, entry)
        owned.in_flight[request.attempt_id] = request
        self._target_by_attempt[request.attempt_id] = owned.name
        warmup.record_send(owned.warmup_state, share=owned.share, now=now)
        self.get_writer("attempts").append(self._build_attempt(owned, request))

    def _build_attempt(
        self,
        owned: _owned_target.OwnedTarget,
        request: requests.SubRequest,
        is_cancellation: bool = False,
    ) -> replies.Attempt:
        return replies.Attempt(
            attempt_id=request.attempt_id,
            address=owned.address,
            connection_limit=max(1, owned.share.connections),
            request=request,
            is_cancellation=is_cancellation,
        )

    def _finish_attempt(
        self, result: replies.AttemptResult, now: float
    ) -> None:
        name = self._target_by_attempt.pop(result.attempt_id, None)
        if name is None:
            return
        owned = self._owned[name]
        if len(owned.queue):
            self._queued_targets.add(name)
        if result.code == "died":
            self._report_broken_connection(owned, now)
        request = owned.in_flight.pop(result.attempt_id)
        was_exclusive = owned.exclusive
        owned.exclusive = False
        self._update_target(owned, result, now)
        warmup.record_result(owned.warmup_state, share=owned.share, now=now)
        if was_exclusive and result.code == "ok":
            self.get_writer("suspicions").append(
                fleet.SuspectCleared(
                    fingerprint=request.fingerprint, target=name
                )
            )
        self._answer(_build_reply(request, result, len(owned.queue)))
        if name not in self._shares.declaration.targets and not owned.in_flight:
            del self._owned[name]
            self.get_writer("owned").remove(name)

    def _report_broken_connection(
        self, owned: _owned_target.OwnedTarget, now: float
    ) -> None:
        """Marks a target as cold after its connection broke.

        Reports the requests that were in flight.
        """
        warmup.mark_cold(
            owned.warmup_state, "connection broke during a request"
        )
        if not owned.in_flight:
            return
        fingerprints = {r.fingerprint for r in owned.in_flight.values()}
        self.get_writer("suspicions").append(
            fleet.TargetDeath(
                target=owned.name,
                fingerprints=tuple(sorted(fingerprints)),
                alone=owned.exclusive,
                died_at=now,
            )
        )
        _DECISION_LOG.info(
            "target connection broke with requests in flight",
            extra={"target": owned.name, "in_flight": len(owned.in_flight)},
        )

    def _update_target(
        self,
        owned: _owned_target.OwnedTarget,
        result: replies.AttemptResult,
        now: float,
    ) -> None:
        """Updates warm-up state and latency, and publishes a new report."""
        if result.code == "connect_failed":
            warmup.mark_cold(owned.warmup_state, "connection refused")
            return
        if result.report is None:
            return
        before = owned.warmup_state.state
        warmup.record_reply(
            owned.warmup_state,
            now=now,
            epoch=result.report.epoch,
            reported_state=result.report.state,
            cold_period_s=owned.service.cold_period_s,
            jumped=warmup.detect_jump(
                result.elapsed_s, owned.latency.mean_s, owned.latency.count
            ),
        )
        if owned.warmup_state.state != before:
            _DECISION_LOG.info(
                "target warm-up state changed",
                extra={
                    "target": owned.name,
                    "state": owned.warmup_state.state,
                    "reason": owned.warmup_state.reason,
                },
            )
        if result.code not in _UNTIMED_CODES:
            owned.latency.record(result.elapsed_s)
        if owned.record_report(result.report):
            self.get_writer("owned_sightings").append(
                fleet.TargetObservation(
                    target=owned.name, report=result.report, seen_at=now
                )
            )

    def _answer(self, reply: replies.SubReply) -> None:
        self.counters["replies"][reply.code] += 1
        self._replies.append(reply)

    def _refuse(
        self, request: requests.SubRequest, code: str, now: float
    ) -> None:
        """Replies to a sub-request that was not sent to its target."""
        owned = self._owned.get(request.target)
        length = len(owned.queue) if owned is not None else 0
        retry_after_ms = None
        if owned is not None and code == "queue_full":
            retry_after_ms = admission.estimate_retry_after(
                length,
                owned.latency.mean_s,
                owned.service.slots,
                zlib.crc32(request.query_id.encode()) % 1000 / 1000,
            )
        self._answer(
            replies.SubReply(
                attempt_id=request.attempt_id,
                query_id=request.query_id,
                router=request.router,
                owner=request.owner,
                target=request.target,
                verdict=verdicts.Verdict.NOT_RUN,
                code=code,
                key_range=None,
                snapshot=None,
                queue_length=length,
                retry_after_ms=retry_after_ms,
            )
        )


def _estimate_min_latency(
    owned: _owned_target.OwnedTarget, now: float
) -> float:
    """Returns the latency below which few replies arrive, seconds.

    It is 0 if there are no recent replies.
    """
    stale = warmup.is_stale(owned.warmup_state, now)
    return admission.estimate_min_latency(owned.latency, stale=stale)


def _build_reply(
    request: requests.SubRequest,
    result: replies.AttemptResult,
    queue_length: int,
) -> replies.SubReply:
    return replies.SubReply(
        attempt_id=request.attempt_id,
        query_id=request.query_id,
        router=request.router,
        owner=request.owner,
        target=request.target,
        verdict=result.verdict,
        code=result.code,
        key_range=result.key_range,
        snapshot=result.snapshot,
        records=result.records,
        report=result.report,
        queue_length=queue_length,
        service_time_s=result.elapsed_s,
        retry_after_ms=result.retry_after_ms,
        detail=result.detail,
    )
