"""Derives the status of a target from its reports, peers and the list."""

import math

from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.core import records
from bramleyfork.core import requests

# No host sends requests to a leaving target, so none receives a report of its
# return. Unless the platform's list shows the return, the target is tried again
# after this time.
LEAVING_REPORT_LIFETIME_S = 60.0


class Evidence(records.Record):
    """What is known about the state of a target.

    The sources are the platform's list, the target's own reports and notices
    of peers.

    Attributes:
      listed: State in the platform's list: "live", "leaving" or None.
      listed_since: When that state was first seen, monotonic seconds.
      listed_epoch: Epoch of the target known at that time.
      listed_holdings: Holdings in the list.
      listed_holdings_at: When they last changed, monotonic seconds.
      state: State last reported: "cold", "warm", "leaving" or None.
      epoch: Epoch of that report.
      reported_at: When that report was received, monotonic seconds.
      reported_by: Peer that forwarded it; empty if the target sent it directly.
      holdings: Holdings in the last direct report.
      holdings_at: When it was received, monotonic seconds; -inf for never.
      load: Load in the last direct report.
      announced: State and epoch that peers were last notified of.
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


NO_EVIDENCE = Evidence()


def apply_listing(
    evidence: Evidence, row: fleet.ListedTarget | None, now: float
) -> Evidence:
    """Returns the evidence with the target's row of the platform's list.

    Args:
      evidence: The evidence so far.
      row: The row; None if the list does not contain the target.
      now: Monotonic seconds.
    """
    state = row.state if row else None
    holdings = row.holdings if row else ()
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
    """Returns the evidence with a direct report of the target.

    A report older than the last direct one is ignored.
    """
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


def apply_notice(
    evidence: Evidence,
    notice: messages.TargetNotice,
    sender: str,
    received_at: float,
) -> Evidence:
    """Returns the evidence with a notice from a peer.

    A notice that a process is cold is ignored if the process is known already.
    In particular it does not revert that the process is leaving.
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
    """Returns the notice to peers after an owner's observation, if any.

    Peers are notified when a target starts to leave and when it has a new
    epoch. The first epoch observed is not announced.

    Args:
      evidence: The evidence before the observation.
      observation: The owner's observation.

    Returns:
      The evidence with ``announced`` updated, and the notice or None.
    """
    report = observation.report
    state = "leaving" if report.state == "leaving" else "cold"
    if evidence.announced is None and state != "leaving":
        return evidence.replace(announced=(state, report.epoch)), None
    announced_state, announced_epoch = evidence.announced or ("", "")
    if announced_epoch == report.epoch and state in (announced_state, "cold"):
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
    """Returns the status of a target.

    Args:
      target: Name of the target.
      out_reason: Why operators have taken it out of service; empty if they
        have not.
      evidence: What is known about it.
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
    """Returns why a target counts as leaving; empty if it does not."""
    if has_current_leaving_report(evidence, now):
        if evidence.reported_by:
            return f"{evidence.reported_by} reports that it is leaving"
        return "the target reports that it is leaving"
    if evidence.listed == "leaving" and not _has_restarted(evidence):
        return "the platform lists it as leaving"
    return ""


def has_current_leaving_report(evidence: Evidence, now: float) -> bool:
    """Returns whether the last report says leaving and is still valid.

    It is valid until a later report, until the list shows the target's return,
    or for ``LEAVING_REPORT_LIFETIME_S`` seconds.
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
    """Returns whether a new process reported after the list said leaving."""
    return (
        evidence.reported_at > evidence.listed_since
        and evidence.listed_epoch is not None
        and evidence.epoch != evidence.listed_epoch
    )


def merge_holdings(evidence: Evidence) -> tuple[requests.Holding, ...]:
    """Returns the known holdings of a target.

    The target's own report takes precedence over the list. If the row in the
    list has changed since, its holdings are added: otherwise a replica that
    gets no requests because it lacks a snapshot would never be used after it
    has loaded it. A wrong addition costs one attempt, refused as not run.
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
    """Returns whether two statuses are equal except for ``heard_at``."""
    if first is None:
        return False
    return first.replace(heard_at=second.heard_at) == second
