import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bramleyfork.codecs import formats
from bramleyfork.codecs import frames
from bramleyfork.core import messages
from bramleyfork.core import ranges
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.core import verdicts

_NOW = 1000.0
_HOST = "receiver"

texts = strategies.text(max_size=12)
names = strategies.text(min_size=1, max_size=12)
counts = strategies.integers(0, 2**63 - 1)
amounts = strategies.floats(0, 1e9)
versions = strategies.integers(0, 1000)
snapshots = strategies.builds(
    requests.Snapshot, index_version=versions, map_version=versions
)
key_ranges = strategies.tuples(
    strategies.integers(0, ranges.KEY_SPACE - 2), strategies.integers(1, 1000)
).map(
    lambda pair: ranges.KeyRange(
        low=pair[0], high=min(pair[0] + pair[1], ranges.KEY_SPACE)
    )
)
holdings = strategies.lists(
    strategies.builds(
        requests.Holding, snapshot=snapshots, key_range=key_ranges
    ),
    max_size=3,
).map(tuple)
values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False)
    | texts,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=5,
)
updates = strategies.lists(
    strategies.builds(
        messages.MemberUpdate,
        host=names,
        incarnation=counts,
        state=strategies.sampled_from(["alive", "suspect", "leaving", "dead"]),
        load=amounts,
        leased=strategies.booleans(),
    ),
    max_size=3,
).map(tuple)
name_tuples = strategies.lists(texts, max_size=3).map(tuple)
to = strategies.just(_HOST)

records = strategies.one_of(
    strategies.builds(
        requests.SubRequest,
        attempt_id=names,
        query_id=texts,
        router=texts,
        owner=texts,
        target=texts,
        service=texts,
        lookup=texts,
        key_range=key_ranges,
        snapshot=snapshots,
        parameters=texts,
        urgent=strategies.booleans(),
        idempotent=strategies.booleans(),
        deadline=strategies.integers(0, 4000).map(lambda n: _NOW + n / 4),
        fingerprint=texts,
        exclusive=strategies.booleans(),
    ),
    strategies.builds(requests.Cancel, attempt_id=names, owner=texts),
    strategies.builds(
        replies.SubReply,
        attempt_id=names,
        query_id=texts,
        router=texts,
        owner=texts,
        target=texts,
        verdict=strategies.sampled_from(verdicts.Verdict),
        code=strategies.sampled_from(replies.REPLY_CODES),
        key_range=strategies.none() | key_ranges,
        snapshot=strategies.none() | snapshots,
        records=strategies.lists(
            strategies.tuples(
                strategies.integers(0, ranges.KEY_SPACE - 1), values
            ),
            max_size=3,
        ).map(tuple),
        report=strategies.none()
        | strategies.builds(
            requests.TargetReport,
            epoch=texts,
            state=strategies.sampled_from(["cold", "warm", "leaving"]),
            load=amounts,
            holdings=holdings,
        ),
        queue_length=counts,
        service_time_s=amounts,
        retry_after_ms=strategies.none() | counts,
        detail=texts,
    ),
    strategies.builds(
        messages.Hello,
        protocol=counts,
        deployment=texts,
        host=names,
        incarnation=counts,
    ),
    strategies.builds(
        messages.Ping,
        to=to,
        sequence=counts,
        revision=counts,
        digest=texts,
        updates=updates,
    ),
    strategies.builds(
        messages.Ack,
        to=to,
        sequence=counts,
        host=names,
        revision=counts,
        digest=texts,
        updates=updates,
    ),
    strategies.builds(
        messages.PingRequest,
        to=to,
        sequence=counts,
        host=names,
        updates=updates,
    ),
    strategies.builds(
        messages.ConfigurationOffer, to=to, revision=counts, digest=texts
    ),
    strategies.builds(
        messages.ConfigurationFetch, to=to, digest=texts, keys=name_tuples
    ),
    strategies.builds(
        messages.ConfigurationPart,
        to=to,
        digest=texts,
        key=names,
        body=strategies.binary(max_size=50),
    ),
    strategies.builds(
        messages.ListingUpdate,
        to=to,
        rows=strategies.lists(
            strategies.tuples(
                names, strategies.sampled_from(["live", "leaving"]), holdings
            ),
            max_size=3,
        ).map(tuple),
    ),
    strategies.builds(
        messages.TargetNotice,
        to=to,
        target=names,
        state=strategies.sampled_from(["leaving", "cold"]),
        epoch=texts,
    ),
    strategies.builds(
        messages.QuarantineNotice,
        to=to,
        fingerprint=names,
        level=strategies.sampled_from(["suspect", "refused", "cleared"]),
        remaining_s=amounts,
        targets=name_tuples,
    ),
)


def decode(data, *, step=None):
    decoder = frames.FrameDecoder(host=_HOST)
    step = step or max(1, len(data))
    found = []
    for begin in range(0, len(data), step):
        result = decoder.feed(data[begin : begin + step], _NOW)
        if result.is_error():
            return result.error
        found += result.ok
    return found


def encode(*batch):
    encoder = frames.FrameEncoder()
    return b"".join(encoder.encode(record, _NOW) for record in batch)


@hypothesis.given(
    strategies.lists(records, min_size=1, max_size=5),
    strategies.integers(1, 40),
)
def test_records_survive_the_round_trip(batch, step):
    data = encode(*batch)
    for found in (decode(data), decode(data, step=step)):
        assert [frame.message for frame in found] == batch
        assert sum(frame.size for frame in found) == len(data)


def test_every_kind_has_both_directions_and_a_round_trip():
    kinds = set(formats.KIND_BY_CLASS.values())
    assert kinds == set(formats.ENCODERS.list_names())
    assert kinds == set(formats.DECODERS.list_names())
    assert len(kinds) == 13


def check_only_frame_errors(data):
    decoder = frames.FrameDecoder(host=_HOST)
    result = decoder.feed(data, _NOW)
    if result.is_error():
        assert isinstance(result.error, frames.FrameError)
        assert decoder.feed(b"", _NOW).error is result.error
    finish = decoder.finish()
    if finish.is_error():
        assert isinstance(finish.error, frames.FrameError)


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_frame_errors_only(data):
    check_only_frame_errors(data)


@hypothesis.given(
    strategies.sampled_from(sorted(formats.DECODERS.list_names())),
    strategies.lists(values | strategies.binary(max_size=5), max_size=17),
)
def test_arbitrary_fields_give_frame_errors_only(kind, fields):
    check_only_frame_errors(msgpack.packb([kind, *fields]))


@hypothesis.given(records, strategies.data())
def test_one_wrong_field_gives_frame_errors_only(record, data):
    fields = msgpack.unpackb(encode(record))
    place = data.draw(strategies.integers(0, len(fields) - 1))
    fields[place] = data.draw(values)
    check_only_frame_errors(msgpack.packb(fields))


@hypothesis.given(records, strategies.integers(1, 10))
def test_message_cut_short_is_truncated(record, missing):
    data = encode(record)
    decoder = frames.FrameDecoder(host=_HOST)
    assert decoder.feed(data[: max(1, len(data) - missing)], _NOW).ok == []
    assert decoder.finish().error.reason == "truncated"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xc1", "malformed"),
        (b"\x01", "malformed"),
        (b"\x90", "malformed"),
        (msgpack.packb([1]), "malformed"),
        (msgpack.packb(["riddle"]), "unknown_kind"),
        (msgpack.packb(["ping"]), "wrong_type"),
        (msgpack.packb(["cancel", "", "o"]), "wrong_type"),
        (msgpack.packb(["config_offer", -1, ""]), "wrong_type"),
        (msgpack.packb(["config_offer", True, ""]), "wrong_type"),
        (msgpack.packb(["target_notice", "t", "warm", ""]), "wrong_type"),
        (
            msgpack.packb(
                ["quarantine_notice", "f", "suspect", float("nan"), []]
            ),
            "wrong_type",
        ),
        (b"\x92\xc7\x01\x05\x00", "malformed"),
        (b"\x91" * 5000, "malformed"),
        (b"\xdd\x7f\xff\xff\xff", "malformed"),
        (b"\x92\xc6\x7f\xff\xff\xff" + b"x" * (2 << 20), "too_large"),
        (b"\xdc\x00\xff" + (b"\xda\xff\xff" + b"x" * 65535) * 20, "too_large"),
    ],
)
def test_invalid_input_gives_its_reason(data, reason):
    assert decode(data).reason == reason


def test_numbers_that_are_equal_but_of_another_type_are_refused():
    # Guards against wrong types passing the caches of shared ranges and
    # snapshots, where 1, 1.0 and True would be the same key.
    row = ["t", "live", [[[1, 1], [0, 9]]]]
    assert decode(msgpack.packb(["listing_update", [row]]))
    for holding in ([[1, True], [0, 9]], [[1, 1], [False, 9.0]]):
        row[2] = [holding]
        error = decode(msgpack.packb(["listing_update", [row]]))
        assert error.reason == "wrong_type"


def test_largest_part_fits():
    part = messages.ConfigurationPart(
        to=_HOST, digest="d" * 64, key="k", body=b"x" * (1 << 20)
    )
    assert decode(encode(part), step=1 << 16)[0].message == part


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        ("x" * frames.MAX_MESSAGE_BYTES, "too_large"),
        (2**70, "not_encodable"),
        (object(), "not_encodable"),
    ],
)
def test_encoder_refuses_and_continues(value, reason):
    # Guards against bytes of a rejected message that stay in the packer and
    # precede the next message.
    encoder = frames.FrameEncoder()
    offer = messages.ConfigurationOffer(to="x", revision=1, digest="d")
    bad = messages.ConfigurationOffer(to="x", revision=1, digest=value)
    with pytest.raises(frames.FrameError) as raised:
        encoder.encode(bad, _NOW)
    assert raised.value.reason == reason
    assert encoder.encode(offer, _NOW) == encode(offer)


def test_record_without_a_format_is_refused():
    encoder = frames.FrameEncoder()
    with pytest.raises(frames.FrameError, match="unknown_kind"):
        encoder.encode(ranges.FULL_RANGE, _NOW)


def test_remaining_time_is_never_longer_than_sent():
    # Guards against an owner that works longer than the router waits.
    request = requests.SubRequest(
        attempt_id="a",
        query_id="q",
        router="r",
        owner="o",
        target="t",
        service="s",
        lookup="l",
        key_range=ranges.FULL_RANGE,
        snapshot=requests.Snapshot(index_version=1, map_version=1),
        parameters="",
        urgent=True,
        idempotent=True,
        deadline=_NOW + 0.0129,
        fingerprint="f",
        exclusive=False,
    )
    assert decode(encode(request))[0].message.deadline == _NOW + 0.012
    late = request.replace(deadline=_NOW - 5.0)
    assert decode(encode(late))[0].message.deadline == _NOW
