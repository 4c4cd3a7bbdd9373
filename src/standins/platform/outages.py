"""Outage modes: each answers a reader's call in its way."""

from aiohttp import web

from standins.platform import kinds
from standins.platform import server


@kinds.OUTAGES.register("none")
async def answer(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Answers as documented."""
    return await http.read(request, source)


@kinds.OUTAGES.register("refuse")
async def refuse(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Aborts the connection."""
    raise ConnectionResetError("outage: refuse")


@kinds.OUTAGES.register("hang")
async def hang(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Does not answer; aborts the connection when the mode changes."""
    while http.find_mode(source) == "hang":
        await http.wait_for_change(None)
    raise ConnectionResetError("outage: hang")


@kinds.OUTAGES.register("cut_mid_read")
async def cut_mid_read(
    http: server.Http, request: web.BaseRequest, source: str
) -> server.Reply:
    """Sends half of the body and closes the connection."""
    reply = await http.read(request, source)
    return reply.replace(cut=True)
