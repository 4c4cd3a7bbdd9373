"""Outage modes: each function answers a read as in that kind of outage."""

from aiohttp import web

from standins.platform import extension_points
from standins.platform import server


@extension_points.OUTAGES.register("none")
async def answer(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Returns the regular reply."""
    return await http.read(request, source)


@extension_points.OUTAGES.register("refuse")
async def refuse(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Aborts the connection."""
    raise ConnectionResetError("outage: refuse")


@extension_points.OUTAGES.register("hang")
async def hang(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Does not answer; aborts the connection when the mode changes."""
    while http.find_outage_mode(source) == "hang":
        await http.wait_for_change(None)
    raise ConnectionResetError("outage: hang")


@extension_points.OUTAGES.register("cut_mid_read")
async def cut_mid_read(
    http: server.HttpController, request: web.BaseRequest, source: str
) -> server.Reply:
    """Sends half of the body and closes the connection."""
    reply = await http.read(request, source)
    return reply.replace(cut=True)
