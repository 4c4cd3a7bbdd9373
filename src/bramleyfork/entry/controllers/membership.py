"""The controller that tracks the membership of the entry hosts by gossip.

Hosts ping each other in turn, in the manner of SWIM, and piggyback member
updates on their messages.
"""

import itertools
import logging
import random

from bramleyfork.core import registries
from bramleyfork.decisions import membership
from bramleyfork.entry import components
from bramleyfork.entry import fleet
from bramleyfork.entry.decisions import gossip
from bramleyfork.entry.decisions import placement

_LOG = logging.getLogger(__name__)

# Handlers by kind of message.
_HANDLERS: registries.Registry = registries.Registry(kind="peer message")


@components.register(
    components.CONTROLLERS,
    "membership",
    reads=("peer_messages", "lifecycle", "route_table"),
    writes=("members", "peer_sends"),
)
class Membership(components.Component):
    """Pings hosts, spreads member updates and detects failed hosts."""

    __slots__ = (
        "_random",
        "_sequences",
        "_pings",
        "_missed_acks",
        "_rotation",
        "_rotation_hosts",
        "_period",
        "_period_at",
        "_update_queue",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._random = random.Random(self.context.incarnation + 2)
        self._sequences = itertools.count(1)
        self._pings: dict[int, str] = {}
        self._missed_acks: dict[str, int] = {}
        self._rotation_hosts: frozenset[str] = frozenset()
        self._rotation = membership.Rotation(hosts=(), rng=self._random)
        self._period = 0
        self._period_at = 0.0
        self._update_queue = gossip.UpdateQueue()
        self._now = 0.0
        settings = self.context.settings
        self._store_and_disseminate(
            fleet.MemberUpdate(
                host=settings.host,
                incarnation=self.context.incarnation,
                count=0,
                state=fleet.STARTING,
                data_centre=settings.data_centre,
                caller_address=settings.caller_address,
                peer_address=settings.peer_address,
                carrier_address=settings.carrier_address,
                capacity=placement.find_capacity(
                    settings.cores, settings.link_mbps
                ),
            )
        )

    def step(self, now: float) -> float | None:
        """Handles messages, then pings a host when a period begins."""
        self._now = now
        for message in self.read_new_records("peer_messages"):
            self._handle_message(message)
        self._update_own()
        if now >= self._period_at:
            self._start_period()
        return self._period_at

    def _find_own(self) -> fleet.MemberUpdate:
        return self.get_table("members").get(self.context.settings.host).update

    def _list_members(self) -> dict[str, fleet.Member]:
        return self.get_table("members").copy_records()

    def _update_own(self) -> None:
        own = self._find_own()
        phase = self.get_table("lifecycle").get("current")
        if phase is not None and phase.phase != "serving":
            state = fleet.LEAVING
        elif self.get_table("route_table").get("current") is None:
            state = fleet.STARTING
        else:
            state = fleet.SERVING
        if state == own.state:
            return
        self._store_and_disseminate(
            own.replace(state=state, count=own.count + 1)
        )
        if state == fleet.LEAVING:
            # The directories of all hosts must drop this one at once.
            for host, member in self._list_members().items():
                if host != own.host and gossip.is_reachable(member):
                    self._ping(member.update.peer_address, host)

    # Protocol periods.

    def _start_period(self) -> None:
        self._period += 1
        self._period_at = self._now + gossip.PERIOD_S
        missed = list(self._pings.values())
        self._pings.clear()
        for host in missed:
            self._handle_missed_ack(host)
        self._expire()
        members = self._list_members()
        target = self._choose_target(members)
        if target is not None:
            self._ping(members[target].update.peer_address, target)
        if gossip.is_join_period(self._period):
            self._join(members)
        elif (
            target is None
            or self._period % gossip.ABSENT_PING_INTERVAL_PERIODS == 0
        ):
            self._ping_absent(members)

    def _choose_target(self, members: dict[str, fleet.Member]) -> str | None:
        own_host = self.context.settings.host
        hosts = frozenset(members) - {own_host}
        if hosts != self._rotation_hosts:
            self._rotation_hosts = hosts
            self._rotation = membership.Rotation(hosts=hosts, rng=self._random)
        return self._rotation.choose_next(
            lambda host: gossip.is_reachable(members[host])
        )

    def _join(self, members: dict[str, fleet.Member]) -> None:
        settings = self.context.settings
        known = {
            member.update.peer_address
            for member in members.values()
            if gossip.is_reachable(member)
        }
        others = known.union(settings.seeds) - {settings.peer_address}
        if others:
            self._send("join", 0, self._random.choice(sorted(others)), None)

    def _ping_absent(self, members: dict[str, fleet.Member]) -> None:
        settings = self.context.settings
        known = {m.update.peer_address for m in members.values()}
        absent = [seed for seed in settings.seeds if seed not in known]
        absent += [
            member.update.peer_address
            for member in members.values()
            if not gossip.is_reachable(member)
        ]
        if absent:
            self._send("ping", 0, self._random.choice(absent), None)

    def _ping(self, address: fleet.Address, host: str) -> None:
        sequence = next(self._sequences)
        self._pings[sequence] = host
        self._send("ping", sequence, address, host)

    def _send(
        self,
        kind: str,
        sequence: int,
        address: fleet.Address,
        receiver: str | None,
        *,
        answers_join: bool = False,
    ) -> None:
        updates = self._update_queue.choose_updates(
            self._list_members(),
            self.context.settings.host,
            receiver,
            self._random,
            answers_join=answers_join,
        )
        self.get_writer("peer_sends").append(
            fleet.PeerMessage(
                kind=kind, sequence=sequence, address=address, updates=updates
            )
        )

    def _handle_missed_ack(self, host: str) -> None:
        missed_acks = self._missed_acks.get(host, 0) + 1
        self._missed_acks[host] = missed_acks
        member = self.get_table("members").get(host)
        if missed_acks >= gossip.MAX_MISSED_ACKS:
            self._suspect(host)
        elif member is not None:
            self._ping(member.update.peer_address, host)

    def _suspect(self, host: str) -> None:
        member = self.get_table("members").get(host)
        if member is None or member.update.state in (fleet.SUSPECT, fleet.DEAD):
            return
        # A leaving host that doesn't answer has shut down.
        is_leaving = member.update.state == fleet.LEAVING
        state = fleet.DEAD if is_leaving else fleet.SUSPECT
        self._store_and_disseminate(member.update.replace(state=state))

    def _expire(self) -> None:
        members = self._list_members()
        for update in gossip.list_expired(members, self._now):
            self._store_and_disseminate(update)
        for host in gossip.list_expired_dead(members, self._now):
            self.get_writer("members").remove(host)
            self._missed_acks.pop(host, None)

    # Messages.

    def _handle_message(self, message: fleet.PeerMessage) -> None:
        sender = message.updates[0]
        for update in message.updates:
            self._apply_update(update)
        if sender.host != self.context.settings.host:
            _HANDLERS.find(message.kind)(self, message, sender)

    @_HANDLERS.register("ping")
    def _handle_ping(
        self, message: fleet.PeerMessage, sender: fleet.MemberUpdate
    ) -> None:
        self._send("ack", message.sequence, sender.peer_address, sender.host)

    @_HANDLERS.register("join")
    def _handle_join(
        self, message: fleet.PeerMessage, sender: fleet.MemberUpdate
    ) -> None:
        self._send(
            "ack",
            message.sequence,
            sender.peer_address,
            sender.host,
            answers_join=True,
        )

    @_HANDLERS.register("ack")
    def _handle_ack(
        self, message: fleet.PeerMessage, sender: fleet.MemberUpdate
    ) -> None:
        if self._pings.get(message.sequence) == sender.host:
            del self._pings[message.sequence]
            self._missed_acks.pop(sender.host, None)

    def _apply_update(self, update: fleet.MemberUpdate) -> None:
        own = self._find_own()
        if update.host == own.host:
            refutation = gossip.refute(own, update)
            if refutation is not None:
                self._store_and_disseminate(refutation)
            return
        known = self.get_table("members").get(update.host)
        if gossip.is_newer(known.update if known else None, update):
            self._store_and_disseminate(update)

    def _store_and_disseminate(self, update: fleet.MemberUpdate) -> None:
        known = self.get_table("members").get(update.host)
        self.get_writer("members").put(
            update.host, fleet.Member(update=update, changed_at=self._now)
        )
        self._update_queue.add(update.host)
        if known is None or known.update.state != update.state:
            _LOG.info(
                "host",
                extra={
                    "peer": update.host,
                    "state": update.state,
                    "incarnation": update.incarnation,
                    "count": update.count,
                },
            )
