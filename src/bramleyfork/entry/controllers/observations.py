"""The controller that keeps and spreads what hosts have learnt from answers."""

import itertools
import logging
import random

from bramleyfork.core import registries
from bramleyfork.entry import components
from bramleyfork.entry import fleet
from bramleyfork.entry import observations
from bramleyfork.entry.decisions import gossip
from bramleyfork.entry.decisions import observations as kinds

_LOG = logging.getLogger("bramleyfork.decisions")

# Logs of what components of this host have learnt.
_TABLES = (kinds.REQUEST_TABLE, kinds.TARGET_TABLE)
_FINDINGS = ("request_findings", "target_findings", "probe_findings")


@components.register(
    components.CONTROLLERS,
    "observations",
    reads=(*_FINDINGS, "peer_observations"),
    passive_reads=("members",),
    writes=(*_TABLES, "observation_sends"),
)
class Observations(components.Component):
    """Turns findings into observations and tells them to the other hosts."""

    __slots__ = (
        "_random",
        "_numbers",
        "_queued",
        "_next_round_at",
        "_next_exchange_at",
        "_incarnations",
        "_count",
        "_now",
    )

    def start(self) -> None:
        """Sets up state before the first step."""
        self._random = random.Random(self.context.incarnation + 3)
        self._numbers = itertools.count(1)
        # Observations that are still to be sent, with the rounds that are left.
        self._queued: dict[tuple, tuple[observations.Observation, int]] = {}
        self._next_round_at: float | None = None
        self._next_exchange_at = 0.0
        # Incarnations of the hosts that have been sent all observations.
        self._incarnations: dict[str, int] = {}
        self._count = 0
        self._now = 0.0

    def step(self, now: float) -> float | None:
        """Stores new observations, sends them, and drops those that ended."""
        self._now = now
        for section in _FINDINGS:
            for finding in self.read_new_records(section):
                self._handle_finding(finding)
        for received in self.read_new_records("peer_observations"):
            self._handle_received(received)
        if self._queued and self._next_round_at is None:
            self._next_round_at = now
        if self._next_round_at is not None and self._next_round_at <= now:
            self._send_round()
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + kinds.ANTI_ENTROPY_INTERVAL_S
            self._drop_ended()
            self._send_known()
        if self._next_round_at is None:
            return self._next_exchange_at
        return min(self._next_round_at, self._next_exchange_at)

    def _handle_finding(self, finding: observations.Finding) -> None:
        settings = self.context.settings
        known = self._find_known((finding.kind, finding.subject))
        before = next(
            (
                o
                for o in known
                if o.host == settings.host and o.occasion == finding.occasion
            ),
            None,
        )
        self._store(
            known,
            kinds.combine(
                before,
                finding,
                host=settings.host,
                incarnation=self.context.incarnation,
                number=next(self._numbers),
                now=self._now,
            ),
        )

    def _handle_received(
        self, received: observations.ReceivedObservation
    ) -> None:
        try:
            observation = kinds.set_times(received, self._now)
        except registries.UnknownNameError:
            # A host of a later release may know more kinds.
            self.context.metrics.count("observations_unknown")
            return
        self._store(self._find_known(kinds.get_key(observation)), observation)

    def _find_known(self, key: kinds.Key) -> kinds.Known:
        table = self.get_table(kinds.KINDS.find(key[0]).table)
        return table.get(key) or ()

    def _store(
        self, known: kinds.Known, observation: observations.Observation
    ) -> None:
        merged = kinds.merge(known, observation)
        if merged is None or observation.ends_at <= self._now:
            return
        added = len(merged) - len(known)
        if self._count + added > kinds.MAX_OBSERVATIONS:
            self.context.metrics.count("observations_dropped")
            return
        self._count += added
        table = kinds.KINDS.find(observation.kind).table
        self.get_writer(table).put(kinds.get_key(observation), merged)
        self._queue(observation)
        self.context.metrics.count("observations_stored", observation.kind)
        _LOG.info(
            "observation",
            extra={
                "kind": observation.kind,
                "subject": observation.subject,
                "owner": observation.host,
                "occasion": observation.occasion,
                "services": observation.services,
                "value": observation.value,
                "age_ms": round((self._now - observation.observed_at) * 1000),
                "ends_in_s": round(observation.ends_at - self._now, 1),
            },
        )

    # Dissemination.

    def _queue(self, observation: observations.Observation) -> None:
        is_own = observation.host == self.context.settings.host
        others = len(self.get_table("members")) - 1
        # In a small fleet the owner tells every host itself.
        if is_own or others > kinds.FANOUT:
            key = (*kinds.get_key(observation), *kinds.get_origin(observation))
            rounds = kinds.SEND_ROUNDS if is_own else 1
            self._queued[key] = (observation, rounds)

    def _send_round(self) -> None:
        self._next_round_at = self._now + kinds.SEND_INTERVAL_S
        batch = [
            observation
            for observation, _ in self._queued.values()
            if observation.ends_at > self._now
        ]
        own_host = self.context.settings.host
        own = [o for o in batch if o.host == own_host]
        relayed = [o for o in batch if o.host != own_host]
        for index, member in enumerate(self._choose_receivers(kinds.FANOUT)):
            is_relayed = index < kinds.RELAY_FANOUT
            self._send(member, own + relayed if is_relayed else own)
        self._queued = {
            key: (observation, left - 1)
            for key, (observation, left) in self._queued.items()
            if left > 1 and observation.ends_at > self._now
        }
        if not self._queued:
            self._next_round_at = None

    def _send_known(self) -> None:
        """Sends some observations to a random host, and more to new hosts."""
        known = [
            observation
            for name in _TABLES
            for same_subject in self.get_table(name).list_records()
            for observation in same_subject
        ]
        new_hosts = self._find_new_hosts()
        for member in self._choose_receivers(1) if known else ():
            self._send(member, self._choose_some(known, kinds.EXCHANGE_SIZE))
        for member in new_hosts if known else ():
            self._send(member, self._choose_some(known, kinds.NEW_HOST_SIZE))

    def _choose_some(
        self, known: list[observations.Observation], count: int
    ) -> list[observations.Observation]:
        return self._random.sample(known, min(count, len(known)))

    def _find_new_hosts(self) -> list[fleet.MemberUpdate]:
        found = []
        share = kinds.FANOUT / max(1, len(self.get_table("members")))
        for member in self._list_others():
            if self._incarnations.get(member.host) == member.incarnation:
                continue
            self._incarnations[member.host] = member.incarnation
            if self._random.random() < share:
                found.append(member)
        return found

    def _choose_receivers(self, count: int) -> list[fleet.MemberUpdate]:
        others = self._list_others()
        return self._random.sample(others, min(count, len(others)))

    def _list_others(self) -> list[fleet.MemberUpdate]:
        return [
            member.update
            for host, member in self.get_table("members").copy_records().items()
            if host != self.context.settings.host
            and gossip.is_reachable(member)
        ]

    def _send(
        self,
        member: fleet.MemberUpdate,
        batch: list[observations.Observation],
    ) -> None:
        size = kinds.OBSERVATIONS_PER_MESSAGE
        for first in range(0, len(batch), size):
            self.get_writer("observation_sends").append(
                observations.ObservationMessage(
                    address=member.peer_address,
                    observations=tuple(batch[first : first + size]),
                )
            )

    def _drop_ended(self) -> None:
        for name in _TABLES:
            writer = self.get_writer(name)
            for key, known in self.get_table(name).copy_records().items():
                left = kinds.select_in_force(known, self._now)
                if len(left) == len(known):
                    continue
                self._count -= len(known) - len(left)
                if left:
                    writer.put(key, left)
                else:
                    writer.remove(key)
