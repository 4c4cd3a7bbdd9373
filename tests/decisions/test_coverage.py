import pytest

from bramleyfork.core import ranges
from bramleyfork.decisions import coverage
from tests import creators

REQUESTED = {"s": ranges.FULL_RANGE, "t": ranges.FULL_RANGE}


def test_missing_half_of_one_of_two_services_is_a_quarter():
    measured = coverage.measure_coverage(
        REQUESTED,
        [("s", ranges.FULL_RANGE), ("t", creators.create_range(0, 32768))],
    )
    assert measured.fraction == pytest.approx(0.75)
    assert measured.missing == (("t", creators.create_range(32768, 65536)),)


def test_service_without_any_part_is_missing_whole():
    # Guards against a lost shard that looks like a service without records.
    measured = coverage.measure_coverage(REQUESTED, [("s", ranges.FULL_RANGE)])
    assert measured.missing == (("t", ranges.FULL_RANGE),)


def test_overlapping_parts_raise_an_error():
    # Guards against records that are counted twice.
    with pytest.raises(coverage.OverlapError, match="'s' overlap"):
        coverage.measure_coverage(
            REQUESTED,
            [
                ("s", creators.create_range(0, 200)),
                ("s", creators.create_range(199, 300)),
            ],
        )
