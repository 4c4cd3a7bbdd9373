"""Opens listening sockets and measures connections."""

import asyncio
import collections.abc
import socket
import struct

# Connections that the kernel queues before they are accepted.
_BACKLOG = 512
# Connections that are accepted in one turn of the event loop. A larger number
# could use up the descriptors before the first of them is counted.
_ACCEPTED_PER_TURN = 16

# The smoothed round-trip time in microseconds (tcpi_rtt) in Linux's tcp_info.
_TCP_INFO_RTT_FORMAT = struct.Struct("68xI")


async def open_server(
    build_protocol: collections.abc.Callable[[], asyncio.BaseProtocol],
    address: tuple[str, int],
) -> asyncio.Server:
    """Listens on an address.

    Args:
      build_protocol: Returns the protocol of a new connection.
      address: IP address and port; for port 0 a free one is chosen.

    Raises:
      OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.setblocking(False)
        # asyncio takes one number for both. The second call sets the backlog of
        # the kernel only.
        server = await asyncio.get_running_loop().create_server(
            build_protocol, sock=sock, backlog=_ACCEPTED_PER_TURN
        )
        sock.listen(_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return server


def measure_round_trip(sock: socket.socket) -> float:
    """Returns the kernel's round-trip time in seconds; 0 if unknown."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_RTT_FORMAT.size
        )
    except (OSError, AttributeError):
        return 0.0  # TCP_INFO is not supported; treated as a nearby caller.
    if len(info) < _TCP_INFO_RTT_FORMAT.size:
        return 0.0
    return _TCP_INFO_RTT_FORMAT.unpack(info)[0] / 1_000_000
