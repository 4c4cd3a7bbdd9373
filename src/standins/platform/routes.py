"""Handlers of the platform's routes."""

from aiohttp import web

from standins.platform import extension_points
from standins.platform import server


@extension_points.ROUTES.register("values")
async def answer_value(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Returns a value."""
    key = request.path.removeprefix("/v1/values/")
    return server.encode_value(http.board.find_section("values").get(key))


@extension_points.ROUTES.register("watch")
async def answer_watch(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Returns a value once it differs from the one that the client has."""
    key = request.path.removeprefix("/v1/watch/")
    return await http.watch(request, source, key)


@extension_points.ROUTES.register("targets")
async def answer_targets(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Returns the rows of the listing that are visible."""
    shown = http.board.find_section("listing").get("shown")
    return server.encode_json({"targets": shown})


@extension_points.ROUTES.register("other")
async def answer_other(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Returns status 404."""
    return server.encode_json({"error": "unknown_path"}, 404)
