"""Crowds of clients that stay outside the limits, at each listener.

Guards against a process that ends, runs out of memory or descriptors, or no
longer answers ordinary clients.
"""

import asyncio

import pytest

from tests.crowds import clients
from tests.crowds import programs

# Memory of the smallest machine that hosts run on.
MEMORY_BYTES = 200 * 1000 * 1000
CROWD_SIZE = 240  # Connections.
# Descriptors of a process whose crowd is larger than that.
DESCRIPTORS = 250
CROWD_OVER_DESCRIPTORS = 300

HTTP_KINDS = [
    "one field without end",
    "short fields without end",
    "blank lines without end",
    "bodies a byte short, at once",
    "bodies a byte short, in pieces",
    "large chunks, a byte short",
    "chunks of a byte, a byte short",
    "whole bodies, pipelined",
    "answers that are never read",
    "malformed requests behind one",
]
FRAME_KINDS = [
    "frames a byte short",
    "msgpack a byte short",
    "frames of unknown records",
]
HTTP_LISTENERS = [
    ("entry", "caller"),
    ("entry", "pages"),
    ("entry", "metrics"),
    ("daemon", "caller"),
    ("daemon", "administration"),
]
FRAME_LISTENERS = [
    ("entry", "peer"),
    ("entry", "carrier"),
    ("daemon", "peer"),
]
CASES = [
    *((*listener, kind) for listener in HTTP_LISTENERS for kind in HTTP_KINDS),
    *(
        (*listener, kind)
        for listener in FRAME_LISTENERS
        for kind in FRAME_KINDS
    ),
]


async def check(folder, name, listener, kind, *, size, descriptors=None):
    run = programs.RUNNERS[name]
    async with run(folder, descriptors=descriptors) as program:
        crowd = clients.Crowd()
        try:
            await crowd.send(program.addresses[listener], kind, size)
            # The crowd stays connected.
            assert program.is_alive()
            assert await program.ask() == 200
            request = programs.ORDINARY_AT.get((name, listener))
            if request is not None:
                address = program.addresses[listener]
                assert await clients.ask(address, request) == 200
            assert program.is_alive()
            assert program.read_peak_memory() < MEMORY_BYTES
            if descriptors is not None:
                assert program.count_descriptors() < descriptors
        finally:
            await crowd.close()


@pytest.mark.parametrize(("name", "listener", "kind"), CASES)
def test_a_process_outlives_a_crowd_and_serves_others(
    tmp_path, name, listener, kind
):
    asyncio.run(check(tmp_path, name, listener, kind, size=CROWD_SIZE))


@pytest.mark.parametrize(("name", "listener"), HTTP_LISTENERS + FRAME_LISTENERS)
def test_a_crowd_that_sends_nothing_leaves_descriptors(
    tmp_path, name, listener
):
    asyncio.run(
        check(
            tmp_path,
            name,
            listener,
            "nothing",
            size=CROWD_OVER_DESCRIPTORS,
            descriptors=DESCRIPTORS,
        )
    )
