"""Control messages between hosts.

Messages to other hosts name their receiver in ``to``; on arrival the peer
transport wraps them in ``Received`` with the sender's name.
"""

import typing

from bramleyfork.core import records
from bramleyfork.core import requests

ALL_PEERS = "*"  # Receiver of messages to each connected host.


class Received(records.Record):
    """A control message from another host.

    Attributes:
      sender: Name of the host that sent it.
      received_at: Monotonic seconds.
      message: One of the records below.
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
    """Opens a stream; the first message that each side sends.

    Attributes:
      protocol: Version of the protocol between hosts.
      deployment: Deployment of the sender.
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
    """Membership news that rides on pings and acks.

    Attributes:
      host: Name of the host.
      incarnation: Incarnation the news is about.
      state: "alive", "suspect", "leaving" or "dead".
      load: Load of the host, 0 to 1.
      leased: Whether the host's lease holds.
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
    """Asks a host whether it is alive.

    Attributes:
      to: Receiver.
      sequence: Echoed by the ack.
      revision: Revision in force at the sender; 0 for none.
      digest: Digest in force at the sender.
      updates: Membership news.
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
    """Answers a ping.

    Attributes:
      to: Receiver.
      sequence: Of the ping.
      host: Host that is alive; another one after a PingRequest.
      revision: Revision in force at the sender; 0 for none.
      digest: Digest in force at the sender.
      updates: Membership news.
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
    """Asks a host to ping a third one.

    Attributes:
      to: Receiver.
      sequence: Echoed by the ack.
      host: Host to ping.
      updates: Membership news.
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
    """Tells which configuration is in force at the sender.

    Attributes:
      to: Receiver.
      revision: Revision in force.
      digest: Digest in force.
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
    """Asks for parts of the configuration in force.

    Attributes:
      to: Receiver.
      digest: Manifest digest that the parts belong to.
      keys: Keys wanted; "manifest" for the manifest.
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
    """Carries one part of a configuration.

    Attributes:
      to: Receiver.
      digest: Manifest digest that the part belongs to.
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
    """Passes on changed rows of the platform's list.

    Attributes:
      to: Receiver.
      rows: Target, state and holdings of each row.
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
    """Tells that a target leaves or restarted.

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
    """Tells that a fingerprint is suspect, refused or cleared.

    Attributes:
      to: Receiver.
      fingerprint: What is asked.
      level: "suspect", "refused" or "cleared".
      remaining_s: How long the entry lasts, seconds.
      targets: Targets that died with it in flight.
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
