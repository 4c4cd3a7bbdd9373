"""The controller that runs SWIM membership and renews the control lease.

The lease is this host's right to start work on targets. It is renewed while
peers or the platform confirm the active configuration.
"""

import collections.abc
import logging
import math
import random
import typing

from bramleyfork.controllers import _member_table
from bramleyfork.core import controllers
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import registries
from bramleyfork.decisions import lease as leases
from bramleyfork.decisions import membership
from bramleyfork.decisions import platform_confirmations
from bramleyfork.decisions import probes

_LOG = logging.getLogger(__name__)

# A step that is this late means that the process was paused or its loop was
# blocked, so missing acks say nothing about the other hosts.
_STALL_S = 0.5

# Sequence number of an ack that answers no ping and only carries updates.
_UPDATES_ONLY = 0

Handler = collections.abc.Callable[
    ["MembershipController", messages.Received], None
]

# Handlers of control messages, by class name.
HANDLERS: registries.Registry[Handler] = registries.Registry(
    kind="membership message"
)


@controllers.register(
    "membership",
    reads=("peer_control", "platform_results", "declaration", "lifecycle"),
    writes=("members", "lease", "membership_out"),
    passive_reads=("routes",),
)
class MembershipController(controllers.Controller):
    """Pings peers, answers pings, disseminates updates, renews the lease."""

    __slots__ = (
        "_random",
        "_member_records",
        "_pings",
        "_rotation",
        "_period_at",
        "_period",
        "_declared",
        "_pending_confirmation",
        "_seen_manifest",
        "_last_manifest_result",
        "_last_answering_peer",
        "_next_step_at",
        "_now",
    )

    def start(self) -> None:
        """Sets the initial state."""
        host, incarnation = self.settings.host, self.settings.incarnation
        self._random = random.Random(f"{host} {incarnation}")
        self._member_records = _member_table.MemberTable(
            host=host,
            incarnation=incarnation,
            table=self.get_table("members"),
            writer=self.get_writer("members"),
        )
        self._pings = probes.PendingPings()
        self._rotation = membership.Rotation(hosts=(), rng=self._random)
        self._period_at = -math.inf
        self._period = 0
        self._declared: declarations.Declaration | None = None
        self._pending_confirmation: leases.Confirmation | None = None
        self._seen_manifest: platform_confirmations.SeenManifest | None = None
        self._last_manifest_result: platform_calls.PlatformResult | None = None
        self._last_answering_peer: str | None = None
        self._next_step_at = math.inf
        self._now = -math.inf

    def step(self, now: float) -> float | None:
        """Handles messages and platform results, then runs due timers.

        Returns:
          When to run again without new input, monotonic seconds.
        """
        self._now = now
        if now > self._next_step_at + _STALL_S:
            self._handle_stall()
        self._apply_declaration()
        for received in self.read_new_records("peer_control"):
            kind = type(received.message).__name__
            if kind in HANDLERS.list_names():
                HANDLERS.find(kind)(self, received)
        for result in self.read_new_records("platform_results"):
            self._handle_platform_result(result)
        self._member_records.expire_suspicions(now)
        self._pings.remove_expired(now)
        if now >= self._period_at:
            self._begin_period()
        self._send_ping_requests()
        self._update_own()
        self._next_step_at = self._find_wake_time()
        return self._next_step_at

    def _handle_stall(self) -> None:
        """Discards the current probe and restarts the suspicion timeouts."""
        _LOG.warning(
            "membership step was late; suspicion timeouts restarted",
            extra={"paused_s": round(self._now - self._next_step_at, 3)},
        )
        self._pings.drop_probe()
        self._member_records.restart_suspicions(self._now)

    def _find_wake_time(self) -> float:
        wanted = [
            self._period_at,
            self._pings.find_wake_time(),
            self._member_records.find_wake_time(),
        ]
        current = self.get_table("lease").get("current")
        if leases.is_held(current, self._now):
            wanted.append(current.expires_at)
        return min(wanted)

    # Declaration and lease.

    def _apply_declaration(self) -> None:
        active = self.get_table("declaration").get("in_force")
        declared = active.declaration if active else None
        if declared is self._declared:
            return
        before = set(self._declared.hosts) if self._declared else set()
        self._declared = declared
        hosts = set(declared.hosts) if declared else set()
        if hosts != before:
            # The order differs between hosts, so that hosts that start at the
            # same time do not all ping the same one.
            self._member_records.set_declared_hosts(
                self._random.sample(sorted(hosts), len(hosts))
            )
            self._rotation = membership.Rotation(
                hosts=hosts - {self.settings.host}, rng=self._random
            )
            self._pings.drop_probe()
            self._period_at = self._now
            if self._last_answering_peer not in hosts:
                self._last_answering_peer = None
        current = self.get_table("lease").get("current")
        self._put_lease(
            leases.apply_declaration(current, declared, self.settings.host)
        )
        if self._pending_confirmation is not None:
            self._apply_confirmation(self._pending_confirmation)
        if self._last_manifest_result is not None:
            self._apply_platform_result(self._last_manifest_result)

    def _apply_confirmation(self, confirmation: leases.Confirmation) -> None:
        """Renews the lease with a confirmation of the active configuration.

        A confirmation of a newer configuration is kept until that one is
        active.
        """
        self._pending_confirmation = leases.choose_pending_confirmation(
            self._pending_confirmation, confirmation, self._declared
        )
        if self._declared is None:
            return
        if self.settings.host not in self._declared.hosts:
            return
        current = self.get_table("lease").get("current")
        self._put_lease(leases.renew(current, confirmation, self._declared))

    def _put_lease(self, lease: fleet.Lease | None) -> None:
        if lease is self.get_table("lease").get("current"):
            return
        if lease is None:
            self.get_writer("lease").remove("current")
            return
        self.get_writer("lease").put("current", lease)

    def _handle_platform_result(
        self, result: platform_calls.PlatformResult
    ) -> None:
        seen = platform_confirmations.read_manifest(result)
        if seen is not None:
            self._seen_manifest = seen
        if platform_confirmations.is_about_manifest(result):
            self._last_manifest_result = result
            self._apply_platform_result(result)

    def _apply_platform_result(
        self, result: platform_calls.PlatformResult
    ) -> None:
        declared = self._declared
        if declared is not None and platform_confirmations.confirms(
            result, self._seen_manifest, declared.digest
        ):
            self._apply_confirmation(
                platform_confirmations.build_confirmation(
                    result, declared.revision, declared.digest
                )
            )

    def _update_own(self) -> None:
        phase = self.get_table("lifecycle").get("current")
        is_leaving = phase is not None and phase.phase in ("leaving", "stopped")
        current = self.get_table("lease").get("current")
        routes = len(self.get_table("routes"))
        self._member_records.update_own(
            state="leaving" if is_leaving else "alive",
            leased=leases.is_held(current, self._now),
            load=min(1.0, routes / max(1, self.settings.caller_threads)),
            now=self._now,
        )

    # Pings.

    def _begin_period(self) -> None:
        """Begins a protocol period.

        Suspects the host that did not answer in the last period, probes the
        next one and, every few periods, pings one that is dead or unknown. If
        the lease is about to expire, also pings the peer that answered last.
        """
        self._update_own()
        unanswered = self._pings.pop_unanswered_probe()
        if unanswered is not None:
            self._suspect(unanswered)
        self._period += 1
        self._period_at = self._now + membership.PROTOCOL_PERIOD_S
        target = self._rotation.choose_next(self._member_records.is_reachable)
        if target is not None:
            self._ping(target, is_probe=True)
        if target is None or self._period % membership.ABSENT_EVERY == 0:
            absent = self._member_records.choose_absent()
            if absent is not None:
                self._ping(absent)
        if self._last_answering_peer not in (
            None,
            target,
        ) and leases.needs_renewal(
            self.get_table("lease").get("current"), self._now
        ):
            self._ping(self._last_answering_peer)

    def _suspect(self, host: str) -> None:
        if self._member_records.suspect(host, self._now):
            # The ping carries the suspicion, so that the host can refute it at
            # once. In a large fleet, dissemination may take longer than the
            # suspicion timeout.
            self._ping(host)

    def _send_ping_requests(self) -> None:
        """Asks other hosts to ping the probed host if its ack is late."""
        target = self._pings.pop_late_probe(self._now)
        if target is None:
            return
        relays = self._rotation.choose_some(
            lambda host: (
                host != target and self._member_records.is_reachable(host)
            ),
            membership.INDIRECT_PING_COUNT,
        )
        for relay in relays:
            sequence = self._pings.record_sent(target, self._now, sent_to=relay)
            self._send(
                messages.PingRequest(
                    to=relay,
                    sequence=sequence,
                    host=target,
                    updates=self._choose_updates(relay),
                )
            )

    def _ping(
        self,
        host: str,
        *,
        is_probe: bool = False,
        requested_by: tuple[str, int] | None = None,
    ) -> None:
        sequence = self._pings.record_sent(
            host, self._now, is_probe=is_probe, requested_by=requested_by
        )
        revision, digest = self._find_version()
        self._send(
            messages.Ping(
                to=host,
                sequence=sequence,
                revision=revision,
                digest=digest,
                updates=self._choose_updates(host),
            )
        )

    def _ack(
        self,
        receiver: str,
        *,
        sequence: int,
        host: str,
        updates: tuple[messages.MemberUpdate, ...] | None = None,
    ) -> None:
        revision, digest = self._find_version()
        if updates is None:
            updates = self._choose_updates(receiver)
        self._send(
            messages.Ack(
                to=receiver,
                sequence=sequence,
                host=host,
                revision=revision,
                digest=digest,
                updates=updates,
            )
        )

    def _find_version(self) -> tuple[int, str]:
        if self._declared is None:
            return 0, ""
        return self._declared.revision, self._declared.digest

    def _choose_updates(
        self, receiver: str
    ) -> tuple[messages.MemberUpdate, ...]:
        return self._member_records.choose_updates(receiver)

    def _send(self, message: typing.Any) -> None:
        self.get_writer("membership_out").append(message)

    # Messages of peers.

    @HANDLERS.register("Ping")
    def _handle_ping(self, received: messages.Received) -> None:
        sender, ping = received.sender, received.message
        is_new = any(
            update.host == sender
            and self._member_records.is_new_process(update)
            for update in ping.updates
        )
        self._merge(received)
        self._update_own()
        self._ack(sender, sequence=ping.sequence, host=self.settings.host)
        if is_new and self._declared and sender in self._declared.hosts:
            # A new process knows no members. With only the updates piggybacked
            # on pings it would take hours to learn of a large fleet.
            for updates in self._member_records.build_update_batches():
                self._ack(
                    sender,
                    sequence=_UPDATES_ONLY,
                    host=self.settings.host,
                    updates=updates,
                )

    @HANDLERS.register("Ack")
    def _handle_ack(self, received: messages.Received) -> None:
        sender, ack = received.sender, received.message
        self._merge(received)
        ping = self._pings.match_ack(ack.sequence, sender, ack.host)
        if ping is None:
            return
        if ping.requested_by is not None:
            requester, sequence = ping.requested_by
            self._ack(requester, sequence=sequence, host=ping.host)
        if self._declared is None or sender not in self._declared.hosts:
            return
        self._last_answering_peer = sender
        self._apply_confirmation(
            leases.Confirmation(
                sent_at=ping.sent_at,
                revision=ack.revision,
                digest=ack.digest,
                source=sender,
            )
        )

    @HANDLERS.register("PingRequest")
    def _handle_ping_request(self, received: messages.Received) -> None:
        self._merge(received)
        request = received.message
        if self._declared is None or request.host not in self._declared.hosts:
            return
        self._ping(
            request.host, requested_by=(received.sender, request.sequence)
        )

    def _merge(self, received: messages.Received) -> None:
        for update in received.message.updates:
            self._member_records.merge(
                update, self._now, direct=update.host == received.sender
            )
