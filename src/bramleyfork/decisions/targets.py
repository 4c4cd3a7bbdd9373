"""What to believe of a target, from the list, its own reports and peers."""

import math

from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import records
from bramleyfork.core import requests

# Nobody sends to a leaving target, so nobody hears that it has come back. If
# the list does not show its return either, it is tried again after this time.
LEAVING_REPORT_LIFETIME_S = 60.0


class Evidence(records.Record):
    """What was heard of a target.

    Attributes:
      listed: State in the platform's list: "live", "leaving" or None.
      listed_since: When that state was first seen, monotonic seconds.
      listed_epoch: Epoch known at that time.
      listed_holdings: Holdings in the list.
      listed_holdings_at: When they last changed, monotonic seconds.
      state: The target's latest report: "cold", "warm", "leaving" or None.
      epoch: Epoch of that report.
      reported_at: When it was heard, monotonic seconds.
      reported_by: Peer that passed it on; empty when heard directly.
      holdings: Holdings it last stated directly.
      holdings_at: When it stated them, monotonic seconds; -inf for never.
      load: Load it last stated.
      announced: State and epoch that other hosts know of.
    """

    __slots__ = (
        "listed",
        "listed_since",
        "listed_epoch",
        "listed_holdings",
        "listed_holdings_at",
        "state",
        "epoch",
        "reported_at",
        "reported_by",
        "holdings",
        "holdings_at",
        "load",
        "announced",
    )

    def __init__(
        self,
        *,
        listed: str | None = None,
        listed_since: float = -math.inf,
        listed_epoch: str | None = None,
        listed_holdings: tuple[requests.Holding, ...] = (),
        listed_holdings_at: float = -math.inf,
        state: str | None = None,
        epoch: str | None = None,
        reported_at: float = -math.inf,
        reported_by: str = "",
        holdings: tuple[requests.Holding, ...] = (),
        holdings_at: float = -math.inf,
        load: float = 0.0,
        announced: tuple[str, str] | None = None,
    ):
        self.listed = listed
        self.listed_since = listed_since
        self.listed_epoch = listed_epoch
        self.listed_holdings = listed_holdings
        self.listed_holdings_at = listed_holdings_at
        self.state = state
        self.epoch = epoch
        self.reported_at = reported_at
        self.reported_by = reported_by
        self.holdings = holdings
        self.holdings_at = holdings_at
        self.load = load
        self.announced = announced


NOTHING = Evidence()


def note_listing(
    evidence: Evidence, listed: fleet.ListedTarget | None, now: float
) -> Evidence:
    """Adds a target's row of the platform's list; None when it is absent."""
    state = listed.state if listed else None
    holdings = listed.holdings if listed else ()
    if state != evidence.listed:
        evidence = evidence.replace(
            listed=state, listed_since=now, listed_epoch=evidence.epoch
        )
    if holdings != evidence.listed_holdings:
        evidence = evidence.replace(
            listed_holdings=holdings, listed_holdings_at=now
        )
    return evidence


def apply_observation(
    evidence: Evidence, observation: fleet.TargetObservation
) -> Evidence:
    """Adds what a target said of itself; an older report is ignored."""
    if observation.seen_at < evidence.reported_at and not evidence.reported_by:
        return evidence
    report = observation.report
    return evidence.replace(
        state=report.state,
        epoch=report.epoch,
        reported_at=observation.seen_at,
        reported_by="",
        holdings=report.holdings,
        holdings_at=observation.seen_at,
        load=report.load,
    )


def note_notice(
    evidence: Evidence,
    notice: messages.TargetNotice,
    sender: str,
    received_at: float,
) -> Evidence:
    """Adds what a peer passed on.

    A notice that a process is cold says nothing new about a process that is
    known already; in particular it does not undo that it is leaving.
    """
    if notice.epoch == evidence.epoch and notice.state != "leaving":
        return evidence
    return evidence.replace(
        state=notice.state,
        epoch=notice.epoch,
        reported_at=received_at,
        reported_by=sender,
        announced=(notice.state, notice.epoch),
    )


def announce_observation(
    evidence: Evidence, observation: fleet.TargetObservation
) -> tuple[Evidence, messages.TargetNotice | None]:
    """Returns the notice to peers after an owned sighting, if one is due.

    Peers are told of a target that newly says that it is leaving, and of a new
    epoch. The first epoch ever seen is no news.

    Args:
      evidence: What was known before the sighting.
      observation: What the owner saw.

    Returns:
      The evidence with what peers know, and the notice or None.
    """
    report = observation.report
    state = "leaving" if report.state == "leaving" else "cold"
    if evidence.announced is None and state != "leaving":
        return evidence.replace(announced=(state, report.epoch)), None
    told_state, told_epoch = evidence.announced or ("", "")
    if told_epoch == report.epoch and state in (told_state, "cold"):
        return evidence, None
    notice = messages.TargetNotice(
        to=messages.ALL_PEERS,
        target=observation.target,
        state=state,
        epoch=report.epoch,
    )
    return evidence.replace(announced=(state, report.epoch)), notice


def decide_status(
    target: str, out_reason: str, evidence: Evidence, now: float
) -> fleet.TargetStatus:
    """Returns what to believe of a target.

    Args:
      target: Name of the target.
      out_reason: Why operators have taken it out; empty if they have not.
      evidence: What was heard of it.
      now: Monotonic time, seconds.
    """
    leaving_reason = find_leaving_reason(evidence, now)
    state, reason = "usable", ""
    if out_reason:
        state, reason = "out", out_reason
    elif leaving_reason:
        state, reason = "leaving", leaving_reason
    return fleet.TargetStatus(
        target=target,
        state=state,
        reason=reason,
        epoch=evidence.epoch,
        holdings=merge_holdings(evidence),
        heard_at=evidence.reported_at,
        load=evidence.load,
    )


def find_leaving_reason(evidence: Evidence, now: float) -> str:
    """Returns who says that a target is leaving; empty if nobody does."""
    if has_current_leaving_report(evidence, now):
        if evidence.reported_by:
            return f"{evidence.reported_by} says it is leaving"
        return "it says it is leaving"
    if evidence.listed == "leaving" and not _has_restarted(evidence):
        return "it is listed as leaving"
    return ""


def has_current_leaving_report(evidence: Evidence, now: float) -> bool:
    """Returns whether the target's own report that it is leaving still counts.

    It ends with a later report, when the list shows the target's return after
    it, or after LEAVING_REPORT_LIFETIME_S.
    """
    if evidence.state != "leaving":
        return False
    if (
        evidence.listed == "live"
        and evidence.listed_since > evidence.reported_at
    ):
        return False
    return now < evidence.reported_at + LEAVING_REPORT_LIFETIME_S


def _has_restarted(evidence: Evidence) -> bool:
    """Returns whether a new process spoke after the list said leaving."""
    return (
        evidence.reported_at > evidence.listed_since
        and evidence.listed_epoch is not None
        and evidence.epoch != evidence.listed_epoch
    )


def merge_holdings(evidence: Evidence) -> tuple[requests.Holding, ...]:
    """Returns what a target holds, as far as known.

    The target's own report goes before the list. If the list's row has changed
    since, its holdings are added: a replica that is not asked for lack of a
    snapshot would otherwise never be heard of again when it has got it. A
    wrong addition costs one attempt that is refused as not run.
    """
    if evidence.holdings_at == -math.inf:
        return evidence.listed_holdings
    if evidence.listed_holdings_at <= evidence.holdings_at:
        return evidence.holdings
    added = tuple(
        holding
        for holding in evidence.listed_holdings
        if holding not in evidence.holdings
    )
    return evidence.holdings + added


def is_same_status(
    first: fleet.TargetStatus | None, second: fleet.TargetStatus
) -> bool:
    """Returns whether two beliefs differ at most in when they were heard."""
    if first is None:
        return False
    return first.replace(heard_at=second.heard_at) == second
