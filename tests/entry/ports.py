"""Reserves TCP ports for the processes of tests.

Ports are taken below the range from which the kernel chooses source ports, so
that no connection of a test occupies a port before its process binds it.
"""

import random
import socket

_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_PORTS_PER_BLOCK = 16

# The first port of each block stays bound until the test process exits, so that
# test processes on the same machine use different blocks.
_block_locks: list[socket.socket] = []
_unused: list[int] = []


def find_ports(count):
    found = []
    while len(found) < count:
        if not _unused:
            _unused.extend(_reserve_block())
        port = _unused.pop()
        if _is_free(port):
            found.append(port)
    return found


def _reserve_block():
    blocks = list(range(_FIRST_PORT, _LAST_PORT, _PORTS_PER_BLOCK))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return range(first + 1, first + _PORTS_PER_BLOCK)
    raise RuntimeError(
        f"no free block of ports between {_FIRST_PORT} and {_LAST_PORT}"
    )


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
