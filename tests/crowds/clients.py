"""Crowds of clients that don't behave: connections that stay open.

Each crowd yields what one of its connections sends. Sizes don't depend on the
product: they are those of the report that asked for these tests, with fewer
connections.
"""

import asyncio
import contextlib
import itertools
import socket

HEAD = (
    b"POST /find/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %d\r\n"
    b"Deadline-Ms: 20000\r\n"
)
MIB = 1024 * 1024
PIECE_BYTES = 64 * 1024
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LARGE_CHUNK = b"%x\r\n" % PIECE_BYTES + b"b" * PIECE_BYTES + b"\r\n"
_SENDING_LIMIT_S = 4.0  # After that the crowd stays as it is.

CROWDS = {}


def register(name):
    def store(build):
        CROWDS[name] = build
        return build

    return store


def _number():
    return HEAD % next(_NUMBERS)


_NUMBERS = itertools.count(1)


@register("one field without end")
def send_long_field():
    return [_number() + b"X-Long: ", *[b"a" * PIECE_BYTES] * 8]


@register("short fields without end")
def send_short_fields():
    return [_number(), *[b"A: b\r\n" * 10_000] * 8]


@register("blank lines without end")
def send_blank_lines():
    return [b"\r\n" * 32_000] * 8


@register("bodies a byte short, at once")
def send_short_body():
    head = _number() + b"Content-Length: %d\r\n\r\n" % MIB
    return [head + b"b" * (MIB - 1)]


@register("bodies a byte short, in pieces")
def send_short_body_in_pieces():
    head = _number() + b"Content-Length: %d\r\n\r\n" % MIB
    last = b"b" * (PIECE_BYTES - 1)
    return [head, *[b"b" * PIECE_BYTES] * 15, last]


@register("large chunks, a byte short")
def send_large_chunks():
    return [_number() + _CHUNKED, *[_LARGE_CHUNK] * 15, _LARGE_CHUNK[:-3]]


@register("chunks of a byte, a byte short")
def send_small_chunks():
    return [_number() + _CHUNKED, *[b"1\r\nb\r\n" * 10_000] * 20]


@register("whole bodies, pipelined")
def send_pipelined_bodies():
    head = b"Content-Length: %d\r\n\r\n" % MIB
    return [_number() + head + b"b" * MIB for _ in range(3)]


@register("answers that are never read")
def send_without_reading():
    request = b"Content-Length: 0\r\n\r\n"
    return [_number() + request for _ in range(30)]


@register("malformed requests behind one")
def send_malformed():
    malformed = b"GET /find/x HTTP/1.1\r\nHost: a.example\r\n\r\n"
    return [_number() + b"Content-Length: 0\r\n\r\n" + malformed * 3000]


@register("nothing")
def send_nothing():
    return []


# Crowds at the listeners for other hosts, which read frames.


@register("frames a byte short")
def send_short_frame():
    return [(MIB).to_bytes(4, "big") + b"b" * (MIB - 1)]


@register("msgpack a byte short")
def send_short_msgpack():
    return [b"\xc6" + (MIB).to_bytes(4, "big") + b"b" * (MIB - 1)]


@register("frames of unknown records")
def send_unknown_frames():
    return [b"\x00\x00\x00\x02\x91\xc0" * 10_000] * 8


class Crowd:
    """Open connections that send what a crowd sends and never read."""

    def __init__(self):
        self._sockets = []
        self._tasks = []

    async def send(self, address, kind, size):
        """Opens connections and sends, until all is sent or the time is up."""
        self._tasks += [
            asyncio.ensure_future(self._send(address, CROWDS[kind]()))
            for _ in range(size)
        ]
        await asyncio.wait(self._tasks, timeout=_SENDING_LIMIT_S)

    async def _send(self, address, pieces):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, address)
            for piece in pieces:
                await loop.sock_sendall(sock, piece)

    async def close(self):
        """Closes the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()


async def ask(address, request, *, patience_s=5.0, tries=2):
    """Sends one ordinary request, again if needed; returns the last status.

    Returns:
      The status; 0 without an answer.
    """
    status = 0
    for _ in range(tries):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(patience_s):
                status = await _ask_once(address, request)
        if status == 200:
            break
        await asyncio.sleep(0.2)
    return status


async def _ask_once(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        line = await reader.readuntil(b"\r\n")
        return int(line.split(b" ")[1])
    finally:
        writer.transport.abort()
