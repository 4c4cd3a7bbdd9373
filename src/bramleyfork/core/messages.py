"""Control messages between hosts: membership, configuration and quarantine.

A message names its receiver in ``to``. At the receiver the peer transport
wraps it in ``Received``, which adds the sender's name.
"""

import typing

from bramleyfork.core import records
from bramleyfork.core import requests

ALL_PEERS = "*"  # As ``to``: sends the message to each connected host.


class Received(records.Record):
    """A control message from another host.

    Attributes:
      sender: Name of the host that sent it.
      received_at: Monotonic time in seconds at which it arrived.
      message: One of the message records of this module.
    """

    __slots__ = (
        "sender",
        "received_at",
        "message",
    )

    def __init__(
        self,
        *,
        sender: str,
        received_at: float,
        message: typing.Any,
    ):
        self.sender = sender
        self.received_at = received_at
        self.message = message


class Hello(records.Record):
    """Handshake; the first message that each side sends on a stream.

    Attributes:
      protocol: Version of the protocol between hosts.
      deployment: Name of the sender's deployment.
      host: Name of the sender.
      incarnation: Incarnation of the sender's process.
    """

    __slots__ = (
        "protocol",
        "deployment",
        "host",
        "incarnation",
    )

    def __init__(
        self,
        *,
        protocol: int,
        deployment: str,
        host: str,
        incarnation: int,
    ):
        self.protocol = protocol
        self.deployment = deployment
        self.host = host
        self.incarnation = incarnation


class MemberUpdate(records.Record):
    """Membership state of a host, piggybacked on pings and acks.

    Attributes:
      host: Name of the host.
      incarnation: Incarnation of the host that the state applies to.
      state: "alive", "suspect", "leaving" or "dead".
      load: Load of the host, 0 to 1.
      leased: Whether the host holds a valid control lease.
    """

    __slots__ = (
        "host",
        "incarnation",
        "state",
        "load",
        "leased",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        state: str,
        load: float,
        leased: bool,
    ):
        self.host = host
        self.incarnation = incarnation
        self.state = state
        self.load = load
        self.leased = leased


class Ping(records.Record):
    """Probe of the failure detector; the receiver replies with an ``Ack``.

    Attributes:
      to: Receiver.
      sequence: Number of the probe; echoed in the ack.
      revision: Configuration revision in force at the sender; 0 for none.
      digest: Configuration digest in force at the sender.
      updates: Piggybacked membership updates.
    """

    __slots__ = (
        "to",
        "sequence",
        "revision",
        "digest",
        "updates",
    )

    def __init__(
        self,
        *,
        to: str,
        sequence: int,
        revision: int,
        digest: str,
        updates: tuple[MemberUpdate, ...],
    ):
        self.to = to
        self.sequence = sequence
        self.revision = revision
        self.digest = digest
        self.updates = updates


class Ack(records.Record):
    """Reply to a ``Ping`` or ``PingRequest``.

    Attributes:
      to: Receiver.
      sequence: Sequence of the ping or ping request.
      host: Host that was found alive: the sender, or the probed host after a
        ``PingRequest``.
      revision: Configuration revision in force at the sender; 0 for none.
      digest: Configuration digest in force at the sender.
      updates: Piggybacked membership updates.
    """

    __slots__ = (
        "to",
        "sequence",
        "host",
        "revision",
        "digest",
        "updates",
    )

    def __init__(
        self,
        *,
        to: str,
        sequence: int,
        host: str,
        revision: int,
        digest: str,
        updates: tuple[MemberUpdate, ...],
    ):
        self.to = to
        self.sequence = sequence
        self.host = host
        self.revision = revision
        self.digest = digest
        self.updates = updates


class PingRequest(records.Record):
    """Request for an indirect probe: the receiver pings a third host.

    Attributes:
      to: Receiver.
      sequence: Number of the probe; echoed in the ack.
      host: Host to ping.
      updates: Piggybacked membership updates.
    """

    __slots__ = (
        "to",
        "sequence",
        "host",
        "updates",
    )

    def __init__(
        self,
        *,
        to: str,
        sequence: int,
        host: str,
        updates: tuple[MemberUpdate, ...],
    ):
        self.to = to
        self.sequence = sequence
        self.host = host
        self.updates = updates


class ConfigurationOffer(records.Record):
    """Announces the configuration in force at the sender.

    Attributes:
      to: Receiver.
      revision: Its revision.
      digest: SHA-256 of its manifest.
    """

    __slots__ = (
        "to",
        "revision",
        "digest",
    )

    def __init__(
        self,
        *,
        to: str,
        revision: int,
        digest: str,
    ):
        self.to = to
        self.revision = revision
        self.digest = digest


class ConfigurationFetch(records.Record):
    """Requests parts of a configuration from a host that announced it.

    Attributes:
      to: Receiver.
      digest: Digest of the manifest that the parts belong to.
      keys: Keys of the requested parts; "manifest" for the manifest.
    """

    __slots__ = (
        "to",
        "digest",
        "keys",
    )

    def __init__(
        self,
        *,
        to: str,
        digest: str,
        keys: tuple[str, ...],
    ):
        self.to = to
        self.digest = digest
        self.keys = keys


class ConfigurationPart(records.Record):
    """One part of a configuration, in reply to a ``ConfigurationFetch``.

    Attributes:
      to: Receiver.
      digest: Digest of the manifest that the part belongs to.
      key: Key of the part.
      body: Its content.
    """

    __slots__ = (
        "to",
        "digest",
        "key",
        "body",
    )

    def __init__(
        self,
        *,
        to: str,
        digest: str,
        key: str,
        body: bytes,
    ):
        self.to = to
        self.digest = digest
        self.key = key
        self.body = body


class ListingUpdate(records.Record):
    """Forwards changed rows of the platform's list of targets.

    Attributes:
      to: Receiver.
      rows: Target name, state and holdings of each row.
    """

    __slots__ = (
        "to",
        "rows",
    )

    def __init__(
        self,
        *,
        to: str,
        rows: tuple[tuple[str, str, tuple[requests.Holding, ...]], ...],
    ):
        self.to = to
        self.rows = rows


class TargetNotice(records.Record):
    """Announces that a target is leaving or has restarted.

    Attributes:
      to: Receiver.
      target: Name of the target.
      state: "leaving" or "cold".
      epoch: Incarnation of the target's process.
    """

    __slots__ = (
        "to",
        "target",
        "state",
        "epoch",
    )

    def __init__(
        self,
        *,
        to: str,
        target: str,
        state: str,
        epoch: str,
    ):
        self.to = to
        self.target = target
        self.state = state
        self.epoch = epoch


class QuarantineNotice(records.Record):
    """Announces a quarantine entry or its removal.

    Attributes:
      to: Receiver.
      fingerprint: Hash of the request's content.
      level: "suspect", "refused" or "cleared".
      remaining_s: Time until the entry expires, seconds.
      targets: Targets that died while it was in flight on them.
    """

    __slots__ = (
        "to",
        "fingerprint",
        "level",
        "remaining_s",
        "targets",
    )

    def __init__(
        self,
        *,
        to: str,
        fingerprint: str,
        level: str,
        remaining_s: float,
        targets: tuple[str, ...],
    ):
        self.to = to
        self.fingerprint = fingerprint
        self.level = level
        self.remaining_s = remaining_s
        self.targets = targets
