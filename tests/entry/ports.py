"""Finds free TCP ports for the processes of tests."""

import contextlib
import socket


def find_ports(count):
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            found.append(sock.getsockname()[1])
        return found
