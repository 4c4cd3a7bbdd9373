"""Builds the results of commands that refuse files or arguments."""

import collections.abc

from bramleyfork.commands import registry
from bramleyfork.configuration import option_schemas


def report_problems(
    problems: collections.abc.Sequence[option_schemas.Problem], message: str
) -> registry.CommandResult:
    """Returns the result for a refused file, with a row for each problem."""
    rows = [
        {
            "file": problem.file,
            "key": problem.key,
            "value": option_schemas.shorten(problem.value),
            "allowed": problem.allowed,
            "advice": problem.advice,
        }
        for problem in problems
    ]
    return registry.CommandResult(
        exit_code=registry.EXIT_REFUSED,
        rows=rows,
        message=f"{message}; problems: {len(rows)}",
    )


def report_usage(usage: str, arguments: list[str]) -> registry.CommandResult:
    """Returns the result of a command called with wrong arguments."""
    return registry.CommandResult(
        exit_code=registry.EXIT_USAGE,
        rows=[],
        message=f"usage: bramleyfork {usage}; got {arguments!r}",
    )
