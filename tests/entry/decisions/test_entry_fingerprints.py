import pytest

from bramleyfork.entry.decisions import fingerprints
from tests.entry import creators


def compute(**changes):
    return fingerprints.compute_fingerprint(creators.create_request(**changes))


@pytest.mark.parametrize(
    "changes",
    [{"key": 2, "request_id": b"other"}, {"caller": "127.0.0.8"}],
)
def test_a_request_that_comes_again_has_the_same_fingerprint(changes):
    # Guards against a repeat that is taken for a new request.
    assert compute(**changes) == compute()


@pytest.mark.parametrize(
    "changes",
    [{"url": b"/find/y"}, {"body": b"x"}, {"method": b"PUT"}, {"host": "b"}],
)
def test_other_content_has_another_fingerprint(changes):
    assert compute(**changes) != compute()
