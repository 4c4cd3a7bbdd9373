"""Records of the fleet of entry hosts and of what they tell each other."""

from bramleyfork.core import records

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"
SUSPECT = "suspect"  # Left a ping unanswered.
DEAD = "dead"  # Was suspect for too long.

STATES = (STARTING, SERVING, LEAVING, SUSPECT, DEAD)

Address = tuple[str, int]


class MemberUpdate(records.Record):
    """The latest word on a host, of its own or of one that suspects it.

    Attributes:
      host: Name of the host.
      incarnation: Milliseconds since 1970 at the start of its process.
      count: Grows with each word of the host's own within an incarnation.
      state: One of STATES.
      data_centre: Where it is.
      caller_address: Where callers reach it.
      peer_address: Where other hosts reach it.
      carrier_address: Where other hosts hand it attempts.
      capacity: Traffic that it can take, relative to other hosts.
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
    """What this host believes of a host.

    Attributes:
      update: The latest word.
      changed_at: Monotonic time at which it came.
    """

    __slots__ = ("update", "changed_at")

    def __init__(self, *, update: MemberUpdate, changed_at: float):
        self.update = update
        self.changed_at = changed_at


class PeerMessage(records.Record):
    """A ping or its ack, with news of hosts.

    Attributes:
      kind: "ping", "ack", or "join": a ping of a host that asks for all news.
      sequence: Number of the ping, which its ack repeats.
      address: Where it goes, or where it came from.
      updates: News; the first is of the sender itself.
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
