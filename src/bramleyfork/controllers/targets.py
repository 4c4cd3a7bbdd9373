"""Keeps what this host believes of each target."""

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
    """Writes fleet.TargetStatus by target and notices to peers."""

    __slots__ = (
        "_evidence",
        "_out",
        "_active",
        "_listing",
        "_listing_version",
        "_leaving_report_ends",
    )

    def start(self) -> None:
        """Begins without knowledge."""
        self._evidence: dict[str, targets.Evidence] = {}
        self._out: dict[str, str] = {}  # Why a target is out, by name.
        self._active: declarations.ActiveDeclaration | None = None
        self._listing: dict[str, fleet.ListedTarget] = {}
        self._listing_version = -1
        self._leaving_report_ends: dict[str, float] = {}

    def step(self, now: float) -> float | None:
        """Takes in what is new and decides again for what it touches."""
        active = self.get_table("declaration").get("in_force")
        if active is None:
            # The logs are taken so that they do not grow.
            for section in ("owned_sightings", "sightings", "peer_control"):
                self.read_new_records(section)
            return None
        touched = self._note_declaration(active)
        touched |= self._note_listing(now)
        touched |= self._note_sightings()
        touched |= self._note_notices()
        touched |= {
            n for n, ends in self._leaving_report_ends.items() if ends <= now
        }
        for name in touched:
            if name in self._evidence:
                self._decide(name, now)
        return min(self._leaving_report_ends.values(), default=None)

    def _note_declaration(
        self, active: declarations.ActiveDeclaration
    ) -> set[str]:
        """Returns new targets and those that go out or come back."""
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
            self._evidence[name] = targets.NOTHING
        if added:
            self._listing, self._listing_version = {}, -1
        out = find_out_reasons(active.declaration)
        changed = {
            name
            for name in out.keys() | self._out.keys()
            if out.get(name) != self._out.get(name)
        }
        self._out = out
        return added | changed

    def _note_listing(self, now: float) -> set[str]:
        table = self.get_table("listing")
        if table.version == self._listing_version:
            return set()
        self._listing_version = table.version
        before, self._listing = self._listing, table.copy_records()
        touched = {
            name
            for name, row in self._listing.items()
            if before.get(name) is not row
        } | (before.keys() - self._listing.keys())
        for name in touched & self._evidence.keys():
            self._evidence[name] = targets.note_listing(
                self._evidence[name], self._listing.get(name), now
            )
        return touched

    def _note_sightings(self) -> set[str]:
        touched = set()
        for observation in self._list_known(
            self.read_new_records("owned_sightings")
        ):
            evidence, notice = targets.announce_observation(
                self._evidence[observation.target], observation
            )
            self._evidence[observation.target] = targets.apply_observation(
                evidence, observation
            )
            touched.add(observation.target)
            if notice is not None:
                self.get_writer("targets_out").append(notice)
        for observation in self._list_known(self.read_new_records("sightings")):
            self._evidence[observation.target] = targets.apply_observation(
                self._evidence[observation.target], observation
            )
            touched.add(observation.target)
        return touched

    def _list_known(
        self, observations: collections.abc.Iterable[fleet.TargetObservation]
    ) -> list[fleet.TargetObservation]:
        return [s for s in observations if s.target in self._evidence]

    def _note_notices(self) -> set[str]:
        touched = set()
        for received in self.read_new_records("peer_control"):
            notice = received.message
            if not isinstance(notice, messages.TargetNotice):
                continue
            if notice.target not in self._evidence:
                continue
            self._evidence[notice.target] = targets.note_notice(
                self._evidence[notice.target],
                notice,
                received.sender,
                received.received_at,
            )
            touched.add(notice.target)
        return touched

    def _decide(self, name: str, now: float) -> None:
        evidence = self._evidence[name]
        if targets.has_current_leaving_report(evidence, now):
            self._leaving_report_ends[name] = (
                evidence.reported_at + targets.LEAVING_REPORT_LIFETIME_S
            )
        else:
            self._leaving_report_ends.pop(name, None)
        status = targets.decide_status(
            name, self._out.get(name, ""), evidence, now
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
    # Revisions share the tables that they leave as they are.
    return (
        before.targets is after.targets
        and before.data_centres is after.data_centres
    )


def find_out_reasons(declaration: declarations.Declaration) -> dict[str, str]:
    """Returns why targets are out, by name of the targets that are."""
    centres = {c.name for c in declaration.data_centres.values() if c.out}
    out = {}
    for target in declaration.targets.values():
        if target.out:
            out[target.name] = "the target is out"
        elif target.data_centre in centres:
            out[target.name] = f"data centre {target.data_centre!r} is out"
    return out
