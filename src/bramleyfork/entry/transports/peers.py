"""Sends and receives gossip messages between entry hosts as UDP datagrams.

Messages are encoded as msgpack. Member updates are small, sent repeatedly and
superseded by later ones, so a lost datagram does no harm. With streams, a
connection that has silently failed would have to be detected first.
"""

import asyncio
import logging

import msgpack

from bramleyfork.entry import components
from bramleyfork.entry import fleet
from bramleyfork.entry import observations
from bramleyfork.entry.transports import _observation_rows

_LOG = logging.getLogger(__name__)

_PROTOCOL_VERSION = 1
_KINDS = ("ping", "join", "ack")
# Kind of the datagrams with observations. Hosts of earlier releases drop them.
_OBSERVATIONS = "observations"
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


DatagramError = _observation_rows.DatagramError


def encode_message(message: fleet.PeerMessage) -> bytes:
    """Encodes a message as one datagram."""
    rows = [
        [getattr(update, name) for name, _ in _FIELDS]
        for update in message.updates
    ]
    return msgpack.packb(
        [_PROTOCOL_VERSION, message.kind, message.sequence, rows]
    )


def decode_message(data: bytes, address: fleet.Address) -> fleet.PeerMessage:
    """Decodes the message of a datagram.

    Args:
      data: The datagram.
      address: Address of the sender.

    Raises:
      DatagramError: The datagram is not valid msgpack, has another protocol
        version, or has a field with a wrong type or value.
    """
    return _decode_fields(_unpack(data), address)


def encode_observations(
    batch: tuple[observations.Observation, ...], now: float
) -> bytes:
    """Encodes observations as one datagram.

    Args:
      batch: The observations.
      now: Monotonic time in seconds, from which their ages are computed.
    """
    return msgpack.packb(
        [
            _PROTOCOL_VERSION,
            _OBSERVATIONS,
            0,
            _observation_rows.encode_rows(batch, now),
        ]
    )


def decode_observations(
    data: bytes,
) -> list[observations.ReceivedObservation]:
    """Decodes the observations of a datagram.

    Raises:
      DatagramError: The datagram doesn't hold valid observations.
    """
    fields = _unpack(data)
    if fields[1] != _OBSERVATIONS:
        raise DatagramError(f"kind {fields[1]!r} is not {_OBSERVATIONS!r}")
    return _observation_rows.decode_rows(fields[3])


def _unpack(data: bytes) -> tuple:
    """Returns the fields of a datagram: protocol, kind, sequence and rows."""
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise DatagramError(
            f"datagram is not valid msgpack: {error}"
        ) from error
    if not isinstance(fields, tuple) or len(fields) != 4:
        raise DatagramError("message must be an array of 4 fields")
    if fields[0] != _PROTOCOL_VERSION:
        raise DatagramError(
            f"protocol version {fields[0]!r} is invalid;"
            f" valid: {_PROTOCOL_VERSION}"
        )
    return fields


def _decode_fields(fields: tuple, address: fleet.Address) -> fleet.PeerMessage:
    _, kind, sequence, rows = fields
    if kind not in _KINDS:
        raise DatagramError(f"message kind {kind!r} is not one of {_KINDS}")
    if not isinstance(sequence, int):
        raise DatagramError(f"sequence number is {sequence!r}, not an integer")
    if not isinstance(rows, tuple) or not rows:
        raise DatagramError("message must have at least one member update")
    return fleet.PeerMessage(
        kind=kind,
        sequence=sequence,
        address=address,
        updates=tuple(_decode_row(row) for row in rows),
    )


def _decode_row(row: object) -> fleet.MemberUpdate:
    if not isinstance(row, tuple) or len(row) != len(_FIELDS):
        raise DatagramError(
            f"member update must have {len(_FIELDS)} fields, got {row!r}"
        )
    for (name, kind), value in zip(_FIELDS, row, strict=True):
        if not isinstance(value, kind):
            raise DatagramError(
                f"field {name} is {value!r}, not {kind.__name__}"
            )
        if kind is tuple and not _is_address(value):
            raise DatagramError(
                f"field {name} is {value!r}, not an address and port"
            )
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
    reads=("peer_sends", "observation_sends"),
    writes=("peer_messages", "peer_observations"),
)
class PeerTransport(components.Component):
    """Sends and receives pings, joins, acks and observations."""

    __slots__ = ("_datagram_socket",)

    def start(self) -> None:
        """Sets up state before the first step."""
        self._datagram_socket: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the UDP socket to this host's peer address."""
        loop = asyncio.get_running_loop()
        self._datagram_socket, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(transport=self),
            local_addr=self.context.settings.peer_address,
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._datagram_socket is not None:
            self._datagram_socket.close()

    def step(self, now: float) -> float | None:
        """Sends the messages in ``peer_sends`` and ``observation_sends``."""
        for send in self.read_new_records("peer_sends"):
            self._send(encode_message(send), send.address)
        for send in self.read_new_records("observation_sends"):
            self._send(
                encode_observations(send.observations, now), send.address
            )
        return None

    def _send(self, data: bytes, address: fleet.Address) -> None:
        if self._datagram_socket is not None:
            self._datagram_socket.sendto(data, address)

    def receive(self, data: bytes, address: fleet.Address) -> None:
        """Writes the content of a datagram to the section for its kind.

        A datagram that is not a valid message is counted and dropped.

        Args:
          data: The datagram.
          address: Address of the sender.
        """
        try:
            fields = _unpack(data)
            if fields[1] == _OBSERVATIONS:
                self.get_writer("peer_observations").extend(
                    _observation_rows.decode_rows(fields[3])
                )
                return
            message = _decode_fields(fields, address)
        except DatagramError as error:
            self.context.metrics.count("peer_datagrams_unreadable")
            _LOG.warning(
                "invalid datagram dropped", extra={"detail": str(error)}
            )
            return
        self.get_writer("peer_messages").append(message)


class _Receiver(asyncio.DatagramProtocol):
    """Passes received datagrams and socket errors to the transport."""

    __slots__ = ("_peer_transport",)

    def __init__(self, *, transport: PeerTransport):
        self._peer_transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        """Passes a datagram to the transport."""
        self._peer_transport.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Counts a send that failed because its host is unreachable.

        Nothing else is done: missing acks show that the host has failed.
        """
        del exc
        self._peer_transport.context.metrics.count("peer_datagrams_unreachable")
