"""Renders the measurements of bench.policies as Markdown."""

import statistics
import typing

from bench import cases
from bench import demo

Row = dict[str, typing.Any]

_COLUMNS = (
    ("p50 ms", "p50_ms", "{:.0f}"),
    ("p99 ms", "p99_ms", "{:.0f}"),
    ("p99.9 ms", "p999_ms", "{:.0f}"),
    ("coverage", "coverage", "{:.4f}"),
    ("least", "coverage_min", "{:.2f}"),
    ("complete", "complete", "{:.3f}"),
    ("extra load", "extra_load", "{:+.3f}"),
    ("refused", "refused", "{:d}"),
    ("CPU ms", "cpu_ms", "{:.1f}"),
    ("cold violations", "cold_violations", "{:d}"),
    ("hedges", "hedges", "{:d}"),
    ("retries", "retries", "{:d}"),
    ("busiest daemon", "daemon_busy", "{:.2f}"),
    ("machine", "machine_busy", "{:.2f}"),
)
_SUMS = ("refused", "cold_violations", "hedges", "retries", "needed", "seen")
_MEANS = ("coverage", "complete", "cpu_ms", "machine_busy")
_RATIOS = ("p50_ms", "p99_ms", "cpu_ms")


def pool(rows: list[Row]) -> Row:
    """Combines the runs of a variant in one case into one row.

    Percentiles are computed over the latencies of all runs.
    """
    values = [
        v / 1000 for r in rows for x in r["latencies"].values() for v in x
    ]
    pooled = {name: sum(r[name] for r in rows) for name in _SUMS}
    pooled |= {n: statistics.fmean(r[n] for r in rows) for n in _MEANS}
    return pooled | {
        "p50_ms": demo.compute_percentile_ms(values, 50),
        "p99_ms": demo.compute_percentile_ms(values, 99),
        "p999_ms": demo.compute_percentile_ms(values, 99.9),
        "coverage_min": min(r["coverage_min"] for r in rows),
        "extra_load": pooled["seen"] / max(1, pooled["needed"]) - 1,
        "daemon_busy": max(r["daemon_busy"] for r in rows),
    }


def pool_lookup(rows: list[Row], lookup: str) -> float:
    """Returns the p99 latency of one lookup over all runs, in ms."""
    values = [v / 1000 for r in rows for v in r["latencies"].get(lookup, [])]
    return demo.compute_percentile_ms(values, 99)


def list_ratios(plain: list[Row], chosen: list[Row], name: str) -> list[float]:
    """Returns a figure of ``chosen`` divided by that of ``plain``, per pair."""
    by_pair = {row["pair"]: row for row in plain}
    return [
        row[name] / by_pair[row["pair"]][name]
        for row in chosen
        if row["pair"] in by_pair and by_pair[row["pair"]][name]
    ]


def build_report(report: Row) -> str:
    """Returns tables, ratios and goals of all comparisons as Markdown."""
    lines = [
        "# Policies of the answer path",
        "",
        f"{report['started']} UTC, {report['seconds']} s, part"
        f" {report['part']}, {report['pairs']} pairs, seed {report['seed']},"
        f" times scaled by {report['time_scale']}; load average"
        f" {report['load_average'][0][0]:.1f} before and"
        f" {report['load_average'][1][0]:.1f} after.",
    ]
    grouped: dict[tuple[str, str], list[Row]] = {}
    for row in report["rows"]:
        key = (row["deployment"], row["comparison"])
        grouped.setdefault(key, []).append(row)
    for (deployment, comparison), rows in grouped.items():
        lines += ["", f"## {deployment}: {comparison}", ""]
        lines += _build_table(rows)
        lines += ["", *_build_lookup_table(rows)]
        lines += ["", *_list_ratio_lines(rows), "", *list_goals(rows)]
    return "\n".join(lines) + "\n"


def _select(rows: list[Row], case: str, variant: str) -> list[Row]:
    return [r for r in rows if r["case"] == case and r["variant"] == variant]


def _build_table(rows: list[Row]) -> list[str]:
    heads = ["case", "variant", *(head for head, _, _ in _COLUMNS)]
    lines = [f"| {' | '.join(heads)} |", "|" + " --- |" * len(heads)]
    for case in dict.fromkeys(row["case"] for row in rows):
        for variant in ("plain", "chosen"):
            pooled = pool(_select(rows, case, variant))
            cells = [form.format(pooled[n]) for _, n, form in _COLUMNS]
            lines.append(f"| {case} | {variant} | {' | '.join(cells)} |")
    return lines


def _build_lookup_table(rows: list[Row]) -> list[str]:
    """Returns a table by lookup of the cases with several lookups."""
    lines = [
        "| case | variant | lookup | queries | p50 ms | p99 ms | coverage"
        " | complete | refused |",
        "|" + " --- |" * 9,
    ]
    for case in dict.fromkeys(row["case"] for row in rows):
        for variant in ("plain", "chosen"):
            found = _select(rows, case, variant)
            names = found[0]["lookups"]
            for name in names if len(names) > 1 else ():
                lines.append(_build_lookup_line(case, variant, name, found))
    return lines if len(lines) > 2 else []


def _build_lookup_line(
    case: str, variant: str, lookup: str, rows: list[Row]
) -> str:
    parts = [row["lookups"][lookup] for row in rows]
    values = [v / 1000 for r in rows for v in r["latencies"].get(lookup, [])]
    coverage = statistics.fmean(part["coverage"] for part in parts)
    complete = statistics.fmean(part["complete"] for part in parts)
    cells = (
        case,
        variant,
        lookup,
        str(sum(part["queries"] for part in parts)),
        f"{demo.compute_percentile_ms(values, 50):.0f}",
        f"{demo.compute_percentile_ms(values, 99):.0f}",
        f"{coverage:.4f}",
        f"{complete:.3f}",
        str(sum(part["refused"] for part in parts)),
    )
    return f"| {' | '.join(cells)} |"


def _list_ratio_lines(rows: list[Row]) -> list[str]:
    lines = ["| case | ratio chosen / plain | pairs | median |"]
    lines.append("| --- | --- | --- | --- |")
    for case in dict.fromkeys(row["case"] for row in rows):
        plain = _select(rows, case, "plain")
        chosen = _select(rows, case, "chosen")
        for name in _RATIOS:
            ratios = list_ratios(plain, chosen, name)
            if not ratios:
                continue
            shown = " ".join(f"{ratio:.2f}" for ratio in ratios)
            median = statistics.median(ratios)
            lines.append(f"| {case} | {name} | {shown} | {median:.2f} |")
    return lines


def list_goals(rows: list[Row]) -> list[str]:
    """Returns one line per goal with the measured figures."""
    lines = []
    for variant in ("plain", "chosen"):
        calm = _select(rows, "calm", variant)
        slow = _select(rows, "straggler", variant)
        if calm and slow:
            before, after = pool(calm), pool(slow)
            factor = after["p99_ms"] / max(0.1, before["p99_ms"])
            lines.append(
                f"- {variant}: p99 with a straggler is {factor:.2f} times calm"
                f" (goal 1.5) at {after['extra_load']:+.3f} extra load"
                " (goal 0.05)"
            )
        quiet = _select(rows, "calm narrow", variant)
        full = _select(rows, "overload", variant)
        if quiet and full:
            factor = pool_lookup(full, cases.URGENT) / max(
                0.1, pool_lookup(quiet, cases.URGENT)
            )
            lines.append(
                f"- {variant}: urgent p99 at 150 % is {factor:.2f} times calm"
                " (goal 2)"
            )
        for case in ("straggler", "replica lost", "data centre out"):
            found = _select(rows, case, variant)
            if found:
                least = pool(found)["coverage_min"]
                lines.append(
                    f"- {variant}: least coverage, {case}: {least:.3f} (goal 1)"
                )
    return lines
