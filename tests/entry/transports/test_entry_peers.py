import msgpack
import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.transports import peers
from tests.entry.decisions import test_entry_gossip as gossip_tests
from tests.entry.decisions import test_entry_observations as creators

ADDRESS = ("127.0.0.9", 70)


def create_message(**changes):
    fields = {
        "kind": "ping",
        "sequence": 3,
        "address": ADDRESS,
        "updates": (
            gossip_tests.create_update(1),
            gossip_tests.create_update(2, count=2**40),
        ),
    }
    return fleet.PeerMessage(**(fields | changes))


def test_an_encoded_message_is_decoded_unchanged():
    sent = create_message()
    assert peers.decode_message(peers.encode_message(sent), ADDRESS) == sent


def create_row(**changes):
    update = gossip_tests.create_update(1)
    return [
        changes.get(name, getattr(update, name)) for name, _ in peers._FIELDS
    ]


def pack(*fields):
    return msgpack.packb(list(fields))


BAD = {
    "empty": b"",
    "no msgpack": b"\xc1",
    "cut": peers.encode_message(create_message())[:-3],
    "a number": pack(7),
    "another protocol": pack(9, "ping", 1, [create_row()]),
    "another kind": pack(1, "pong", 1, [create_row()]),
    "no sequence": pack(1, "ping", None, [create_row()]),
    "no rows": pack(1, "ping", 1, 5),
    "no sender": pack(1, "ping", 1, []),
    "a short row": pack(1, "ping", 1, [["host"]]),
    "a wrong type": pack(1, "ping", 1, [create_row(count="x")]),
    "a wrong state": pack(1, "ping", 1, [create_row(state="odd")]),
    "a wrong address": pack(1, "ping", 1, [create_row(peer_address=[1, 2])]),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_datagrams_are_refused(name):
    with pytest.raises(peers.DatagramError):
        peers.decode_message(BAD[name], ADDRESS)


NOW = creators.NOW
OBSERVATION = creators.create_observation(
    observed_at=NOW - 2.0, ends_at=NOW + 8.0, born_ms=2**45
)


def test_encoded_observations_are_decoded_with_their_age():
    data = peers.encode_observations((OBSERVATION, OBSERVATION), NOW)
    first, second = peers.decode_observations(data)
    assert first == second
    assert (first.age_s, first.remaining_s) == (2.0, 8.0)
    assert first.observation == OBSERVATION.replace(
        observed_at=0.0, ends_at=0.0
    )


def pack_observation(**changes):
    _, _, _, (row,) = msgpack.unpackb(
        peers.encode_observations((OBSERVATION,), NOW)
    )
    names = (
        *(n for n in OBSERVATION.__slots__ if not n.endswith("_at")),
        "age_s",
        "remaining_s",
    )
    fields = dict(zip(names, row, strict=True)) | changes
    return pack(1, "observations", 0, [list(fields.values())])


BAD_OBSERVATIONS = {
    "no rows": pack(1, "observations", 0, 7),
    "too many rows": pack(1, "observations", 0, [[]] * 65),
    "a short row": pack(1, "observations", 0, [["crash"]]),
    "a wrong type": pack_observation(incarnation="x"),
    "a truth value": pack_observation(number=True),
    "a long text": pack_observation(subject="x" * 300),
    "many services": pack_observation(services=["s"] * 65),
    "a wrong service": pack_observation(services=[7]),
    "no number": pack_observation(value=float("nan")),
    "a negative age": pack_observation(age_s=-1.0),
    "an endless time": pack_observation(remaining_s=float("inf")),
}


@pytest.mark.parametrize("name", BAD_OBSERVATIONS)
def test_bad_observations_are_refused(name):
    # Guards against a malformed datagram that ends the process or is believed.
    with pytest.raises(peers.DatagramError):
        peers.decode_observations(BAD_OBSERVATIONS[name])
