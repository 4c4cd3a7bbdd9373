"""Records of the membership of entry hosts and of their gossip messages."""

from bramleyfork.core import records

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"
SUSPECT = "suspect"  # Did not answer pings.
DEAD = "dead"  # Was suspect for too long.

STATES = (STARTING, SERVING, LEAVING, SUSPECT, DEAD)

Address = tuple[str, int]


class MemberUpdate(records.Record):
    """State of a host, as reported by itself or by a host that suspects it.

    Attributes:
      host: Name of the host.
      incarnation: Milliseconds since 1970 at the start of its process.
      count: Number of the update within the incarnation; only the host itself
        increases it.
      state: One of STATES.
      data_centre: Its data centre.
      caller_address: Its address for callers.
      peer_address: Its address for gossip and for feed reads of other hosts.
      carrier_address: Its address for attempts that other hosts delegate.
      capacity: Traffic that it can handle, relative to other hosts.
    """

    __slots__ = (
        "host",
        "incarnation",
        "count",
        "state",
        "data_centre",
        "caller_address",
        "peer_address",
        "carrier_address",
        "capacity",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        count: int,
        state: str,
        data_centre: str,
        caller_address: Address,
        peer_address: Address,
        carrier_address: Address,
        capacity: float = 1.0,
    ):
        self.host = host
        self.incarnation = incarnation
        self.count = count
        self.state = state
        self.data_centre = data_centre
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.carrier_address = carrier_address
        self.capacity = capacity


class Member(records.Record):
    """A host as this host knows it.

    Attributes:
      update: The latest update about it.
      changed_at: Monotonic time at which that update arrived or was made here.
    """

    __slots__ = ("update", "changed_at")

    def __init__(self, *, update: MemberUpdate, changed_at: float):
        self.update = update
        self.changed_at = changed_at


class PeerMessage(records.Record):
    """A ping or its ack, with piggybacked member updates.

    Attributes:
      kind: "ping", "ack", or "join": a ping that asks for all known updates.
      sequence: Number of the ping, which its ack repeats.
      address: Address of the receiver, or of the sender of a received message.
      updates: Member updates; the first is about the sender itself.
    """

    __slots__ = ("kind", "sequence", "address", "updates")

    def __init__(
        self,
        *,
        kind: str,
        sequence: int,
        address: Address,
        updates: tuple[MemberUpdate, ...],
    ):
        self.kind = kind
        self.sequence = sequence
        self.address = address
        self.updates = updates
