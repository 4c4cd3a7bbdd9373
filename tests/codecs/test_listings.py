import json

import hypothesis
from hypothesis import strategies as st
import pytest

from bramleyfork.codecs import listings
from bramleyfork.core import ranges
from bramleyfork.core import requests

ROW = {"name": "a", "state": "leaving", "holdings": [[41, 7, 0, 32768]]}


def decode(document):
    return listings.decode_listing(json.dumps(document).encode())


def test_listing_is_decoded():
    (row,) = decode({"targets": [ROW]}).ok
    assert (row.target, row.state) == ("a", "leaving")
    (holding,) = row.holdings
    snapshot = requests.Snapshot(index_version=41, map_version=7)
    assert holding.snapshot == snapshot
    assert holding.key_range == ranges.KeyRange(low=0, high=32768)


@pytest.mark.parametrize(
    "row",
    [
        7,
        {},
        ROW | {"name": 7},
        ROW | {"state": "warm"},
        ROW | {"state": []},
        ROW | {"holdings": None},
        ROW | {"holdings": [[41, 7, 0]]},
        ROW | {"holdings": [[41, 7, 0, 65537]]},
        ROW | {"holdings": [[41, 7, 9, 9]]},
        ROW | {"holdings": [[41, 7, 0.0, 9]]},
        ROW | {"holdings": [[True, 7, 0, 9]]},
    ],
)
def test_one_malformed_row_refuses_the_list(row):
    assert "malformed" in decode({"targets": [ROW, row]}).error


@hypothesis.given(
    st.binary() | st.sampled_from([b"[" * 100_000, b"{}", b"[]", b"NaN"])
)
def test_no_body_makes_the_decoder_raise(body):
    assert listings.decode_listing(body).is_error()
