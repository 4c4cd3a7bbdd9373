"""The controller that fetches, checks and activates configurations.

Versions are ordered by revision, then by digest. Each host activates the
highest version that it learns of from the platform or from peers.
"""

import logging
import typing

from bramleyfork.configuration import manifests
from bramleyfork.controllers import _announcer
from bramleyfork.controllers import _declaration_table
from bramleyfork.controllers import _distribution_tree
from bramleyfork.core import checks
from bramleyfork.core import controllers
from bramleyfork.core import declarations
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import registries
from bramleyfork.decisions import candidates
from bramleyfork.decisions import platform_polling
from bramleyfork.decisions import revisions

_LOG = logging.getLogger(__name__)

_PEER_RESULT_TIMEOUT_S = 1.0  # Timeout of a peer's answer to a fetch.
# How long a starting host that has an answer from only the platform or only
# peers waits for the other before it activates the highest version it knows.
_STARTUP_WAIT_S = 2.0
_PEERS = "peers"  # Stands for any peer in the set of sources that answered.

# Handlers of control messages, by class name.
HANDLERS: registries.Registry[typing.Callable] = registries.Registry(
    kind="configuration message"
)


@controllers.register(
    "configuration",
    reads=("platform_results", "peer_control", "members", "check_results"),
    writes=("platform_reads", "declaration", "configuration_out", "checks"),
)
class ConfigurationController(controllers.Controller):
    """Moves this host to higher versions, never to lower ones.

    A configuration is activated as a whole after it has passed the check, or
    not at all. Watchers and starting hosts fetch it from the platform; the
    others fetch it from the peer that offered it.
    """

    __slots__ = (
        "_announcer",
        "_candidate",
        "_checking",
        "_answered_sources",
        "_last_watcher_message_at",
        "_schedule",
        "_started_at",
        "_table",
        "_tree",
        "_watchers",
    )

    def start(self) -> None:
        """Sets the initial state."""
        # The newer configuration that is being fetched.
        self._candidate: candidates.ConfigurationCandidate | None = None
        # The configuration that another thread is checking.
        self._checking: candidates.ConfigurationCandidate | None = None
        # Sources that a starting host has received an answer from.
        self._answered_sources: set[str] = set()
        # A host whose seeds name no other host does not wait for peers.
        own = self.settings.peer_address
        if all(seed == own for seed in self.settings.seeds):
            self._answered_sources.add(_PEERS)
        # Time of the last message from a watcher or offer from the parent,
        # monotonic seconds. Also set when a configuration is activated.
        self._last_watcher_message_at = 0.0
        self._schedule = platform_polling.ManifestSchedule(
            watch=platform_polling.ReadSchedule(),
            poll=platform_polling.ReadSchedule(),
        )
        self._started_at: float | None = None
        self._tree = _distribution_tree.DistributionTree(
            host=self.settings.host,
            data_centre=self.settings.data_centre,
            find_member=self.get_table("members").get,
        )
        self._announcer = _announcer.Announcer(
            tree=self._tree, writer=self.get_writer("configuration_out")
        )
        self._table = _declaration_table.DeclarationTable(
            table=self.get_table("declaration"),
            writer=self.get_writer("declaration"),
        )
        self._watchers: frozenset[str] = frozenset()

    def step(self, now: float) -> float | None:
        """Handles results and messages, then orders reads and fetches.

        Returns:
          When to run again without new input, monotonic seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._watchers = self._tree.choose_watchers()
        for result in self.read_new_records("platform_results"):
            if result.purpose == "configuration":
                self._handle_result(result, now)
        for received in self.read_new_records("peer_control"):
            self._handle_message(received, now)
        for result in self.read_new_records("check_results"):
            self._handle_check(result, now)
        self._advance(now)
        self._schedule_reread(now)
        self._schedule, reads = platform_polling.plan_reads(
            self._schedule,
            now,
            self.settings.host,
            self._find_last_watcher_message_at(),
        )
        self.get_writer("platform_reads").extend(reads)
        self._announcer.announce(
            self._table.version,
            now,
            watching=self.settings.host in self._watchers,
        )
        return self._find_wake_time()

    def _find_last_watcher_message_at(self) -> float | None:
        """Returns when a watcher's last message arrived; None on a watcher."""
        # Without a declaration the watchers are unknown, so every host acts as
        # a watcher.
        if self._table.active is None or self.settings.host in self._watchers:
            return None
        return self._last_watcher_message_at

    # Results of platform reads.

    def _handle_result(
        self, result: platform_calls.PlatformResult, now: float
    ) -> None:
        self._answered_sources.add(candidates.PLATFORM)
        manifest_paths = (
            platform_polling.WATCH_PATH,
            platform_polling.MANIFEST_PATH,
        )
        if result.path.partition("?")[0] not in manifest_paths:
            self._handle_platform_part(result, now)
            return
        is_new = platform_polling.has_new_manifest(self._schedule, result)
        self._schedule = platform_polling.apply_result(
            self._schedule, result, now, self.settings.host
        )
        if is_new:
            self._handle_platform_manifest(result, now)

    def _handle_platform_manifest(
        self, result: platform_calls.PlatformResult, now: float
    ) -> None:
        read = manifests.read_manifest(result.body)
        if read.is_error():
            self._table.remove_platform_manifest()
            version = revisions.Version(
                revision=0, digest=manifests.compute_digest(result.body)
            )
            self._table.refuse(version, read.error, now)
            return
        version = revisions.read_version(read.ok)
        self._table.put_platform_manifest(version, result)
        self._consider_version(version, candidates.PLATFORM, now)
        self._add_manifest(version, result.body)

    def _handle_platform_part(
        self, result: platform_calls.PlatformResult, now: float
    ) -> None:
        candidate = self._candidate
        if candidate is None or candidate.source != candidates.PLATFORM:
            return
        key = result.path.removeprefix(platform_polling.VALUES_PATH)
        if result.status == 200 and self._add_part(
            key, result.body, now + platform_polling.RESULT_TIMEOUT_S
        ):
            return
        # A read that was ordered for an earlier candidate may return an older
        # content of the part.
        if result.sent_at < candidate.requested_at:
            return
        reason = (
            f"reading part {key!r} from the platform failed: {result.error}"
        )
        if result.status in (200, 404):
            body = result.body if result.status == 200 else None
            reason = candidates.describe_wrong_part(candidate, key, body)
        self._drop_source(reason, now)

    # Messages of peers.

    def _handle_message(self, received: messages.Received, now: float) -> None:
        if received.sender in self._watchers:
            self._last_watcher_message_at = now
        kind = type(received.message).__name__
        if kind in HANDLERS.list_names():
            HANDLERS.find(kind)(self, received.sender, received.message, now)

    @HANDLERS.register("Ping")
    @HANDLERS.register("Ack")
    def _handle_heartbeat(
        self, sender: str, message: messages.Ping | messages.Ack, now: float
    ) -> None:
        self._consider_version(revisions.read_version(message), sender, now)

    @HANDLERS.register("ConfigurationOffer")
    def _handle_offer(
        self, sender: str, message: messages.ConfigurationOffer, now: float
    ) -> None:
        version = revisions.read_version(message)
        self._consider_version(version, sender, now)
        if revisions.is_newer(self._table.version, version):
            self._announcer.offer(sender, self._table.version)
        if sender != self._tree.find_parent():
            return
        self._last_watcher_message_at = now
        # A newer version is forwarded once it is active.
        if version == self._table.version:
            self._announcer.forward_offer(version, now)

    @HANDLERS.register("ConfigurationFetch")
    def _answer_fetch(
        self, sender: str, message: messages.ConfigurationFetch, now: float
    ) -> None:
        if self._table.active is None:
            return
        if message.digest != self._table.version.digest:
            self._announcer.offer(sender, self._table.version)
            return
        self.get_writer("configuration_out").extend(
            candidates.build_parts(self._table.active, sender, message.keys)
        )

    @HANDLERS.register("ConfigurationPart")
    def _handle_peer_part(
        self, sender: str, message: messages.ConfigurationPart, now: float
    ) -> None:
        candidate = self._candidate
        if candidate is None or candidate.source != sender:
            return
        if candidate.version.digest != message.digest:
            return
        if message.key == manifests.MANIFEST_KEY:
            accepted = self._add_manifest(candidate.version, message.body)
        else:
            accepted = self._add_part(
                message.key, message.body, now + _PEER_RESULT_TIMEOUT_S
            )
        if not accepted:
            self._drop_source(
                f"part {message.key!r} does not match the offered version", now
            )

    # Fetch and check of a newer version.

    def _consider_version(
        self, version: revisions.Version, holder: str, now: float
    ) -> None:
        """Makes a version the candidate if it is newer than all known ones.

        If it is the candidate already, the holder is added to those that it
        can be fetched from.

        Args:
          version: A version that the platform or a peer has.
          holder: Name of the peer, or PLATFORM.
          now: Monotonic seconds.
        """
        if version.revision <= 0:
            return
        if holder != candidates.PLATFORM:
            self._answered_sources.add(_PEERS)
        self._table.check_conflict(version, now)
        if self._table.is_refused(version):
            return
        if revisions.is_newer(version, self._table.version):
            self._candidate = candidates.apply_offer(
                self._candidate, version, holder
            )

    def _add_manifest(self, version: revisions.Version, body: bytes) -> bool:
        """Adds a manifest to the candidate; returns False if it is invalid.

        A manifest that the candidate does not need is ignored.
        """
        candidate = self._candidate
        if candidate is None or candidate.version != version:
            return True
        if candidate.manifest is not None:
            return True
        read = manifests.read_manifest(body)
        if read.is_error() or version != revisions.read_version(read.ok):
            return False
        known = self._table.active.bodies.values() if self._table.active else ()
        self._candidate = candidates.adopt_manifest(
            candidate, read.ok, body, known
        )
        return True

    def _add_part(self, key: str, body: bytes, request_deadline: float) -> bool:
        """Adds a part to the candidate; returns False if it is invalid.

        A valid part extends the timeout of the fetch to ``request_deadline``.
        """
        if self._candidate.manifest is None:
            return True
        extended = candidates.add_part(
            self._candidate, key, body, request_deadline
        )
        if extended is None:
            return False
        self._candidate = extended
        return True

    def _drop_source(self, reason: str, now: float) -> None:
        """Removes the source of the last request from the holders."""
        dropped = self._candidate
        _LOG.warning(
            "configuration not fetched",
            extra={
                "revision": dropped.version.revision,
                "source": dropped.source,
                "reason": reason,
            },
        )
        self._candidate = candidates.drop_source(dropped)
        if dropped.source == candidates.PLATFORM:
            self._table.report(dropped.version, reason, now)

    def _schedule_reread(self, now: float) -> None:
        """Schedules another manifest read if the platform's is not active.

        The watch returns a new manifest only once. Parts are published one
        after another, so the first fetch may find a mix of old and new parts.
        """
        served = self._table.platform_manifest
        if self._candidate is not None or served is None:
            return
        version = revisions.read_version(served)
        if self._table.is_refused(version) or self._schedule.is_reread_pending:
            return
        newer = revisions.is_newer(version, self._table.version)
        if newer and self._find_last_watcher_message_at() is None:
            self._schedule = platform_polling.apply_failed_fetch(
                self._schedule, now, self.settings.host
            )

    def _advance(self, now: float) -> None:
        """Fetches the candidate's missing parts, or orders its check."""
        candidate = self._candidate
        if candidate is None:
            return
        missing = candidates.list_missing(candidate)
        if not missing:
            # One check runs at a time and is not replaced by a newer one.
            # Otherwise no revision would become active while revisions are
            # published faster than they are checked.
            if self._checking is None and self._may_activate(now):
                self._order_check(candidate)
            return
        if candidates.is_waiting(candidate, now):
            return
        if candidate.source:
            self._drop_source("no answer before the timeout", now)
        if self._candidate is not None:
            self._fetch(self._candidate, missing, now)

    def _may_activate(self, now: float) -> bool:
        """Returns whether a fetched configuration may be activated.

        A starting host first waits for the platform and for a peer, so that
        it does not activate an outdated version.
        """
        return (
            self._table.active is not None
            or self._answered_sources >= {candidates.PLATFORM, _PEERS}
            or now >= self._started_at + _STARTUP_WAIT_S
        )

    def _fetch(
        self,
        candidate: candidates.ConfigurationCandidate,
        missing: tuple[str, ...],
        now: float,
    ) -> None:
        source = candidate.holders[0]
        result_timeout_s = _PEER_RESULT_TIMEOUT_S
        if source == candidates.PLATFORM:
            result_timeout_s = platform_polling.RESULT_TIMEOUT_S
            self.get_writer("platform_reads").extend(
                [
                    platform_polling.build_read(
                        platform_polling.VALUES_PATH + k
                    )
                    for k in missing
                ]
            )
        else:
            self.get_writer("configuration_out").append(
                messages.ConfigurationFetch(
                    to=source, digest=candidate.version.digest, keys=missing
                )
            )
        self._candidate = candidate.replace(
            source=source,
            requested_at=now,
            request_deadline=now + result_timeout_s,
        )

    def _order_check(
        self, candidate: candidates.ConfigurationCandidate
    ) -> None:
        self._checking = candidate
        self.get_writer("checks").append(
            checks.CheckOrder(
                digest=candidate.version.digest, bodies=candidate.bodies
            )
        )

    def _handle_check(self, result: checks.CheckResult, now: float) -> None:
        checked, self._checking = self._checking, None
        if self._candidate and self._candidate.version == checked.version:
            self._candidate = None
        if result.declaration is None:
            self._table.refuse(checked.version, result.problems, now)
        elif revisions.is_newer(checked.version, self._table.version):
            self._put_in_force(result.declaration, checked, now)

    def _put_in_force(
        self,
        accepted: declarations.Declaration,
        candidate: candidates.ConfigurationCandidate,
        now: float,
    ) -> None:
        self._table.put_in_force(
            declarations.ActiveDeclaration(
                declaration=accepted,
                bodies=candidate.bodies,
                in_force_at=now,
                source=candidate.source or candidate.holders[0],
            )
        )
        self._schedule = platform_polling.apply_activation(self._schedule, now)
        self._tree.set_hosts(accepted.hosts)
        self._watchers = self._tree.choose_watchers()
        self._last_watcher_message_at = now
        self._announcer.offer_to_children(self._table.version, now)

    def _find_wake_time(self) -> float:
        plan_at = platform_polling.find_plan_time(
            self._schedule,
            self.settings.host,
            self._find_last_watcher_message_at(),
        )
        times = [self._announcer.next_at, plan_at]
        if self._candidate is not None:
            if candidates.list_missing(self._candidate):
                times.append(self._candidate.request_deadline)
            elif self._checking is None:
                times.append(self._started_at + _STARTUP_WAIT_S)
        return min(times)
