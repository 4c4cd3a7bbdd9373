import msgpack
import pytest

from bramleyfork.entry import feeds
from bramleyfork.entry.transports import _record_codec
from tests.entry import creators


def create_result(table):
    change = feeds.Change(key="k", revision=1, subject="routes", content=table)
    return feeds.FeedResult(
        number=table.version, status=feeds.OK, changes=(change,)
    )


@pytest.fixture
def tables():
    route = creators.create_gather(30)
    return [creators.create_table(route, version=n) for n in (1, 2)]


def test_an_encoder_returns_the_same_bytes(tables):
    # Guards against sending the cached encoding of another table version.
    first, second = tables
    encoder = _record_codec.CachingEncoder()
    for table in (first, first, second, first):
        result = create_result(table)
        assert encoder.encode(result) == _record_codec.encode(result)
        assert _record_codec.decode(encoder.encode(result)) == result


def test_a_table_for_many_hosts_is_encoded_once(tables, monkeypatch):
    # Guards against encoding the whole route table again for each host that
    # waits for the same change: for 49 hosts this took 0.2 s.
    encoder = _record_codec.CachingEncoder()
    calls = []
    inner = _record_codec._encode_extension

    def count(value, *others):
        calls.append(type(value).__name__)
        return inner(value, *others)

    monkeypatch.setattr(_record_codec, "_encode_extension", count)
    for _ in range(5):
        encoder.encode(create_result(tables[0]))
    assert calls.count("RouteTable") == 1
    assert calls.count("FeedResult") == 5


def test_records_that_are_nested_too_deeply_are_refused():
    # Guards against an error that is not the decoder's own.
    data = _record_codec.encode(())
    for _ in range(3000):
        data = msgpack.packb(msgpack.ExtType(1, data))
    with pytest.raises(_record_codec.RecordDecodeError):
        _record_codec.decode(data)
