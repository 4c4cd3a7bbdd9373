"""Routes of readers: each answers one kind of call."""

from aiohttp import web

from standins.platform import kinds
from standins.platform import server


@kinds.ROUTES.register("values")
async def answer_value(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers with the bytes of a value."""
    key = request.path.removeprefix("/v1/values/")
    return server.encode_value(http.board.find("values").get(key))


@kinds.ROUTES.register("watch")
async def answer_watch(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers when a value has changed."""
    key = request.path.removeprefix("/v1/watch/")
    return await http.watch(request, source, key)


@kinds.ROUTES.register("targets")
async def answer_targets(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers with the lagging list of targets."""
    shown = http.board.find("listing").get("shown")
    return server.encode_json({"targets": shown})


@kinds.ROUTES.register("other")
async def answer_other(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers 404."""
    return server.encode_json({"error": "unknown_path"}, 404)
