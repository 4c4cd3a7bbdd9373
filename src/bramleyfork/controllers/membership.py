"""The controller that keeps beliefs about hosts and the control lease."""

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

# A step this late means that the process was paused or its loop was stuck, so
# that missing answers say nothing about the other hosts.
_STALL_S = 0.5

# Sequence of an ack that answers no ping and only carries news.
_UPDATES_ONLY = 0

Handler = collections.abc.Callable[
    ["MembershipController", messages.Received], None
]

# What to do with each kind of control message, by class name.
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
    """Pings peers, answers them, spreads news and renews the lease."""

    __slots__ = (
        "_random",
        "_beliefs",
        "_pings",
        "_rotation",
        "_period_at",
        "_period",
        "_declared",
        "_pending_confirmation",
        "_seen_manifest",
        "_last_manifest_result",
        "_last_answered",
        "_planned",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        host, incarnation = self.settings.host, self.settings.incarnation
        self._random = random.Random(f"{host} {incarnation}")
        self._beliefs = _member_table.MemberTable(
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
        self._last_answered: str | None = None
        self._planned = math.inf
        self._now = -math.inf

    def step(self, now: float) -> float | None:
        """Handles what has arrived, then pings and suspects as time asks."""
        self._now = now
        if now > self._planned + _STALL_S:
            self._forgive_stall()
        self._follow_declaration()
        for received in self.read_new_records("peer_control"):
            kind = type(received.message).__name__
            if kind in HANDLERS.list_names():
                HANDLERS.find(kind)(self, received)
        for result in self.read_new_records("platform_results"):
            self._take_platform_result(result)
        self._beliefs.expire_suspicions(now)
        self._pings.forget_old(now)
        if now >= self._period_at:
            self._begin_period()
        self._ask_relays()
        self._update_own()
        self._planned = self._find_wake_time()
        return self._planned

    def _forgive_stall(self) -> None:
        _LOG.warning(
            "membership was paused",
            extra={"paused_s": round(self._now - self._planned, 3)},
        )
        self._pings.drop_probe()
        self._beliefs.restart_suspicions(self._now)

    def _find_wake_time(self) -> float:
        wanted = [
            self._period_at,
            self._pings.find_wake_time(),
            self._beliefs.find_wake_time(),
        ]
        current = self.get_table("lease").get("current")
        if leases.is_held(current, self._now):
            wanted.append(current.expires_at)
        return min(wanted)

    # Declaration and lease.

    def _follow_declaration(self) -> None:
        active = self.get_table("declaration").get("in_force")
        declared = active.declaration if active else None
        if declared is self._declared:
            return
        before = set(self._declared.hosts) if self._declared else set()
        self._declared = declared
        hosts = set(declared.hosts) if declared else set()
        if hosts != before:
            # Each host in another order, so that hosts that start together do
            # not all ping the same one.
            self._beliefs.keep_declared(
                self._random.sample(sorted(hosts), len(hosts))
            )
            self._rotation = membership.Rotation(
                hosts=hosts - {self.settings.host}, rng=self._random
            )
            self._pings.drop_probe()
            self._period_at = self._now
            if self._last_answered not in hosts:
                self._last_answered = None
        current = self.get_table("lease").get("current")
        self._put_lease(
            leases.apply_declaration(current, declared, self.settings.host)
        )
        if self._pending_confirmation is not None:
            self._count_confirmation(self._pending_confirmation)
        if self._last_manifest_result is not None:
            self._count_platform_result(self._last_manifest_result)

    def _count_confirmation(self, confirmation: leases.Confirmation) -> None:
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

    def _take_platform_result(
        self, result: platform_calls.PlatformResult
    ) -> None:
        seen = platform_confirmations.read_manifest(result)
        if seen is not None:
            self._seen_manifest = seen
        if platform_confirmations.is_about_manifest(result):
            self._last_manifest_result = result
            self._count_platform_result(result)

    def _count_platform_result(
        self, result: platform_calls.PlatformResult
    ) -> None:
        declared = self._declared
        if declared is not None and platform_confirmations.confirms(
            result, self._seen_manifest, declared.digest
        ):
            self._count_confirmation(
                platform_confirmations.build_confirmation(
                    result, declared.revision, declared.digest
                )
            )

    def _update_own(self) -> None:
        phase = self.get_table("lifecycle").get("current")
        is_leaving = phase is not None and phase.phase in ("leaving", "stopped")
        current = self.get_table("lease").get("current")
        routes = len(self.get_table("routes"))
        self._beliefs.update_own(
            state="leaving" if is_leaving else "alive",
            leased=leases.is_held(current, self._now),
            load=min(1.0, routes / max(1, self.settings.caller_threads)),
            now=self._now,
        )

    # Pings.

    def _begin_period(self) -> None:
        self._update_own()
        unanswered = self._pings.take_unanswered_probe()
        if unanswered is not None:
            self._suspect(unanswered)
        self._period += 1
        self._period_at = self._now + membership.PROTOCOL_PERIOD_S
        target = self._rotation.choose_next(self._beliefs.is_reachable)
        if target is not None:
            self._ping(target, is_probe=True)
        if target is None or self._period % membership.ABSENT_EVERY == 0:
            absent = self._beliefs.choose_absent()
            if absent is not None:
                self._ping(absent)
        if self._last_answered not in (None, target) and leases.needs_renewal(
            self.get_table("lease").get("current"), self._now
        ):
            self._ping(self._last_answered)

    def _suspect(self, host: str) -> None:
        if self._beliefs.suspect(host, self._now):
            # Lets the host refute at once; news of the suspicion may take
            # longer than the suspicion lasts to reach it in a large fleet.
            self._ping(host)

    def _ask_relays(self) -> None:
        target = self._pings.take_late_probe(self._now)
        if target is None:
            return
        relays = self._rotation.choose_some(
            lambda host: host != target and self._beliefs.is_reachable(host),
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
        relay_for: tuple[str, int] | None = None,
    ) -> None:
        sequence = self._pings.record_sent(
            host, self._now, is_probe=is_probe, relay_for=relay_for
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
        return self._beliefs.choose_updates(receiver)

    def _send(self, message: typing.Any) -> None:
        self.get_writer("membership_out").append(message)

    # Messages of peers.

    @HANDLERS.register("Ping")
    def _take_ping(self, received: messages.Received) -> None:
        sender, ping = received.sender, received.message
        is_new = any(
            update.host == sender and self._beliefs.is_new_process(update)
            for update in ping.updates
        )
        self._merge(received)
        self._update_own()
        self._ack(sender, sequence=ping.sequence, host=self.settings.host)
        if is_new and self._declared and sender in self._declared.hosts:
            # A new process knows no one; at the pace of pings it would hear
            # of a large fleet only after hours.
            for updates in self._beliefs.build_update_batches():
                self._ack(
                    sender,
                    sequence=_UPDATES_ONLY,
                    host=self.settings.host,
                    updates=updates,
                )

    @HANDLERS.register("Ack")
    def _take_ack(self, received: messages.Received) -> None:
        sender, ack = received.sender, received.message
        self._merge(received)
        ping = self._pings.match_ack(ack.sequence, sender, ack.host)
        if ping is None:
            return
        if ping.relay_for is not None:
            asker, sequence = ping.relay_for
            self._ack(asker, sequence=sequence, host=ping.host)
        if self._declared is None or sender not in self._declared.hosts:
            return
        self._last_answered = sender
        self._count_confirmation(
            leases.Confirmation(
                sent_at=ping.sent_at,
                revision=ack.revision,
                digest=ack.digest,
                source=sender,
            )
        )

    @HANDLERS.register("PingRequest")
    def _take_ping_request(self, received: messages.Received) -> None:
        self._merge(received)
        request = received.message
        if self._declared is None or request.host not in self._declared.hosts:
            return
        self._ping(request.host, relay_for=(received.sender, request.sequence))

    def _merge(self, received: messages.Received) -> None:
        for update in received.message.updates:
            self._beliefs.merge(
                update, self._now, direct=update.host == received.sender
            )
