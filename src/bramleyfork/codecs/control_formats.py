"""Formats of the control messages between hosts."""

from bramleyfork.codecs import formats
from bramleyfork.core import messages

_MEMBER_STATES = ("alive", "suspect", "leaving", "dead")
_LISTED_STATES = ("live", "leaving")
_NOTICE_STATES = ("leaving", "cold")
_LEVELS = ("suspect", "refused", "cleared")


@formats.encodes("hello", messages.Hello)
def list_hello(hello: messages.Hello, _now: float) -> list:
    """Returns the fields of the first message."""
    return [
        "hello",
        hello.protocol,
        hello.deployment,
        hello.host,
        hello.incarnation,
    ]


@formats.decodes("hello", int, str, str, int)
def build_hello(fields: list, _now: float, _to: str) -> messages.Hello:
    """Returns the first message of checked fields."""
    return messages.Hello(
        protocol=formats.check_count(fields[1]),
        deployment=fields[2],
        host=formats.check_name(fields[3], "host"),
        incarnation=formats.check_count(fields[4]),
    )


@formats.encodes("ping", messages.Ping)
def list_ping(ping: messages.Ping, _now: float) -> list:
    """Returns the fields of a ping."""
    return [
        "ping",
        ping.sequence,
        ping.revision,
        ping.digest,
        _list_updates(ping.updates),
    ]


@formats.decodes("ping", int, int, str, list)
def build_ping(fields: list, _now: float, to: str) -> messages.Ping:
    """Returns the ping of checked fields."""
    return messages.Ping(
        to=to,
        sequence=formats.check_count(fields[1]),
        revision=formats.check_count(fields[2]),
        digest=fields[3],
        updates=_build_updates(fields[4]),
    )


@formats.encodes("ack", messages.Ack)
def list_ack(ack: messages.Ack, _now: float) -> list:
    """Returns the fields of an ack."""
    return [
        "ack",
        ack.sequence,
        ack.host,
        ack.revision,
        ack.digest,
        _list_updates(ack.updates),
    ]


@formats.decodes("ack", int, str, int, str, list)
def build_ack(fields: list, _now: float, to: str) -> messages.Ack:
    """Returns the ack of checked fields."""
    return messages.Ack(
        to=to,
        sequence=formats.check_count(fields[1]),
        host=formats.check_name(fields[2], "about"),
        revision=formats.check_count(fields[3]),
        digest=fields[4],
        updates=_build_updates(fields[5]),
    )


@formats.encodes("ping_req", messages.PingRequest)
def list_ping_request(request: messages.PingRequest, _now: float) -> list:
    """Returns the fields of a request for an indirect ping."""
    return [
        "ping_req",
        request.sequence,
        request.host,
        _list_updates(request.updates),
    ]


@formats.decodes("ping_req", int, str, list)
def build_ping_request(
    fields: list, _now: float, to: str
) -> messages.PingRequest:
    """Returns the request for an indirect ping of checked fields."""
    return messages.PingRequest(
        to=to,
        sequence=formats.check_count(fields[1]),
        host=formats.check_name(fields[2], "about"),
        updates=_build_updates(fields[3]),
    )


@formats.encodes("config_offer", messages.ConfigurationOffer)
def list_offer(offer: messages.ConfigurationOffer, _now: float) -> list:
    """Returns the fields of a configuration offer."""
    return ["config_offer", offer.revision, offer.digest]


@formats.decodes("config_offer", int, str)
def build_offer(
    fields: list, _now: float, to: str
) -> messages.ConfigurationOffer:
    """Returns the configuration offer of checked fields."""
    return messages.ConfigurationOffer(
        to=to, revision=formats.check_count(fields[1]), digest=fields[2]
    )


@formats.encodes("config_fetch", messages.ConfigurationFetch)
def list_fetch(fetch: messages.ConfigurationFetch, _now: float) -> list:
    """Returns the fields of a request for parts."""
    return ["config_fetch", fetch.digest, fetch.keys]


@formats.decodes("config_fetch", str, list)
def build_fetch(
    fields: list, _now: float, to: str
) -> messages.ConfigurationFetch:
    """Returns the request for parts of checked fields."""
    return messages.ConfigurationFetch(
        to=to, digest=fields[1], keys=formats.check_texts(fields[2])
    )


@formats.encodes("config_part", messages.ConfigurationPart)
def list_part(part: messages.ConfigurationPart, _now: float) -> list:
    """Returns the fields of a part."""
    return ["config_part", part.digest, part.key, part.body]


@formats.decodes("config_part", str, str, bytes)
def build_part(
    fields: list, _now: float, to: str
) -> messages.ConfigurationPart:
    """Returns the part of checked fields."""
    return messages.ConfigurationPart(
        to=to,
        digest=fields[1],
        key=formats.check_name(fields[2], "key"),
        body=fields[3],
    )


@formats.encodes("listing_update", messages.ListingUpdate)
def list_listing(update: messages.ListingUpdate, _now: float) -> list:
    """Returns the fields of changed rows of the platform's list."""
    return [
        "listing_update",
        [
            (target, state, formats.list_holdings(holdings))
            for target, state, holdings in update.rows
        ],
    ]


@formats.decodes("listing_update", list)
def build_listing(fields: list, _now: float, to: str) -> messages.ListingUpdate:
    """Returns the changed rows of checked fields."""
    rows = []
    for row in fields[1]:
        target, state, holdings = formats.check_shape(row, (str, str, list))
        rows.append(
            (
                formats.check_name(target, "target"),
                formats.check_choice(state, _LISTED_STATES, "state"),
                formats.build_holdings(holdings),
            )
        )
    return messages.ListingUpdate(to=to, rows=tuple(rows))


@formats.encodes("target_notice", messages.TargetNotice)
def list_target_notice(notice: messages.TargetNotice, _now: float) -> list:
    """Returns the fields of a notice about a target."""
    return ["target_notice", notice.target, notice.state, notice.epoch]


@formats.decodes("target_notice", str, str, str)
def build_target_notice(
    fields: list, _now: float, to: str
) -> messages.TargetNotice:
    """Returns the notice about a target of checked fields."""
    return messages.TargetNotice(
        to=to,
        target=formats.check_name(fields[1], "target"),
        state=formats.check_choice(fields[2], _NOTICE_STATES, "state"),
        epoch=fields[3],
    )


@formats.encodes("quarantine_notice", messages.QuarantineNotice)
def list_quarantine(notice: messages.QuarantineNotice, _now: float) -> list:
    """Returns the fields of a notice about a fingerprint."""
    return [
        "quarantine_notice",
        notice.fingerprint,
        notice.level,
        float(notice.remaining_s),
        notice.targets,
    ]


@formats.decodes("quarantine_notice", str, str, float, list)
def build_quarantine(
    fields: list, _now: float, to: str
) -> messages.QuarantineNotice:
    """Returns the notice about a fingerprint of checked fields."""
    return messages.QuarantineNotice(
        to=to,
        fingerprint=formats.check_name(fields[1], "fingerprint"),
        level=formats.check_choice(fields[2], _LEVELS, "level"),
        remaining_s=formats.check_amount(fields[3]),
        targets=formats.check_texts(fields[4]),
    )


def _list_updates(updates: tuple[messages.MemberUpdate, ...]) -> list:
    return [
        (u.host, u.incarnation, u.state, float(u.load), u.leased)
        for u in updates
    ]


def _build_updates(rows: list) -> tuple[messages.MemberUpdate, ...]:
    built = []
    for row in rows:
        host, incarnation, state, load, leased = formats.check_shape(
            row, (str, int, str, float, bool)
        )
        built.append(
            messages.MemberUpdate(
                host=formats.check_name(host, "host"),
                incarnation=formats.check_count(incarnation),
                state=formats.check_choice(state, _MEMBER_STATES, "state"),
                load=formats.check_amount(load),
                leased=leased,
            )
        )
    return tuple(built)
