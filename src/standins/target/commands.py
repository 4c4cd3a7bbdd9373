"""Validates the bodies of a target's control calls.

Each function validates the call that it is registered for. It returns the body
completed with defaults, or raises ValueError.
"""

import typing

from standins.target import extension_points
from standins.target import settings as target_settings

Body = dict[str, typing.Any]

NO_FAULTS: Body = {
    "delay_ms": 0.0,
    "delay_probability": 1.0,
    "crash_on": "",
    "wrong_attempt_id": False,
    "cut_reply": False,
}


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


@extension_points.COMMANDS.register("faults")
def check_faults(body: Body) -> Body:
    """Replaces all injected faults of a target; an empty body removes them.

    ``wrong_attempt_id`` and ``cut_reply`` are true to alter every reply, or
    the number of replies to alter.
    """
    body = check_fields(body, NO_FAULTS)
    if type(body["crash_on"]) is not str:
        raise ValueError(f"crash_on {body['crash_on']!r} must be a string")
    for name in set(NO_FAULTS) - {"crash_on"}:
        if not isinstance(body[name], int | float) or body[name] < 0:
            raise ValueError(f"{name} {body[name]!r} must be 0 or more")
    return body


@extension_points.COMMANDS.register("cold")
def check_cold(body: Body) -> Body:
    """Makes a target cold without a restart."""
    return check_fields(body, {"silent": False})


@extension_points.COMMANDS.register("leave")
def check_leave(body: Body) -> Body:
    """Makes a target drain, so that it refuses new requests."""
    return check_fields(body, {})


@extension_points.COMMANDS.register("return")
def check_return(body: Body) -> Body:
    """Ends a drain."""
    return check_fields(body, {})


@extension_points.COMMANDS.register("crash")
def check_crash(body: Body) -> Body:
    """Crashes a target; ``restart_after_s`` overrides its setting once."""
    if set(body) - {"restart_after_s"}:
        raise ValueError(f"crash takes only restart_after_s, not {body!r}")
    return body


@extension_points.COMMANDS.register("holdings")
def check_holdings(body: Body) -> Body:
    """Replaces the holdings of a target."""
    body = check_fields(body, {"holdings": []})
    try:
        rows = target_settings.check_holdings(body["holdings"])
    except target_settings.SettingsError as error:
        raise ValueError(str(error)) from None
    return {"holdings": rows}


@extension_points.COMMANDS.register("blocked_sources")
def check_blocked_sources(body: Body) -> Body:
    """Replaces the source addresses whose connections are aborted."""
    body = check_fields(body, {"sources": []})
    return {"sources": frozenset(body["sources"])}


@extension_points.COMMANDS.register("reset")
def check_reset(body: Body) -> Body:
    """Clears the journal."""
    return check_fields(body, {})
