"""Wire formats of the control messages between hosts.

Control messages carry membership, configuration, the platform's list of
targets, target states and quarantine. Each encoder returns the array of fields
that is packed as msgpack; each decoder builds a message from an array whose
field types have been checked.
"""

from bramleyfork.codecs import formats
from bramleyfork.core import messages

_MEMBER_STATES = ("alive", "suspect", "leaving", "dead")
_LISTING_STATES = ("live", "leaving")
_NOTICE_STATES = ("leaving", "cold")
_QUARANTINE_LEVELS = ("suspect", "refused", "cleared")


@formats.register_encoder("hello", messages.Hello)
def encode_hello(hello: messages.Hello, _now: float) -> list:
    """Returns the fields of a hello."""
    return [
        "hello",
        hello.protocol,
        hello.deployment,
        hello.host,
        hello.incarnation,
    ]


@formats.register_decoder("hello", int, str, str, int)
def decode_hello(fields: list, _now: float, _to: str) -> messages.Hello:
    """Builds a hello from its fields."""
    return messages.Hello(
        protocol=formats.check_count(fields[1]),
        deployment=fields[2],
        host=formats.check_name(fields[3], "host"),
        incarnation=formats.check_count(fields[4]),
    )


@formats.register_encoder("ping", messages.Ping)
def encode_ping(ping: messages.Ping, _now: float) -> list:
    """Returns the fields of a ping."""
    return [
        "ping",
        ping.sequence,
        ping.revision,
        ping.digest,
        _encode_updates(ping.updates),
    ]


@formats.register_decoder("ping", int, int, str, list)
def decode_ping(fields: list, _now: float, to: str) -> messages.Ping:
    """Builds a ping from its fields."""
    return messages.Ping(
        to=to,
        sequence=formats.check_count(fields[1]),
        revision=formats.check_count(fields[2]),
        digest=fields[3],
        updates=_decode_updates(fields[4]),
    )


@formats.register_encoder("ack", messages.Ack)
def encode_ack(ack: messages.Ack, _now: float) -> list:
    """Returns the fields of an ack."""
    return [
        "ack",
        ack.sequence,
        ack.host,
        ack.revision,
        ack.digest,
        _encode_updates(ack.updates),
    ]


@formats.register_decoder("ack", int, str, int, str, list)
def decode_ack(fields: list, _now: float, to: str) -> messages.Ack:
    """Builds an ack from its fields."""
    return messages.Ack(
        to=to,
        sequence=formats.check_count(fields[1]),
        host=formats.check_name(fields[2], "about"),
        revision=formats.check_count(fields[3]),
        digest=fields[4],
        updates=_decode_updates(fields[5]),
    )


@formats.register_encoder("ping_req", messages.PingRequest)
def encode_ping_request(request: messages.PingRequest, _now: float) -> list:
    """Returns the fields of a request for an indirect ping."""
    return [
        "ping_req",
        request.sequence,
        request.host,
        _encode_updates(request.updates),
    ]


@formats.register_decoder("ping_req", int, str, list)
def decode_ping_request(
    fields: list, _now: float, to: str
) -> messages.PingRequest:
    """Builds a request for an indirect ping from its fields."""
    return messages.PingRequest(
        to=to,
        sequence=formats.check_count(fields[1]),
        host=formats.check_name(fields[2], "about"),
        updates=_decode_updates(fields[3]),
    )


@formats.register_encoder("config_offer", messages.ConfigurationOffer)
def encode_offer(offer: messages.ConfigurationOffer, _now: float) -> list:
    """Returns the fields of a configuration offer."""
    return ["config_offer", offer.revision, offer.digest]


@formats.register_decoder("config_offer", int, str)
def decode_offer(
    fields: list, _now: float, to: str
) -> messages.ConfigurationOffer:
    """Builds a configuration offer from its fields."""
    return messages.ConfigurationOffer(
        to=to, revision=formats.check_count(fields[1]), digest=fields[2]
    )


@formats.register_encoder("config_fetch", messages.ConfigurationFetch)
def encode_fetch(fetch: messages.ConfigurationFetch, _now: float) -> list:
    """Returns the fields of a request for parts of a configuration."""
    return ["config_fetch", fetch.digest, fetch.keys]


@formats.register_decoder("config_fetch", str, list)
def decode_fetch(
    fields: list, _now: float, to: str
) -> messages.ConfigurationFetch:
    """Builds a request for parts of a configuration from its fields."""
    return messages.ConfigurationFetch(
        to=to, digest=fields[1], keys=formats.check_strings(fields[2])
    )


@formats.register_encoder("config_part", messages.ConfigurationPart)
def encode_part(part: messages.ConfigurationPart, _now: float) -> list:
    """Returns the fields of one part of a configuration."""
    return ["config_part", part.digest, part.key, part.body]


@formats.register_decoder("config_part", str, str, bytes)
def decode_part(
    fields: list, _now: float, to: str
) -> messages.ConfigurationPart:
    """Builds one part of a configuration from its fields."""
    return messages.ConfigurationPart(
        to=to,
        digest=fields[1],
        key=formats.check_name(fields[2], "key"),
        body=fields[3],
    )


@formats.register_encoder("listing_update", messages.ListingUpdate)
def encode_listing_update(update: messages.ListingUpdate, _now: float) -> list:
    """Returns the fields of an update to the platform's list of targets."""
    return [
        "listing_update",
        [
            (target, state, formats.encode_holdings(holdings))
            for target, state, holdings in update.rows
        ],
    ]


@formats.register_decoder("listing_update", list)
def decode_listing_update(
    fields: list, _now: float, to: str
) -> messages.ListingUpdate:
    """Builds an update to the platform's list of targets from its fields."""
    rows = []
    for row in fields[1]:
        target, state, holdings = formats.check_types(row, (str, str, list))
        rows.append(
            (
                formats.check_name(target, "target"),
                formats.check_choice(state, _LISTING_STATES, "state"),
                formats.decode_holdings(holdings),
            )
        )
    return messages.ListingUpdate(to=to, rows=tuple(rows))


@formats.register_encoder("target_notice", messages.TargetNotice)
def encode_target_notice(notice: messages.TargetNotice, _now: float) -> list:
    """Returns the fields of a notice that a target is leaving or cold."""
    return ["target_notice", notice.target, notice.state, notice.epoch]


@formats.register_decoder("target_notice", str, str, str)
def decode_target_notice(
    fields: list, _now: float, to: str
) -> messages.TargetNotice:
    """Builds a notice about a target's state from its fields."""
    return messages.TargetNotice(
        to=to,
        target=formats.check_name(fields[1], "target"),
        state=formats.check_choice(fields[2], _NOTICE_STATES, "state"),
        epoch=fields[3],
    )


@formats.register_encoder("quarantine_notice", messages.QuarantineNotice)
def encode_quarantine(notice: messages.QuarantineNotice, _now: float) -> list:
    """Returns the fields of a notice about a quarantined fingerprint."""
    return [
        "quarantine_notice",
        notice.fingerprint,
        notice.level,
        float(notice.remaining_s),
        notice.targets,
    ]


@formats.register_decoder("quarantine_notice", str, str, float, list)
def decode_quarantine(
    fields: list, _now: float, to: str
) -> messages.QuarantineNotice:
    """Builds a notice about a quarantined fingerprint from its fields."""
    return messages.QuarantineNotice(
        to=to,
        fingerprint=formats.check_name(fields[1], "fingerprint"),
        level=formats.check_choice(fields[2], _QUARANTINE_LEVELS, "level"),
        remaining_s=formats.check_non_negative(fields[3]),
        targets=formats.check_strings(fields[4]),
    )


def _encode_updates(updates: tuple[messages.MemberUpdate, ...]) -> list:
    return [
        (u.host, u.incarnation, u.state, float(u.load), u.leased)
        for u in updates
    ]


def _decode_updates(rows: list) -> tuple[messages.MemberUpdate, ...]:
    decoded = []
    for row in rows:
        host, incarnation, state, load, leased = formats.check_types(
            row, (str, int, str, float, bool)
        )
        decoded.append(
            messages.MemberUpdate(
                host=formats.check_name(host, "host"),
                incarnation=formats.check_count(incarnation),
                state=formats.check_choice(state, _MEMBER_STATES, "state"),
                load=formats.check_non_negative(load),
                leased=leased,
            )
        )
    return tuple(decoded)
