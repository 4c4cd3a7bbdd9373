"""Validates the bodies of the platform's control calls.

Each function validates the call that it is registered for. It returns the body
completed with defaults, or raises ValueError.
"""

import typing

from standins import blackboard
from standins.platform import extension_points
from standins.platform import platform_records

Body = dict[str, typing.Any]


def check_fields(body: Body, defaults: Body) -> Body:
    """Returns the body completed with defaults.

    Raises:
      ValueError: The body has an unknown field.
    """
    unknown = sorted(set(body) - set(defaults))
    if unknown:
        raise ValueError(
            f"unknown field {unknown[0]!r}; valid fields: {sorted(defaults)}"
        )
    return {**defaults, **body}


@extension_points.COMMANDS.register("publish")
def check_publish(body: Body, board: blackboard.Blackboard) -> Body:
    """Publishes a set of values; ``keep`` retains those of the newest set."""
    body = check_fields(body, {"values": {}, "keep": False})
    values = {}
    for key, text in body["values"].items():
        if not isinstance(text, str):
            raise ValueError(f"value {key!r} must be a string, not {text!r}")
        values[key] = platform_records.build_value(key, text.encode())
    return {"values": values, "keep": body["keep"]}


@extension_points.COMMANDS.register("stale")
def check_stale(body: Body, board: blackboard.Blackboard) -> Body:
    """Serves an older set, ``manifest_age`` publications before the newest."""
    body = check_fields(body, {"manifest_age": 0})
    oldest = len(board.find_section("sets")) - 1
    age = body["manifest_age"]
    if type(age) is not int or not 0 <= age <= oldest:
        raise ValueError(f"manifest_age {age!r} must be in [0, {oldest}]")
    return body


@extension_points.COMMANDS.register("outage")
def check_outage(body: Body, board: blackboard.Blackboard) -> Body:
    """Sets the outage mode of some source addresses.

    Without ``sources`` the mode applies to all of them and replaces those set
    before.
    """
    body = check_fields(body, {"mode": "none", "sources": None})
    try:
        extension_points.OUTAGES.find(body["mode"])
    except LookupError as error:
        raise ValueError(str(error)) from None
    return body


@extension_points.COMMANDS.register("listing")
def check_listing(body: Body, board: blackboard.Blackboard) -> Body:
    """Replaces the rows of /v1/targets, visible after ``lag_s`` seconds."""
    body = check_fields(body, {"targets": [], "lag_s": 0.0})
    for row in body["targets"]:
        if set(row) != {"name", "state", "holdings"}:
            raise ValueError(
                f"row {row!r} must have name, state and holdings only"
            )
    return body


@extension_points.COMMANDS.register("reset")
def check_reset(body: Body, board: blackboard.Blackboard) -> Body:
    """Resets the counts of calls."""
    return check_fields(body, {})
