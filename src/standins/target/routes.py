"""Handlers of a target's routes."""

import json
import time

from aiohttp import web

from standins import registries
from standins.target import extension_points
from standins.target import journal
from standins.target import messages
from standins.target import server


@extension_points.ROUTES.register("attempt")
async def answer_attempt(
    http: server.HttpController,
    request: web.BaseRequest,
    kind: str,
    body: bytes,
) -> messages.Reply:
    """Runs a read or a write and returns its reply."""
    return await http.attempt(request, kind, body)


@extension_points.ROUTES.register("cancel")
async def answer_cancel(
    http: server.HttpController,
    request: web.BaseRequest,
    attempt_id: str,
    body: bytes,
) -> messages.Reply:
    """Cancels an attempt; status 204, or 404 if there is no such attempt."""
    status = 204 if http.cancel(attempt_id) else 404
    headers = {
        **http.build_state_headers(time.monotonic()),
        "Attempt-Id": attempt_id,
    }
    return messages.Reply(status=status, headers=headers, body="")


@extension_points.ROUTES.register("health")
async def answer_health(
    http: server.HttpController,
    request: web.BaseRequest,
    argument: str,
    body: bytes,
) -> messages.Reply:
    """Returns state, load, epoch and holdings."""
    headers = http.build_state_headers(time.monotonic())
    document = {
        "state": headers["Target-State"],
        "load": float(headers["Target-Load"]),
        "epoch": headers["Target-Epoch"],
        "holdings": http.board.find_section("setup").get("holdings"),
    }
    return server.encode_json(document).replace(headers=headers)


@extension_points.ROUTES.register("control")
async def answer_control(
    http: server.HttpController,
    request: web.BaseRequest,
    name: str,
    body: bytes,
) -> messages.Reply:
    """Applies a control call to this target."""
    return apply_control([http], request.method, name, body)


@extension_points.ROUTES.register("unknown")
async def answer_unknown(
    http: server.HttpController,
    request: web.BaseRequest,
    path: str,
    body: bytes,
) -> messages.Reply:
    """Returns status 404."""
    document = {"error": "unknown_path", "detail": path}
    return server.encode_json(document, 404)


def apply_control(
    targets: list[server.HttpController], method: str, name: str, body: bytes
) -> messages.Reply:
    """Applies a control call to targets, or returns their journals.

    An unknown or invalid call returns status 400 and changes nothing.
    """
    if method == "GET" and name == "journal":
        now = time.monotonic()
        found = {
            http.settings.name: journal.describe_journal(http.board, now)
            for http in targets
        }
        return server.encode_json({"targets": found})
    if method != "POST":
        return server.encode_json({"error": f"{method} {name!r}"}, 405)
    try:
        check = extension_points.COMMANDS.find(name)
        document = json.loads(body or b"{}")
        if not isinstance(document, dict):
            raise ValueError(f"{document!r} must be an object")
        checked = check(document)
    except (registries.UnknownNameError, ValueError) as error:
        return server.encode_json({"error": str(error)}, 400)
    for http in targets:
        http.submit_command(name, checked)
    return server.encode_json({"targets": [h.settings.name for h in targets]})
