"""The transport between entry hosts: datagrams of msgpack.

News is small, is repeated and supersedes what came before, so a lost datagram
does no harm, while a stream that has gone silent would have to be noticed
first.
"""

import asyncio
import logging

import msgpack

from bramleyfork.entry import components
from bramleyfork.entry import fleet

_LOG = logging.getLogger(__name__)

_PROTOCOL = 1
_KINDS = ("ping", "join", "ack")
_FIELDS = (
    ("host", str),
    ("incarnation", int),
    ("count", int),
    ("state", str),
    ("data_centre", str),
    ("caller_address", tuple),
    ("peer_address", tuple),
    ("carrier_address", tuple),
    ("capacity", float),
)


class DatagramError(ValueError):
    """A datagram is not a message of this protocol."""


def encode_message(message: fleet.PeerMessage) -> bytes:
    """Returns a message as one datagram."""
    rows = [
        [getattr(update, name) for name, _ in _FIELDS]
        for update in message.updates
    ]
    return msgpack.packb([_PROTOCOL, message.kind, message.sequence, rows])


def decode_message(data: bytes, address: fleet.Address) -> fleet.PeerMessage:
    """Returns the message of a datagram.

    Args:
      data: The datagram.
      address: Where it came from.

    Raises:
      DatagramError: The datagram is not one of ``encode_message``.
    """
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise DatagramError(f"unreadable datagram: {error}") from error
    if not isinstance(fields, tuple) or len(fields) != 4:
        raise DatagramError("a message has 4 fields")
    protocol, kind, sequence, rows = fields
    if protocol != _PROTOCOL:
        raise DatagramError(f"protocol {protocol!r} is not {_PROTOCOL}")
    if kind not in _KINDS:
        raise DatagramError(f"kind {kind!r} is not one of {_KINDS}")
    if not isinstance(sequence, int):
        raise DatagramError(f"sequence is {sequence!r}, not a number")
    if not isinstance(rows, tuple) or not rows:
        raise DatagramError("a message has at least one beat")
    return fleet.PeerMessage(
        kind=kind,
        sequence=sequence,
        address=address,
        updates=tuple(_decode_row(row) for row in rows),
    )


def _decode_row(row: object) -> fleet.MemberUpdate:
    if not isinstance(row, tuple) or len(row) != len(_FIELDS):
        raise DatagramError(f"a beat has {len(_FIELDS)} fields, not {row!r}")
    for (name, kind), value in zip(_FIELDS, row, strict=True):
        if not isinstance(value, kind):
            raise DatagramError(
                f"field {name} is {value!r}, not {kind.__name__}"
            )
        if kind is tuple and not _is_address(value):
            raise DatagramError(f"field {name} is {value!r}, not an address")
    update = fleet.MemberUpdate(
        **{name: value for (name, _), value in zip(_FIELDS, row, strict=True)}
    )
    if update.state not in fleet.STATES:
        raise DatagramError(
            f"state {update.state!r} is not one of {fleet.STATES}"
        )
    return update


def _is_address(value: tuple) -> bool:
    return (
        len(value) == 2
        and isinstance(value[0], str)
        and isinstance(value[1], int)
    )


@components.register(
    components.TRANSPORTS,
    "peers",
    reads=("peer_sends",),
    writes=("peer_messages",),
)
class PeerTransport(components.Component):
    """Sends and receives pings and acks."""

    __slots__ = ("_transport",)

    def start(self) -> None:
        """Sets up state before the first step."""
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(transport=self),
            local_addr=self.context.settings.peer_address,
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def step(self, now: float) -> float | None:
        """Sends what is to be sent."""
        del now
        for send in self.read_new_records("peer_sends"):
            if self._transport is not None:
                self._transport.sendto(encode_message(send), send.address)
        return None

    def receive(self, data: bytes, address: fleet.Address) -> None:
        """Passes on the message of a datagram."""
        try:
            message = decode_message(data, address)
        except DatagramError as error:
            self.context.metrics.count("peer_datagrams_unreadable")
            _LOG.warning("datagram refused", extra={"detail": str(error)})
            return
        self.get_writer("peer_messages").append(message)


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to the transport."""

    __slots__ = ("_transport",)

    def __init__(self, *, transport: PeerTransport):
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        """Hands over one datagram."""
        self._transport.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Counts a host that can't be reached; its silence tells the rest."""
        del exc
        self._transport.context.metrics.count("peer_datagrams_unreachable")
