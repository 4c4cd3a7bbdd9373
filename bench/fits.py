"""Fits measured figures over the size of the fleet and renders tables."""

import math
import statistics
import typing

Row = dict[str, typing.Any]


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Returns slope and intercept of the least-squares line through points."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return {"slope": slope, "intercept": intercept}


def fit_power(points: list[tuple[float, float]]) -> float | None:
    """Returns the exponent of a power law, or None if a value is not positive.

    An exponent of 1 is linear growth, 2 is quadratic growth.
    """
    if any(x <= 0 or y <= 0 for x, y in points):
        return None
    return fit_line([(math.log(x), math.log(y)) for x, y in points])["slope"]


def fit_rows(rows: list[Row], size: str) -> dict[str, dict[str, typing.Any]]:
    """Returns line and exponent of every numeric figure over ``size``.

    Figures with values at fewer than two sizes are left out.
    """
    found = {}
    for name in list_figures(rows, size):
        points = [(row[size], row[name]) for row in rows if name in row]
        if len({x for x, _ in points}) > 1:
            found[name] = fit_line(points) | {"exponent": fit_power(points)}
    return found


def list_figures(rows: list[Row], size: str) -> list[str]:
    """Returns the names of all numeric figures in order of appearance."""
    names = {
        name: None
        for row in rows
        for name, value in row.items()
        if name != size and isinstance(value, int | float)
    }
    return list(names)


def render_table(report: Row, size: str) -> str:
    """Returns a Markdown table with one row per figure, then the errors."""
    rows, found = report["rows"], report["fits"]
    head = [size, *(str(row[size]) for row in rows)]
    lines = [
        f"{report['started']}, `{report['command']}`",
        "",
        _join([*head, "slope", "intercept", "exponent"]),
        _join(["---"] * (len(head) + 3)),
    ]
    for name in list_figures(rows, size):
        fit = found.get(name, {})
        cells = [_format(row.get(name)) for row in rows]
        fitted = [
            _format(fit.get(key)) for key in ("slope", "intercept", "exponent")
        ]
        lines.append(_join([name, *cells, *fitted]))
    errors = [
        f"\n{row[size]}: {row['error']}" for row in rows if "error" in row
    ]
    return "\n".join([*lines, *errors]) + "\n"


def _join(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _format(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"
