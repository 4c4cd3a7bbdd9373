import msgpack
import pytest

from bramleyfork.entry import fleet
from bramleyfork.entry.transports import peers
from tests.entry.decisions import test_entry_gossip as gossip_tests

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
