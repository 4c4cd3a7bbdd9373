"""Chooses the snapshot that a query is read at and cuts it into segments."""

import collections
import collections.abc

from bramleyfork.core import ranges
from bramleyfork.core import records
from bramleyfork.core import requests

# Service name -> target name -> holdings.
HoldingsByService = collections.abc.Mapping[
    str, collections.abc.Mapping[str, tuple[requests.Holding, ...]]
]


class SegmentPlan(records.Record):
    """A key range of one service and the targets that hold all of it.

    Attributes:
      service: Name of the service.
      key_range: The range; disjoint from the service's other segments.
      candidates: Names of targets that hold the range at the snapshot.
      is_confirmed: Whether the candidates are known to hold it; others are
        tried because they may have loaded it since their last report.
    """

    __slots__ = ("service", "key_range", "candidates", "is_confirmed")

    def __init__(
        self,
        *,
        service: str,
        key_range: ranges.KeyRange,
        candidates: tuple[str, ...],
        is_confirmed: bool = True,
    ):
        self.service = service
        self.key_range = key_range
        self.candidates = candidates
        self.is_confirmed = is_confirmed


class QueryPlan(records.Record):
    """A snapshot and the disjoint segments that can be read at it.

    Attributes:
      snapshot: Versions that all segments are read at; None if no target holds
        a snapshot that is not excluded.
      segments: Segments in order of service and key.
    """

    __slots__ = ("snapshot", "segments")

    def __init__(
        self,
        *,
        snapshot: requests.Snapshot | None,
        segments: tuple[SegmentPlan, ...],
    ):
        self.snapshot = snapshot
        self.segments = segments


def plan_query(
    holdings: HoldingsByService, excluded: frozenset[requests.Snapshot]
) -> QueryPlan:
    """Returns the plan for the newest snapshot with the most coverage.

    Args:
      holdings: Holdings of each usable target of each requested service.
      excluded: Snapshots that the query has already failed to read.
    """
    coverage = _measure_coverage(holdings)
    choices = [(n, s) for s, n in coverage.items() if s not in excluded]
    if not choices:
        return QueryPlan(snapshot=None, segments=())
    best = max(length for length, _ in choices)
    snapshot = max(s for length, s in choices if length == best)
    segments: list[SegmentPlan] = []
    for service, by_target in sorted(holdings.items()):
        segments.extend(cut_segments(service, by_target, snapshot))
    return QueryPlan(snapshot=snapshot, segments=tuple(segments))


def find_gaps(
    plan: QueryPlan, services: collections.abc.Iterable[str]
) -> tuple[tuple[str, ranges.KeyRange], ...]:
    """Returns the service and key range of each gap in the plan.

    A gap is a range that no target is known to hold at the plan's snapshot.
    """
    if plan.snapshot is None:
        return ()
    held: dict[str, list[ranges.KeyRange]] = {s: [] for s in services}
    for segment in plan.segments:
        held[segment.service].append(segment.key_range)
    return tuple(
        (service, gap)
        for service, parts in held.items()
        for gap in ranges.find_gaps(parts)
    )


def fill_gaps(
    plan: QueryPlan,
    gaps: collections.abc.Iterable[tuple[str, ranges.KeyRange]],
    candidates: collections.abc.Mapping[str, tuple[str, ...]],
) -> QueryPlan:
    """Returns the plan with a segment for each gap that has candidates.

    A target that gets no requests because it lacks a snapshot sends no reports
    either. Without these segments only the platform's list, which lags, would
    show that it has loaded the snapshot.

    Args:
      plan: The plan.
      gaps: Service and key range of each gap, as ``find_gaps`` returns them.
      candidates: Targets to try, by service.
    """
    added = tuple(
        SegmentPlan(
            service=service,
            key_range=gap,
            candidates=candidates[service],
            is_confirmed=False,
        )
        for service, gap in gaps
        if candidates.get(service)
    )
    return plan.replace(segments=plan.segments + added)


def cut_segments(
    service: str,
    by_target: collections.abc.Mapping[str, tuple[requests.Holding, ...]],
    snapshot: requests.Snapshot,
) -> list[SegmentPlan]:
    """Returns disjoint segments of one service at a snapshot.

    Segments are cut at every boundary of a held range, and adjacent segments
    with the same candidates are joined. Keys in ranges that overlap during a
    repartitioning are therefore read once.
    """
    held = [
        (holding.key_range, target)
        for target, target_holdings in by_target.items()
        for holding in target_holdings
        if holding.snapshot == snapshot
    ]
    bounds = sorted({b for r, _ in held for b in (r.low, r.high)})
    segments: list[SegmentPlan] = []
    for low, high in zip(bounds, bounds[1:], strict=False):
        piece = ranges.KeyRange(low=low, high=high)
        candidates = tuple(sorted({t for r, t in held if r.contains(piece)}))
        if not candidates:
            continue
        previous = segments[-1] if segments else None
        if (
            previous is not None
            and previous.candidates == candidates
            and previous.key_range.high == low
        ):
            piece = ranges.KeyRange(low=previous.key_range.low, high=high)
            segments.pop()
        segments.append(
            SegmentPlan(service=service, key_range=piece, candidates=candidates)
        )
    return segments


def _measure_coverage(
    holdings: HoldingsByService,
) -> dict[requests.Snapshot, int]:
    """Returns the number of keys held per snapshot, over all services."""
    total: dict[requests.Snapshot, int] = collections.defaultdict(int)
    for by_target in holdings.values():
        held: dict[requests.Snapshot, list[ranges.KeyRange]] = {}
        for target_holdings in by_target.values():
            for holding in target_holdings:
                held.setdefault(holding.snapshot, []).append(holding.key_range)
        for snapshot, parts in held.items():
            total[snapshot] += sum(
                part.length for part in ranges.merge_ranges(parts)
            )
    return dict(total)
