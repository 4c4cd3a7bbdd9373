"""The controller that decides the state of each target for this host.

It combines the declaration, the platform's list, the targets' own reports and
notices from peers.
"""

import collections.abc
import logging

from bramleyfork.core import controllers
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.core import logs
from bramleyfork.core import messages
from bramleyfork.decisions import targets

_DECISION_LOG = logging.getLogger(logs.DECISION_LOGGER)


@controllers.register(
    "targets",
    reads=(
        "declaration",
        "listing",
        "sightings",
        "owned_sightings",
        "peer_control",
    ),
    writes=("targets", "targets_out"),
)
class TargetsController(controllers.Controller):
    """Writes fleet.TargetStatus by target and sends notices to peers."""

    __slots__ = (
        "_evidence",
        "_out_reasons",
        "_active",
        "_listing",
        "_listing_version",
        "_leaving_report_ends",
    )

    def start(self) -> None:
        """Sets the initial state, without evidence of any target."""
        self._evidence: dict[str, targets.Evidence] = {}
        # Why a target was taken out of service, by name.
        self._out_reasons: dict[str, str] = {}
        self._active: declarations.ActiveDeclaration | None = None
        self._listing: dict[str, fleet.ListedTarget] = {}
        self._listing_version = -1
        # Expiry of the report that a target is leaving, monotonic seconds.
        self._leaving_report_ends: dict[str, float] = {}

    def step(self, now: float) -> float | None:
        """Updates the evidence and recomputes the status of affected targets.

        Returns:
          When the next leaving report expires, monotonic seconds, or None.
        """
        active = self.get_table("declaration").get("in_force")
        if active is None:
            # Reads and drops the records, so that the logs do not grow.
            for section in ("owned_sightings", "sightings", "peer_control"):
                self.read_new_records(section)
            return None
        affected = self._apply_declaration(active)
        affected |= self._apply_listing(now)
        affected |= self._apply_sightings()
        affected |= self._apply_notices()
        affected |= {
            n for n, ends in self._leaving_report_ends.items() if ends <= now
        }
        for name in affected:
            if name in self._evidence:
                self._decide(name, now)
        return min(self._leaving_report_ends.values(), default=None)

    def _apply_declaration(
        self, active: declarations.ActiveDeclaration
    ) -> set[str]:
        """Applies a declaration.

        Returns:
          Names of added targets and of those that were taken out of service or
          put back into it.
        """
        if active is self._active:
            return set()
        before, self._active = self._active, active
        if before is not None and _is_same_fleet(
            before.declaration, active.declaration
        ):
            return set()
        declared = active.declaration.targets
        removed = self._evidence.keys() - declared.keys()
        for name in removed:
            del self._evidence[name]
            self._leaving_report_ends.pop(name, None)
            self.get_writer("targets").remove(name)
        added = declared.keys() - self._evidence.keys()
        for name in added:
            self._evidence[name] = targets.NO_EVIDENCE
        if added:
            self._listing, self._listing_version = {}, -1
        out_reasons = find_out_reasons(active.declaration)
        changed = {
            name
            for name in out_reasons.keys() | self._out_reasons.keys()
            if out_reasons.get(name) != self._out_reasons.get(name)
        }
        self._out_reasons = out_reasons
        return added | changed

    def _apply_listing(self, now: float) -> set[str]:
        """Applies changed rows of the list; returns their targets."""
        table = self.get_table("listing")
        if table.version == self._listing_version:
            return set()
        self._listing_version = table.version
        before, self._listing = self._listing, table.copy_records()
        affected = {
            name
            for name, row in self._listing.items()
            if before.get(name) is not row
        } | (before.keys() - self._listing.keys())
        for name in affected & self._evidence.keys():
            self._evidence[name] = targets.apply_listing(
                self._evidence[name], self._listing.get(name), now
            )
        return affected

    def _apply_sightings(self) -> set[str]:
        """Applies reports of targets; returns the targets.

        Peers are notified of reports that this host received as an owner, if
        they show a new process of the target or that it is leaving.
        """
        affected = set()
        for observation in self._filter_declared(
            self.read_new_records("owned_sightings")
        ):
            evidence, notice = targets.announce_observation(
                self._evidence[observation.target], observation
            )
            self._evidence[observation.target] = targets.apply_observation(
                evidence, observation
            )
            affected.add(observation.target)
            if notice is not None:
                self.get_writer("targets_out").append(notice)
        for observation in self._filter_declared(
            self.read_new_records("sightings")
        ):
            self._evidence[observation.target] = targets.apply_observation(
                self._evidence[observation.target], observation
            )
            affected.add(observation.target)
        return affected

    def _filter_declared(
        self, observations: collections.abc.Iterable[fleet.TargetObservation]
    ) -> list[fleet.TargetObservation]:
        return [s for s in observations if s.target in self._evidence]

    def _apply_notices(self) -> set[str]:
        """Applies notices from peers; returns the targets."""
        affected = set()
        for received in self.read_new_records("peer_control"):
            notice = received.message
            if not isinstance(notice, messages.TargetNotice):
                continue
            if notice.target not in self._evidence:
                continue
            self._evidence[notice.target] = targets.apply_notice(
                self._evidence[notice.target],
                notice,
                received.sender,
                received.received_at,
            )
            affected.add(notice.target)
        return affected

    def _decide(self, name: str, now: float) -> None:
        """Recomputes the status of a target and writes it if it differs."""
        evidence = self._evidence[name]
        if targets.has_current_leaving_report(evidence, now):
            self._leaving_report_ends[name] = (
                evidence.reported_at + targets.LEAVING_REPORT_LIFETIME_S
            )
        else:
            self._leaving_report_ends.pop(name, None)
        status = targets.decide_status(
            name, self._out_reasons.get(name, ""), evidence, now
        )
        old = self.get_table("targets").get(name)
        if targets.is_same_status(old, status):
            return
        self.get_writer("targets").put(name, status)
        if old is None or old.state != status.state:
            _DECISION_LOG.info(
                "target %s",
                status.state,
                extra={"target": name, "reason": status.reason},
            )


def _is_same_fleet(
    before: declarations.Declaration, after: declarations.Declaration
) -> bool:
    # Successive revisions share the table objects that did not change.
    return (
        before.targets is after.targets
        and before.data_centres is after.data_centres
    )


def find_out_reasons(declaration: declarations.Declaration) -> dict[str, str]:
    """Returns why targets are out of service, by name of those that are.

    Operators take a target or its whole data centre out of service in the
    declaration.
    """
    centres = {c.name for c in declaration.data_centres.values() if c.out}
    out_reasons = {}
    for target in declaration.targets.values():
        if target.out:
            out_reasons[target.name] = "the target is out of service"
        elif target.data_centre in centres:
            out_reasons[target.name] = (
                f"data centre {target.data_centre!r} is out of service"
            )
    return out_reasons
