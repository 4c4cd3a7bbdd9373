"""Records of what hosts have learnt from the answers of targets.

Every kind is the same record: it has an owner, an age and an end, and is told
to the other hosts.
"""

from bramleyfork.core import records


class Observation(records.Record):
    """What one host has learnt about a target or a request.

    Attributes:
      kind: Name in ``decisions.observations.KINDS``.
      subject: Id of the target, or fingerprint of the request.
      host: Name of the host that made the observation, its owner.
      incarnation: Milliseconds since 1970 at the start of the owner's process.
      number: Number of the observation within that process.
      occasion: Tells observations apart that one host makes of one subject;
        empty if only its latest one counts.
      born_ms: Start of the target's process to which it applies, in
        milliseconds since 1970; 0 if it isn't about one process.
      services: Services that it concerns.
      value: A number whose meaning depends on the kind.
      observed_at: Monotonic time of this host at which it was made.
      ends_at: Monotonic time of this host from which it doesn't hold.
    """

    __slots__ = (
        "kind",
        "subject",
        "host",
        "incarnation",
        "number",
        "occasion",
        "born_ms",
        "services",
        "value",
        "observed_at",
        "ends_at",
    )

    def __init__(
        self,
        *,
        kind: str,
        subject: str,
        host: str,
        incarnation: int,
        number: int,
        occasion: str = "",
        born_ms: int = 0,
        services: tuple[str, ...] = (),
        value: float = 0.0,
        observed_at: float,
        ends_at: float,
    ):
        self.kind = kind
        self.subject = subject
        self.host = host
        self.incarnation = incarnation
        self.number = number
        self.occasion = occasion
        self.born_ms = born_ms
        self.services = services
        self.value = value
        self.observed_at = observed_at
        self.ends_at = ends_at


class ReceivedObservation(records.Record):
    """An observation of another host, with relative times.

    Attributes:
      observation: The observation; its times are not set.
      age_s: Seconds since it was made.
      remaining_s: Seconds for which it holds.
    """

    __slots__ = ("observation", "age_s", "remaining_s")

    def __init__(
        self, *, observation: Observation, age_s: float, remaining_s: float
    ):
        self.observation = observation
        self.age_s = age_s
        self.remaining_s = remaining_s


class ObservationMessage(records.Record):
    """Observations that are sent to one other host.

    Attributes:
      address: Peer address of the receiver.
      observations: The observations.
    """

    __slots__ = ("address", "observations")

    def __init__(
        self,
        *,
        address: tuple[str, int],
        observations: tuple[Observation, ...],
    ):
        self.address = address
        self.observations = observations


class Finding(records.Record):
    """Something that a component of this host has learnt.

    The controller "observations" turns it into an observation.

    Attributes:
      kind: Name in ``decisions.observations.KINDS``.
      subject: Id of the target, or fingerprint of the request.
      occasion: As in ``Observation``.
      born_ms: As in ``Observation``.
      service: Service that it concerns; empty for none.
      value: A number whose meaning depends on the kind.
      lifetime_s: Seconds for which it holds; None for the default of the kind.
    """

    __slots__ = (
        "kind",
        "subject",
        "occasion",
        "born_ms",
        "service",
        "value",
        "lifetime_s",
    )

    def __init__(
        self,
        *,
        kind: str,
        subject: str,
        occasion: str = "",
        born_ms: int = 0,
        service: str = "",
        value: float = 0.0,
        lifetime_s: float | None = None,
    ):
        self.kind = kind
        self.subject = subject
        self.occasion = occasion
        self.born_ms = born_ms
        self.service = service
        self.value = value
        self.lifetime_s = lifetime_s
