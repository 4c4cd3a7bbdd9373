"""Routes of readers: each answers one kind of call."""

from aiohttp import web

from standins.platform import extension_points
from standins.platform import server


@extension_points.ROUTES.register("values")
async def answer_value(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers with the bytes of a value."""
    key = request.path.removeprefix("/v1/values/")
    return server.encode_value(http.board.find_section("values").get(key))


@extension_points.ROUTES.register("watch")
async def answer_watch(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers when a value has changed."""
    key = request.path.removeprefix("/v1/watch/")
    return await http.watch(request, source, key)


@extension_points.ROUTES.register("targets")
async def answer_targets(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers with the lagging list of targets."""
    shown = http.board.find_section("listing").get("shown")
    return server.encode_json({"targets": shown})


@extension_points.ROUTES.register("other")
async def answer_other(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers 404."""
    return server.encode_json({"error": "unknown_path"}, 404)
